/** `status`: shows the state of the fleet according to the store, or of one entry. */
import type { ObjectStore } from "@waxwingdale/core";
import { readActiveManifest } from "../active-manifest.js";
import type { CommandSpec } from "../command-spec.js";
import { ListenerKind, findEntries, listEntryRecords } from "../entry-directory.js";
import { readEndpoint } from "../entry-endpoint.js";
import { ExitCode } from "../exit-code.js";
import { getOptionValue } from "../options.js";
import { formatValue } from "../table.js";

const planKey = "plan";
const leaseKey = "lease/planner";

export const statusCommand: CommandSpec = {
    usage: "status",
    describe: "Show the state of an entry (--entry) or of the fleet according to the store (--store)",
    example: "status --entry 10.0.0.7:9300",
    run: async ctx => {
        const hasEntry = getOptionValue(ctx.options, "entry", ctx.env, "WAXWINGDALE_ENTRY") !== undefined;
        const hasStore = getOptionValue(ctx.options, "store", ctx.env, "WAXWINGDALE_STORE") !== undefined;
        const result: Record<string, unknown> = {};
        // An explicit --store in addition to --entry requests both.
        if (!hasEntry || (hasStore && ctx.options.store !== undefined)) {
            Object.assign(result, await ctx.withStore(readFleet));
        }
        if (hasEntry) {
            const [target] = await findEntries(ctx, ListenerKind.Operators);
            result.entry = await readEndpoint(ctx, target!, "/status");
        }
        ctx.printResult(result, () => formatValue(result));
        return ExitCode.Ok;
    },
};

async function readFleet(store: ObjectStore): Promise<Record<string, unknown>> {
    const [accepted, entries, plan, lease, instances] = await Promise.all([
        readActiveManifest(store),
        listEntryRecords(store),
        store.get(planKey),
        store.get(leaseKey),
        store.listInstances(),
    ]);
    const counts = new Map<string, Record<string, unknown>>();
    for (const { role, service = "", region, zone, state } of instances) {
        const name = [role, service, region, zone, state].join(" ");
        const row = counts.get(name) ?? { role, service, region, zone, state, count: 0 };
        row.count = Number(row.count) + 1;
        counts.set(name, row);
    }
    return {
        generation: accepted?.generation,
        pushId: accepted?.pushId,
        drains: accepted?.manifest.drains.length,
        plan: plan?.value,
        planner: lease?.value,
        entries,
        instances: [...counts.values()],
    };
}
