/** Decides which backend server gets a request, from the object that it concerns, load, health and distance. */
import type { Clock } from "@waxwingdale/core";
import type { BackendState } from "./backend-state.js";
import type { BackendTable } from "./backend-table.js";
import type { LoadReport } from "./server-load.js";
import { createReuseEstimator } from "./reuse-estimator.js";
import { createServerRanking } from "./server-ranking.js";
import type { ZoneRanking } from "./server-ranking.js";
import { createRegionSpillover } from "./region-spillover.js";
import type { RegionSpillover, RegionUtilization } from "./region-spillover.js";
import { ChoiceKind, placementKey } from "./placement.js";
import type { Placement, RoutedRequest } from "./placement.js";
import { createPlacementCosts } from "./placement-costs.js";
import { ServerOutcome } from "./server-health.js";
import { createZoneLatency } from "./zone-latency.js";

export type Choice =
    Placement | { kind: ChoiceKind.Full; server: BackendState } | { kind: ChoiceKind.NoServer };

/** What an attempt showed about its server. */
export interface AttemptResult {
    outcome: ServerOutcome;
    /** Time in milliseconds from the send to the first byte of the answer. */
    firstByteMs?: number;
    load?: LoadReport;
    responseBytes?: number;
}

export interface Balancer {
    choose(req: RoutedRequest): Choice;
    /** Counts the request at the chosen server. */
    start(req: RoutedRequest, placement: Placement): void;
    finish(req: RoutedRequest, placement: Placement, result: AttemptResult): void;
    /** The server has not answered in the time that was expected. */
    recordNoResponse(placement: Placement): void;
    recordConnectTime(server: BackendState, connectMs: number): void;
    roundTripMs(server: BackendState): number;
    /** Adapts the share of objects that leave the region; called at short intervals. */
    adapt(): void;
    describe(): Record<string, unknown>;
}

export interface BalancerOptions {
    clock: Clock;
    table: BackendTable;
    zone: string;
    region: string;
    /** Regions that the system serves. */
    regions: number;
    /** Part of a region's requests that may change their region between windows. */
    maxRegionShift: number;
    /** Instances that get about as many requests of the zone as this one. */
    countInstances: () => number;
    /** Called when the part of a service's objects that leave the region has changed by a step. */
    onSpilloverChange?: (service: string, part: number, use: RegionUtilization) => void;
}

/** Change of the part of objects that leave the region from which it is reported. */
const reportedSpillStep = 0.1;
/** Slowness from which a server is sick: its objects are learned by the next one, which takes about three times as long once. */
const sickSlowness = 2.5;
/** Share of failed requests from which a server is sick; one failure alone is not enough. */
const sickFailureRate = 0.2;
/** Part of a server's slowness that is forgiven at each adaptation, so that a server which is no longer used is tried again. */
const slownessDecay = 0.02;

export function createBalancer(options: BalancerOptions): Balancer {
    const { clock, table, zone, region } = options;
    const ranks = createServerRanking(region);
    const distance = createZoneLatency(zone, region);
    const copies = createReuseEstimator({ instancesInZone: () => Math.max(1, options.countInstances()) });
    const costs = createPlacementCosts({ zone, region, zoneLatency: distance, reuse: copies });
    const spills = new Map<string, RegionSpillover>();
    const reportedParts = new Map<string, number>();

    const spillOf = (service: string): RegionSpillover => {
        let spill = spills.get(service);
        if (spill === undefined) {
            spill = createRegionSpillover({ maxShift: options.maxRegionShift });
            spills.set(service, spill);
        }
        return spill;
    };

    const takesCold = (server: BackendState, now: number): boolean =>
        now >= server.coldUntil || server.coldLimit.hasCapacity(now);

    const isOpen = (server: BackendState, req: RoutedRequest, now: number): boolean =>
        !server.isLeaving &&
        !req.tried.has(server.record.id) &&
        server.health.isUsable(now, server.load.inFlight()) &&
        takesCold(server, now) &&
        (req.route.allowedRegions.length === 0 || req.route.allowedRegions.includes(server.region));

    /** A server that is sick keeps no object: the next one of the zone learns it. */
    const isSound = (server: BackendState, now: number): boolean =>
        server.slowness < sickSlowness && server.health.failureRate(now) < sickFailureRate;

    const isCheaper = (a: Placement | undefined, b: Placement | undefined) =>
        a !== undefined && (b === undefined || a.costMs < b.costMs);

    /** Returns the cheapest placement among the first open servers of zones, whether they have room at once or not. */
    const pickBest = (zones: readonly ZoneRanking[], req: RoutedRequest, now: number) => {
        let best: Placement | undefined;
        for (const { candidates } of zones) {
            const open = candidates.filter(({ server }) => isOpen(server, req, now));
            const candidate = open.find(({ server }) => isSound(server, now)) ?? open[0];
            if (candidate !== undefined) {
                const placement = costs.place(candidate, req, now);
                best = isCheaper(placement, best) ? placement : best;
            }
        }
        return best;
    };

    /** Any open server, for a request whose ranked servers are all closed. */
    const pickRest = (servers: readonly BackendState[], req: RoutedRequest, now: number) => {
        const alone = servers.map(server => ({
            isOwnRegion: server.region === region,
            candidates: [{ server, isFirstInZone: false, isFirstInRegion: false, otherRegionRank: 0 }],
        }));
        return pickBest(alone, req, now);
    };

    const useOf = (servers: readonly BackendState[], now: number): RegionUtilization => {
        const own = servers.filter(server => server.region === region);
        return {
            slots: countSlots(own),
            busy: own.reduce((sum, { load }) => sum + load.expected(now), 0),
            allSlots: countSlots(servers),
            regions: options.regions,
        };
    };

    const pick = (req: RoutedRequest, now: number): Placement | undefined => {
        const servers = table.usable(req.service);
        const key = placementKey(req);
        const zones = ranks.zones(req.service, key, servers, table.revision());
        const own = zones.filter(({ isOwnRegion }) => isOwnRegion);
        const others = zones.filter(({ isOwnRegion }) => !isOwnRegion);
        const spill = spillOf(req.service);
        if (!spill.hasTraffic()) {
            // After a restart requests wait for the list of servers, and come before the next adaptation.
            spill.adapt(useOf(servers, now), now);
        }
        const leaves = own.length === 0 || (others.length > 0 && spill.spillsOver(key));
        const first = pickBest(leaves ? others : own, req, now);
        if (first?.waitMs === 0) {
            return first;
        }
        const second = pickBest(leaves ? own : others, req, now);
        if (first === undefined || (second?.hasCapacity && isCheaper(second, first) && spill.tryOverflow())) {
            return second ?? pickRest(servers, req, now);
        }
        return first;
    };

    const choose = (req: RoutedRequest): Choice => {
        const best = pick(req, clock.now());
        if (best === undefined) {
            return { kind: ChoiceKind.NoServer };
        }
        return best.hasCapacity ? best : { kind: ChoiceKind.Full, server: best.server };
    };

    const reportSpill = (service: string, use: RegionUtilization) => {
        const part = spillOf(service).part();
        if (Math.abs(part - (reportedParts.get(service) ?? 0)) >= reportedSpillStep) {
            reportedParts.set(service, part);
            options.onSpilloverChange?.(service, part, use);
        }
    };

    return {
        choose,
        start: (req, { server }) => {
            const now = clock.now();
            server.load.start();
            if (req.tried.size === 0) {
                copies.count(req.route.name, req.objectKey);
            }
            spillOf(req.service).countRequest(now);
            if (now < server.coldUntil) {
                server.coldLimit.countRequest(now);
            }
            req.tried.add(server.record.id);
            server.warm.add(placementKey(req));
        },
        finish: (req, placement, { outcome, firstByteMs, load, responseBytes: answerBytes = 0 }) => {
            const now = clock.now();
            const { server } = placement;
            server.load.finish();
            server.health.recordOutcome(outcome, now);
            if (load !== undefined) {
                server.load.report(load, now);
            }
            if (outcome === ServerOutcome.Success && firstByteMs !== undefined) {
                costs.recordResponse(req, placement, firstByteMs, answerBytes);
            }
            if (outcome === ServerOutcome.Unreachable) {
                server.warm.clear();
            }
        },
        recordNoResponse: ({ server }) => server.health.recordOutcome(ServerOutcome.NoResponse, clock.now()),
        roundTripMs: server => distance.roundTripMs(server),
        recordConnectTime: (server, connectMs) => distance.recordConnectTime(server, connectMs),
        adapt: () => {
            const now = clock.now();
            copies.adapt(now);
            for (const { name } of table.services()) {
                const use = useOf(table.usable(name), now);
                spillOf(name).adapt(use, now);
                reportSpill(name, use);
                costs.setUtilization(name, use.busy / Math.max(1, use.slots));
            }
            for (const server of table.all()) {
                server.slowness += (1 - server.slowness) * slownessDecay;
            }
        },
        describe: () => ({
            spill: Object.fromEntries([...spills].map(([service, spill]) => [service, spill.part()])),
            work: costs.describe(),
            distance: distance.describe(),
        }),
    };
}

function countSlots(servers: readonly BackendState[]): number {
    return servers.reduce((sum, { record }) => sum + record.slots, 0);
}
