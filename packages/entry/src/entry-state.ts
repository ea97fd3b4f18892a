/** Readiness, status and state dump of an entry. */
import { MemberStatus } from "@waxwingdale/core";
import { tokens } from "./entry-tokens.js";
import type { Resolve } from "@waxwingdale/core";

/** Returns why callers should not use the entry, or undefined if it is ready. */
export function getNotReadyReason(resolve: Resolve): string | undefined {
    const config = resolve(tokens.config);
    const accepted = config.current();
    const { settings } = resolve(tokens.context);
    const { unsupported } = config.status();
    if (accepted === undefined) {
        return "no manifest is in force";
    }
    if (unsupported !== undefined) {
        return `generation ${unsupported.generation} cannot be applied: ${unsupported.reason}`;
    }
    const region = accepted.manifest.regions.find(({ name }) => name === settings.region);
    if (!region?.zones.includes(settings.zone)) {
        return `the manifest has no availability zone ${settings.zone} in region ${settings.region}`;
    }
    if (resolve(tokens.backends).listAgeMs() === undefined) {
        return "the list of backend servers has not been read yet";
    }
    if (!resolve(tokens.slotReadiness).isReady()) {
        return "slots of backend servers are not confirmed yet";
    }
    return resolve(tokens.membership).self().status === MemberStatus.Live
        ? undefined
        : "the entry is stopping";
}

/** Returns a getter for the status summary. */
export function createEntryStatus(resolve: Resolve): () => unknown {
    return () => {
        const { settings } = resolve(tokens.context);
        const membership = resolve(tokens.membership);
        const plan = resolve(tokens.steering).currentPlan();
        const notReady = getNotReadyReason(resolve);
        return {
            id: settings.id,
            region: settings.region,
            zone: settings.zone,
            ready: notReady === undefined,
            notReady,
            config: resolve(tokens.config).status(),
            plan: plan && { epoch: plan.epoch, step: plan.step, generation: plan.generation },
            isPlanner: resolve(tokens.lease).isHeld(),
            inFlight: resolve(tokens.carrier).inFlight(),
            members: membership
                .members()
                .map(({ id, region, status, ready }) => ({ id, region, status, ready })),
            backends: resolve(tokens.backends)
                .servers()
                .map(({ id, service, draining }) => ({ id, service, draining })),
            instanceListAgeMs: resolve(tokens.backends).listAgeMs(),
        };
    };
}

/** Returns a getter for the state of all components. */
export function createEntryDump(resolve: Resolve): () => Record<string, unknown> {
    return () => ({
        status: createEntryStatus(resolve)(),
        manifest: resolve(tokens.config).current(),
        membership: resolve(tokens.membership).state(),
        backends: resolve(tokens.backends).state(),
        slots: resolve(tokens.broker).state(),
        links: resolve(tokens.links).state(),
        claims: resolve(tokens.claims).state(),
        quarantine: resolve(tokens.crashGuard).state(),
        steering: {
            plan: resolve(tokens.steering).currentPlan(),
            applied: resolve(tokens.steering).applied(),
        },
        lease: { isHeld: resolve(tokens.lease).isHeld(), epoch: resolve(tokens.lease).epoch() },
        report: resolve(tokens.meter).report(true),
        connectionPools: resolve(tokens.pools).size(),
        requests: resolve(tokens.records).latest(50),
        memory: process.memoryUsage(),
    });
}
