/** Registers the components that limit requests: backend servers, slots, links, claims and the crash guard. */
import { createBackendDirectory, createHealthProbe } from "@waxwingdale/backends";
import { createClaimService, createCrashGuard } from "@waxwingdale/claims";
import { pickOwner } from "@waxwingdale/core";
import { createLinkShaper, createSlotBroker } from "@waxwingdale/limits";
import type { AcceptedManifest } from "@waxwingdale/manifest";
import { findRoute } from "@waxwingdale/steering";
import type { PlanObject } from "@waxwingdale/steering";
import { Agent } from "undici";
import { createSlotReadiness } from "./slot-readiness.js";
import { tokens } from "./entry-tokens.js";
import type { RegisterComponent } from "./entry-tokens.js";

/** Used until there is a manifest; without one, no claim is made. */
const initialClaimLimits = { shards: 1, maxWritesPerSecond: 1, retentionSeconds: 3600, maxOutcomeBytes: 0 };
const initialCrashLimits = { crashLimit: 2, quarantineSeconds: 600 };

export function composeLimits(add: RegisterComponent): void {
    add(tokens.backends, get => {
        const { settings, store, clock, random, logger, signal } = get(tokens.context);
        const membership = get(tokens.membership);
        const agent = new Agent({ connections: 1, connect: { timeout: 800 } });
        signal.addEventListener("abort", () => void agent.destroy(), { once: true });
        return createBackendDirectory({
            region: settings.region,
            store,
            view: membership,
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            clock,
            random,
            logger,
            manifest: () => get(tokens.config).current()?.manifest,
            probe: createHealthProbe(() => agent),
            isRegionStillServing: service =>
                isRegionStillServing(
                    get(tokens.steering).currentPlan(),
                    get(tokens.config).current(),
                    service,
                    settings.region,
                ),
            shouldProbe: serverId => {
                const ids = membership.liveInRegion(settings.region).map(member => member.id);
                return pickOwner(serverId, ids) === settings.id;
            },
        });
    });
    add(tokens.broker, get => {
        const { clock, random, logger } = get(tokens.context);
        const backends = get(tokens.backends);
        const broker = createSlotBroker({
            view: get(tokens.membership),
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            servers: () => backends.servers(),
            clock,
            random,
            logger,
        });
        backends.onChange(() => broker.onServersChanged());
        get(tokens.config).onChange(() => backends.onManifestChanged());
        return broker;
    });
    add(tokens.links, get => {
        const { settings, clock, logger } = get(tokens.context);
        const listLinks = () => get(tokens.config).current()?.manifest.links ?? [];
        return createLinkShaper({
            view: get(tokens.membership),
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            links: () => listLinks().filter(({ from }) => from === settings.region),
            clock,
            logger,
        });
    });
    add(tokens.slotReadiness, get =>
        createSlotReadiness(get(tokens.context).clock, get(tokens.broker), get(tokens.backends)),
    );
    add(tokens.claims, get => {
        const { store, clock, random, logger, settings } = get(tokens.context);
        const manifest = () => get(tokens.config).current()?.manifest;
        return createClaimService({
            store,
            view: get(tokens.membership),
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            storeRegion: () => manifest()?.storeRegion ?? settings.region,
            limits: () => manifest()?.claims ?? initialClaimLimits,
            clock,
            random,
            logger,
        });
    });
    add(tokens.crashGuard, get => {
        const { clock, logger } = get(tokens.context);
        return createCrashGuard({
            view: get(tokens.membership),
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            clock,
            logger,
            limits: () => get(tokens.config).current()?.manifest.quarantine ?? initialCrashLimits,
        });
    });
}

/** Whether a drained region still serves its own callers, since its traffic is shifted away at a limited rate. */
function isRegionStillServing(
    plan: PlanObject | undefined,
    accepted: AcceptedManifest | undefined,
    service: string,
    region: string,
): boolean {
    if (plan === undefined || accepted === undefined || plan.generation < accepted.generation) {
        return true;
    }
    return (findRoute(plan, service, region)?.homePerSecond ?? 0) > 0;
}
