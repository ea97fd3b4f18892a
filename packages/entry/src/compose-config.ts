/** Registers the manifest and the plan, which all entries share. */
import { createAcceptedConfig, createDocumentExchange, createReplicatedDocument } from "@waxwingdale/config";
import { manifestSchema } from "@waxwingdale/manifest";
import type { Manifest } from "@waxwingdale/manifest";
import { parsePlan, planKey } from "@waxwingdale/steering";
import type { PlanObject } from "@waxwingdale/steering";
import * as v from "valibot";
import { tokens } from "./entry-tokens.js";
import type { RegisterComponent } from "./entry-tokens.js";

export function composeConfig(add: RegisterComponent): void {
    add(tokens.exchange, get =>
        createDocumentExchange({ registry: get(tokens.rpcServer), logger: get(tokens.context).logger }),
    );
    add(tokens.config, get => {
        const { store, clock, random, logger } = get(tokens.context);
        const parseManifest = (value: unknown): Manifest => v.parse(manifestSchema, value);
        return createAcceptedConfig({
            store,
            transport: get(tokens.rpcClient),
            exchange: get(tokens.exchange),
            clock,
            random,
            logger,
            parseManifest,
        });
    });
    add(tokens.plan, get => {
        const { store, clock, random, logger } = get(tokens.context);
        return createReplicatedDocument<PlanObject>({
            name: planKey,
            key: planKey,
            store,
            transport: get(tokens.rpcClient),
            exchange: get(tokens.exchange),
            clock,
            random,
            logger,
            getOrder: value => {
                const { epoch, step } = readPlan(value);
                return [epoch, step];
            },
            parse: readPlan,
        });
    });
}

function readPlan(value: unknown): PlanObject {
    const plan = parsePlan(value);
    if (plan === undefined) {
        throw new Error("the value is not a plan");
    }
    return plan;
}
