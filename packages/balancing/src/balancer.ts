/** Chooses the backend server for a request by object affinity, load, health and latency. */
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
import type { RateLimitReport } from "./server-rate-limit.js";
import { ServerOutcome } from "./server-health.js";
import { createZoneLatency } from "./zone-latency.js";

export type Choice =
    | Placement
    | { kind: ChoiceKind.Full; server: BackendState }
    | {
          kind: ChoiceKind.Throttled;
          server: BackendState;
          /** Time in milliseconds until the server may get the request; Infinity if not from this instance. */
          throttledMs: number;
      }
    | { kind: ChoiceKind.NoServer };

/** Result of an attempt, as far as it concerns the server. */
export interface AttemptResult {
    outcome: ServerOutcome;
    /** Time in milliseconds from sending the request to the first byte of the response. */
    firstByteMs?: number;
    load?: LoadReport;
    /** Clock time at which the request was written to the server; undefined if it never was. */
    writtenAt?: number;
    /** Set if there was a response of the server itself. */
    response?: { rateLimit: RateLimitReport | undefined; retryAfterMs: number | undefined };
    responseBytes?: number;
}

export interface Balancer {
    choose(req: RoutedRequest): Choice;
    /** Counts the request as in flight on the chosen server. */
    start(req: RoutedRequest, placement: Placement): void;
    finish(req: RoutedRequest, placement: Placement, result: AttemptResult): void;
    /** Records that the server did not respond in the expected time. */
    recordNoResponse(placement: Placement): void;
    recordConnectTime(server: BackendState, connectMs: number): void;
    roundTripMs(server: BackendState): number;
    /** Updates the spillover share and the load estimates; called at short intervals. */
    adapt(): void;
    /** Standard deviation of the slot utilization over the usable servers of the local region, by service. */
    utilizationSpreads(): ReadonlyMap<string, number>;
    describe(): Record<string, unknown>;
}

export interface BalancerOptions {
    clock: Clock;
    table: BackendTable;
    zone: string;
    region: string;
    /** Number of regions that the system serves. */
    regions: number;
    /** Maximum share of a region's requests that may move to another region from one window to the next. */
    maxRegionShift: number;
    /** Number of instances in the zone, which are assumed to receive equal traffic. */
    countInstances: () => number;
    /** Called when the spillover share of a service has changed noticeably. */
    onSpilloverChange?: (service: string, share: number, utilization: RegionUtilization) => void;
    /** Called for each request that is sent, with the age in milliseconds of the newest load report of the server. */
    onReportUsed?: (service: string, ageMs: number) => void;
}

/** Minimum change of the spillover share that is reported. */
const minReportedChange = 0.1;
/**
 * Slowness from which a server is unhealthy. Moving its objects makes the first request of each take about 3x as long.
 */
const unhealthySlowness = 2.5;
/** Failure rate from which a server is unhealthy; a single failure stays below it. */
const unhealthyFailureRate = 0.2;
/** Decay of the slowness toward 1 with each update, so that a server that is no longer used is tried again. */
const slownessDecay = 0.02;

export function createBalancer(options: BalancerOptions): Balancer {
    const { clock, table, zone, region } = options;
    const ranking = createServerRanking(region);
    const zoneLatency = createZoneLatency(zone, region);
    const reuse = createReuseEstimator({ instancesInZone: () => Math.max(1, options.countInstances()) });
    const costs = createPlacementCosts({ zone, region, zoneLatency, reuse });
    const spillovers = new Map<string, RegionSpillover>();
    const reportedShares = new Map<string, number>();

    const getSpillover = (service: string): RegionSpillover => {
        let spillover = spillovers.get(service);
        if (spillover === undefined) {
            spillover = createRegionSpillover({ maxShift: options.maxRegionShift });
            spillovers.set(service, spillover);
        }
        return spillover;
    };

    const isWithinColdLimit = (server: BackendState, now: number): boolean =>
        now >= server.coldUntil || server.coldLimit.hasCapacity(now);

    /** Whether the server may receive the request, apart from its rate limit and a pause that it has asked for. */
    const isEligible = (server: BackendState, req: RoutedRequest, now: number): boolean =>
        !server.isLeaving &&
        !req.tried.has(server.record.id) &&
        server.health.isUsable(now, server.load.inFlight()) &&
        isWithinColdLimit(server, now) &&
        isRegionAllowed(req.route.allowedRegions, server.region) &&
        isRegionAllowed(req.workspace?.allowedRegions ?? [], server.region);

    const isAvailable = (server: BackendState, req: RoutedRequest, now: number): boolean =>
        isEligible(server, req, now) &&
        now >= server.health.pausedUntil() &&
        server.rateLimit.hasCapacity(now);

    /** Objects of an unhealthy server move to the next server of the zone. */
    const isHealthy = (server: BackendState, now: number): boolean =>
        server.slowness < unhealthySlowness && server.health.failureRate(now) < unhealthyFailureRate;

    const isCheaper = (a: Placement | undefined, b: Placement | undefined) =>
        a !== undefined && (b === undefined || a.costMs < b.costMs);

    /** Returns the cheapest placement among the best available server of each zone, even if it has no free slot. */
    const pickBest = (zones: readonly ZoneRanking[], req: RoutedRequest, now: number) => {
        let best: Placement | undefined;
        for (const { candidates } of zones) {
            const available = candidates.filter(({ server }) => isAvailable(server, req, now));
            const candidate = available.find(({ server }) => isHealthy(server, now)) ?? available[0];
            if (candidate !== undefined) {
                const placement = costs.place(candidate, req, now);
                best = isCheaper(placement, best) ? placement : best;
            }
        }
        return best;
    };

    /** Considers all available servers, for a request whose ranked servers are all unavailable. */
    const pickFromAll = (servers: readonly BackendState[], req: RoutedRequest, now: number) => {
        const singletons = servers.map(server => ({
            isLocalRegion: server.region === region,
            candidates: [{ server, isFirstInZone: false, isFirstInRegion: false, otherRegionRank: 0 }],
        }));
        return pickBest(singletons, req, now);
    };

    const getUtilization = (servers: readonly BackendState[], now: number): RegionUtilization => {
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
        const zones = ranking.zones(req.service, key, servers, table.revision());
        const own = zones.filter(({ isLocalRegion }) => isLocalRegion);
        const others = zones.filter(({ isLocalRegion }) => !isLocalRegion);
        const spillover = getSpillover(req.service);
        if (!spillover.hasTraffic()) {
            // After a restart, requests that waited for the server list arrive before the next periodic update.
            spillover.adapt(getUtilization(servers, now), now);
        }
        const spillsOver = own.length === 0 || (others.length > 0 && spillover.spillsOver(key));
        const first = pickBest(spillsOver ? others : own, req, now);
        if (first?.waitMs === 0) {
            return first;
        }
        const second = pickBest(spillsOver ? own : others, req, now);
        if (
            first === undefined ||
            (second?.hasCapacity && isCheaper(second, first) && spillover.tryOverflow())
        ) {
            return second ?? pickFromAll(servers, req, now);
        }
        return first;
    };

    /** Returns the server that wants the request first, if nothing but rate limits and pauses prevents it. */
    const pickThrottled = (req: RoutedRequest, now: number): Choice => {
        let first: BackendState | undefined;
        let throttledMs = Infinity;
        for (const server of table.usable(req.service)) {
            if (isEligible(server, req, now)) {
                const pausedMs = server.health.pausedUntil() - now;
                const limitedMs = server.rateLimit.msUntilCapacity(now, server.load.waiting());
                const ms = Math.max(pausedMs, limitedMs);
                if (first === undefined || ms < throttledMs) {
                    first = server;
                    throttledMs = ms;
                }
            }
        }
        return first === undefined
            ? { kind: ChoiceKind.NoServer }
            : { kind: ChoiceKind.Throttled, server: first, throttledMs };
    };

    const choose = (req: RoutedRequest): Choice => {
        const now = clock.now();
        const best = pick(req, now);
        if (best === undefined) {
            return pickThrottled(req, now);
        }
        return best.hasCapacity ? best : { kind: ChoiceKind.Full, server: best.server };
    };

    const reportSpillover = (service: string, utilization: RegionUtilization) => {
        const share = getSpillover(service).part();
        if (Math.abs(share - (reportedShares.get(service) ?? 0)) >= minReportedChange) {
            reportedShares.set(service, share);
            options.onSpilloverChange?.(service, share, utilization);
        }
    };

    return {
        choose,
        start: (req, { server }) => {
            const now = clock.now();
            const report = server.load.latest(now);
            if (report !== undefined) {
                options.onReportUsed?.(req.service, report.ageMs);
            }
            server.load.start(now);
            server.load.addBodyBytes(req.bodyBytes ?? 0);
            if (req.tried.size === 0) {
                reuse.count(req.route.name, req.objectKey);
            }
            getSpillover(req.service).countRequest(now);
            server.coldLimit.countRequest(now);
            server.rateLimit.countRequest(now);
            req.tried.add(server.record.id);
            server.warm.add(placementKey(req));
        },
        finish: (req, placement, result) => {
            const { outcome, firstByteMs, load, responseBytes = 0, writtenAt, response } = result;
            const now = clock.now();
            const { server } = placement;
            server.load.finish(now);
            server.load.addBodyBytes(-(req.bodyBytes ?? 0));
            server.health.recordOutcome(outcome, now);
            if (load !== undefined) {
                server.load.report(load, now);
            }
            if (response !== undefined && writtenAt !== undefined) {
                server.rateLimit.report(response.rateLimit, writtenAt, now);
                server.health.pause(response.retryAfterMs ?? 0, now);
            }
            if (outcome === ServerOutcome.Success && firstByteMs !== undefined) {
                costs.recordResponse(req, placement, { firstByteMs, responseBytes }, now);
            }
            if (outcome === ServerOutcome.Unreachable) {
                server.warm.clear();
            }
        },
        recordNoResponse: ({ server }) => server.health.recordOutcome(ServerOutcome.NoResponse, clock.now()),
        roundTripMs: server => zoneLatency.roundTripMs(server),
        recordConnectTime: (server, connectMs) => zoneLatency.recordConnectTime(server, connectMs),
        adapt: () => {
            const now = clock.now();
            reuse.adapt(now);
            for (const { name } of table.services()) {
                const utilization = getUtilization(table.usable(name), now);
                getSpillover(name).adapt(utilization, now);
                reportSpillover(name, utilization);
                costs.setUtilization(name, utilization.busy / Math.max(1, utilization.slots));
            }
            for (const server of table.all()) {
                server.slowness += (1 - server.slowness) * slownessDecay;
            }
        },
        utilizationSpreads: () => {
            const now = clock.now();
            return new Map(
                table.services().map(({ name }) => {
                    const own = table.usable(name).filter(server => server.region === region);
                    return [name, standardDeviation(own.map(server => getServerUtilization(server, now)))];
                }),
            );
        },
        describe: () => ({
            spill: Object.fromEntries(
                [...spillovers].map(([service, spillover]) => [service, spillover.part()]),
            ),
            work: costs.describe(),
            distance: zoneLatency.describe(),
        }),
    };
}

function getServerUtilization({ load, record }: BackendState, now: number): number {
    return load.expected(now) / Math.max(1, record.slots);
}

function standardDeviation(values: readonly number[]): number {
    const count = Math.max(1, values.length);
    const mean = values.reduce((sum, value) => sum + value, 0) / count;
    return Math.sqrt(values.reduce((sum, value) => sum + (value - mean) ** 2, 0) / count);
}

function countSlots(servers: readonly BackendState[]): number {
    return servers.reduce((sum, { record }) => sum + record.slots, 0);
}

function isRegionAllowed(allowedRegions: readonly string[], region: string): boolean {
    return allowedRegions.length === 0 || allowedRegions.includes(region);
}
