/** Registers the components that choose regions and entries: planner, reports, steering and lookups. */
import type { AcceptedConfig } from "@waxwingdale/config";
import { MemberStatus, rankOwners } from "@waxwingdale/core";
import type { Membership } from "@waxwingdale/membership";
import { createReportCollector, createReportMeter } from "@waxwingdale/reports";
import {
    createLookupDirectory,
    createClientBlockTable,
    createPlanner,
    createTrafficSteering,
    findDeadRegions,
} from "@waxwingdale/steering";
import type { ClientBlockTable } from "@waxwingdale/steering";
import { createLease } from "@waxwingdale/store";
import { tokens } from "./entry-tokens.js";
import type { RegisterComponent } from "./entry-tokens.js";

/** Number of entries that compete for the planner lease. More would only add load on the store. */
const plannerCandidates = 3;

export function composeSteering(add: RegisterComponent): void {
    add(tokens.steering, get => {
        const { clock, logger } = get(tokens.context);
        const steering = createTrafficSteering({
            view: get(tokens.membership),
            clock,
            logger,
            accepted: () => get(tokens.config).current(),
        });
        get(tokens.plan).onChange(plan => {
            if (steering.applyPlan(plan)) {
                get(tokens.traceTap).recordAppliedPlan(plan);
            }
        });
        return steering;
    });
    add(tokens.lookups, get => {
        const config = get(tokens.config);
        let table: ClientBlockTable | undefined;
        config.onChange(({ manifest }) => (table = createClientBlockTable(manifest.clientBlocks)));
        return createLookupDirectory({
            view: get(tokens.membership),
            clock: get(tokens.context).clock,
            accepted: () => config.current(),
            plan: () => get(tokens.steering).currentPlan(),
            table: () => table,
        });
    });
    add(tokens.lease, get => {
        const { store, clock, random, logger, settings } = get(tokens.context);
        return createLease({
            store,
            key: "lease/planner",
            holder: settings.id,
            clock,
            random,
            logger,
            isCandidate: () => isPlannerCandidate(get(tokens.membership), get(tokens.config)),
            knownEpoch: () => get(tokens.plan).status().order?.[0] ?? 0,
        });
    });
    add(tokens.meter, get => {
        const { settings, clock } = get(tokens.context);
        const backends = get(tokens.backends);
        return createReportMeter({
            entry: settings.id,
            region: settings.region,
            clock,
            servers: () => backends.servers(),
            manifest: () => get(tokens.config).current()?.manifest,
            listAgeMs: () => backends.listAgeMs(),
        });
    });
    add(tokens.collector, get => {
        const { clock, logger } = get(tokens.context);
        return createReportCollector({
            view: get(tokens.membership),
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            clock,
            logger,
            getLocalReport: capacities => get(tokens.meter).report(capacities),
            isCollecting: () => get(tokens.lease).isHeld(),
        });
    });
    add(tokens.planner, get => {
        const { store, clock, logger } = get(tokens.context);
        const lease = get(tokens.lease);
        // Membership removes members that have been dead for a while, but their region stays dead.
        let deadRegions: ReadonlySet<string> = new Set();
        return createPlanner({
            store,
            lease: { isHeld: () => lease.isHeld(), epoch: () => lease.epoch() ?? 0 },
            clock,
            logger,
            observe: () => {
                const accepted = get(tokens.config).current();
                if (accepted === undefined) {
                    return undefined;
                }
                const collector = get(tokens.collector);
                deadRegions = findDeadRegions(get(tokens.membership), accepted.manifest, deadRegions);
                return {
                    accepted,
                    demands: collector.demands(),
                    capacities: collector.capacities(),
                    deadRegions,
                };
            },
            onPlanInput: (input, plan) => get(tokens.traceTap).recordPlan(input, plan),
            onPlan: plan => get(tokens.plan).applyLocal(plan),
        });
    });
}

/**
 * Whether this entry is among the first entries of the store's region by rendezvous hashing. All regions count if the
 * store's region has no live entry.
 */
function isPlannerCandidate(membership: Membership, config: AcceptedConfig): boolean {
    const self = membership.self();
    const storeRegion = config.current()?.manifest.storeRegion;
    if (storeRegion === undefined || self.status !== MemberStatus.Live) {
        return false;
    }
    const inStoreRegion = membership.liveInRegion(storeRegion);
    const candidates =
        inStoreRegion.length > 0
            ? inStoreRegion
            : membership.members().filter(({ status }) => status === MemberStatus.Live);
    const ids = candidates.map(member => member.id);
    return rankOwners("lease/planner", ids).slice(0, plannerCandidates).includes(self.id);
}
