/** Decides which backend server gets a request, from the object that it concerns, load, health and distance. */
import type { Clock } from "@waxwingdale/core";
import type { BackendState } from "./backend-state.js";
import type { BackendTable } from "./backend-table.js";
import type { LoadReport } from "./server-load.js";
import { createObjectRanks } from "./object-ranks.js";
import type { Candidate } from "./object-ranks.js";
import { createRegionSpill } from "./region-spill.js";
import type { RegionSpill, RegionUse } from "./region-spill.js";
import { ServerOutcome } from "./server-health.js";
import type { Route } from "./traffic-config.js";
import { createWorkEstimate } from "./work-estimate.js";
import type { WorkEstimate } from "./work-estimate.js";
import { createZoneDistance } from "./zone-distance.js";

/** A request as far as it decides about the backend server. */
export interface RoutedRequest {
    route: Route;
    service: string;
    objectKey: string;
    /** Time of the clock at which the request was read. */
    arrivedAt: number;
    /** Time of the clock at which its caller stops waiting. */
    deadlineAt: number;
    /** Ids of servers that have had the request already. */
    tried: Set<string>;
}

export enum ChoiceKind {
    Send = "send",
    /** All servers that could take the request are full. */
    Full = "full",
    /** No server may get the request. */
    NoServer = "no-server",
}

export interface Placement {
    kind: ChoiceKind.Send;
    server: BackendState;
    /** Whether this instance knows the server to have handled the object recently. */
    isWarm: boolean;
    /** Expected time to the answer in milliseconds. */
    expectedMs: number;
    /** Expected part of it that the request waits for a slot. */
    waitMs: number;
    /** Expected part of it that the way takes. */
    roundTripMs: number;
    startedAt: number;
    /** See `Candidate`. */
    otherRegionRank: number;
}

export type Choice =
    Placement | { kind: ChoiceKind.Full; expectedWaitMs: number } | { kind: ChoiceKind.NoServer };

/** What an attempt showed about its server. */
export interface AttemptResult {
    outcome: ServerOutcome;
    /** Time in milliseconds from the send to the first byte of the answer. */
    firstByteMs?: number;
    load?: LoadReport;
}

export interface Balancer {
    choose(req: RoutedRequest): Choice;
    /** Counts the request at the chosen server. */
    start(req: RoutedRequest, placement: Placement): void;
    finish(req: RoutedRequest, placement: Placement, result: AttemptResult): void;
    /** The server has not answered in the time that was expected. */
    observeSilence(placement: Placement): void;
    learnConnect(server: BackendState, connectMs: number): void;
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
    /** Whether an instance serves in the zone; a cold server gets requests from its nearest instances only. */
    hasInstances: (zone: string) => boolean;
    regionHasInstances: (region: string) => boolean;
}

/** Requests beyond its slots that a server is given, so that a slot is never empty for the time of a round trip. */
const maxAheadOfSlots = 2;
/** Extra cost in milliseconds of another zone of the own region, since bytes between zones are charged for. */
const zoneCrossingCostMs = 12;
/**
 * Extra cost in milliseconds for each rank in other regions. Objects that leave a region spread over the others by it; it
 * is less than the difference between a warm and a cold server, so that an object stays where it has been.
 */
const otherRegionRankCostMs = 6;
/** Cost of an expected failure, in target latencies of the route. */
const failureCostInTargets = 2;
/** Weight of one answer in the slowness of a server. */
const slownessWeight = 0.08;
/** Time constant in milliseconds by which an unused server's slowness returns to normal. */
const slownessDecay = 0.02;
const minSlowness = 0.5;
const maxSlowness = 12;

export function createBalancer(options: BalancerOptions): Balancer {
    const { clock, table, zone, region } = options;
    const ranks = createObjectRanks(region);
    const distance = createZoneDistance(zone, region);
    const estimates = new Map<string, WorkEstimate>();
    const spills = new Map<string, RegionSpill>();

    const estimateOf = (route: Route): WorkEstimate => {
        let estimate = estimates.get(route.name);
        if (estimate === undefined) {
            estimate = createWorkEstimate(route.targetLatencyMs);
            estimates.set(route.name, estimate);
        }
        return estimate;
    };

    const spillOf = (service: string): RegionSpill => {
        let spill = spills.get(service);
        if (spill === undefined) {
            spill = createRegionSpill({ maxShift: options.maxRegionShift });
            spills.set(service, spill);
        }
        return spill;
    };

    /** A cold server gets requests from the nearest instances only, which share its limit. */
    const takesCold = (server: BackendState, now: number): boolean => {
        if (now >= server.coldUntil) {
            return true;
        }
        const isNearest =
            server.record.zone === zone ||
            (server.region === region && !options.hasInstances(server.record.zone)) ||
            !options.regionHasInstances(server.region);
        return isNearest && server.coldLimit.hasRoom(now);
    };

    const isOpen = (server: BackendState, req: RoutedRequest, now: number): boolean =>
        !server.isLeaving &&
        !req.tried.has(server.record.id) &&
        server.health.isUsable(now, server.load.inFlight()) &&
        takesCold(server, now) &&
        (req.route.allowedRegions.length === 0 || req.route.allowedRegions.includes(server.region));

    const expectedWork = ({ server, rankInZone }: Candidate, req: RoutedRequest): number => {
        const estimate = estimateOf(req.route);
        if (!req.route.hasAffinity || server.warm.has(placementKey(req))) {
            return estimate.expect(true);
        }
        // Other instances send the object to the first of its zone, so it may well be warm there.
        return rankInZone === 0
            ? (estimate.expect(true) + estimate.expect(false)) / 2
            : estimate.expect(false);
    };

    const place = (candidate: Candidate, req: RoutedRequest, now: number): Placement => {
        const { server } = candidate;
        const workMs = expectedWork(candidate, req) * server.slowness;
        const busy = server.load.expected(now);
        const beyond = Math.max(0, busy + 1 - server.record.slots);
        const waitMs = (beyond / server.record.slots) * workMs;
        const roundTripMs = distance.roundTripMs(server);
        return {
            kind: ChoiceKind.Send,
            server,
            isWarm: server.warm.has(placementKey(req)),
            expectedMs: roundTripMs + waitMs + workMs,
            waitMs,
            roundTripMs,
            startedAt: now,
            otherRegionRank: candidate.otherRegionRank,
        };
    };

    const costOf = (placement: Placement, req: RoutedRequest, now: number): number => {
        const { server, otherRegionRank } = placement;
        const crossing = server.region === region && server.record.zone !== zone ? zoneCrossingCostMs : 0;
        const spread = otherRegionRank * otherRegionRankCostMs;
        const failure = server.health.failureRate(now) * failureCostInTargets * req.route.targetLatencyMs;
        return placement.expectedMs + crossing + spread + failure;
    };

    const pickBest = (candidates: readonly Candidate[], req: RoutedRequest, now: number) => {
        let best: Placement | undefined;
        let bestCost = Infinity;
        let isAnyOpen = false;
        let leastWaitMs = Infinity;
        for (const candidate of candidates) {
            if (!isOpen(candidate.server, req, now)) {
                continue;
            }
            isAnyOpen = true;
            const placement = place(candidate, req, now);
            leastWaitMs = Math.min(leastWaitMs, placement.waitMs);
            const { load, record } = candidate.server;
            if (load.expected(now) >= record.slots + maxAheadOfSlots) {
                continue;
            }
            const cost = costOf(placement, req, now);
            if (cost < bestCost) {
                best = placement;
                bestCost = cost;
            }
        }
        return { best, bestCost, isAnyOpen, leastWaitMs };
    };

    const choose = (req: RoutedRequest): Choice => {
        const now = clock.now();
        const servers = table.usable(req.service);
        const all = ranks.candidates(req.service, placementKey(req), servers, table.revision());
        const spill = spillOf(req.service);
        const own = all.filter(({ server }) => server.region === region);
        const others = all.filter(({ server }) => server.region !== region);
        const leaves = own.length === 0 || (others.length > 0 && spill.leaves(placementKey(req)));
        let found = pickBest(leaves ? others : own, req, now);
        if (found.best === undefined || found.best.waitMs > 0) {
            const alternative = pickBest(leaves ? own : others, req, now);
            const isBetter = alternative.best !== undefined && alternative.bestCost < found.bestCost;
            if (isBetter && (!found.isAnyOpen || spill.tryOverflow())) {
                found = alternative;
            } else {
                found.isAnyOpen ||= alternative.isAnyOpen;
            }
        }
        if (found.best !== undefined) {
            return found.best;
        }
        // The ranks name only some servers; a request that found none of them may go to any.
        const rest = pickBest(
            servers.map(server => ({ server, rankInZone: servers.length, otherRegionRank: 0 })),
            req,
            now,
        );
        const isHome = rest.best?.server.region === region;
        if (rest.best !== undefined && (isHome || !found.isAnyOpen || spill.tryOverflow())) {
            return rest.best;
        }
        return found.isAnyOpen || rest.isAnyOpen
            ? { kind: ChoiceKind.Full, expectedWaitMs: Math.min(found.leastWaitMs, rest.leastWaitMs) }
            : { kind: ChoiceKind.NoServer };
    };

    const useOf = (servers: readonly BackendState[], now: number): RegionUse => {
        const own = servers.filter(server => server.region === region);
        return {
            slots: countSlots(own),
            busy: own.reduce((sum, { load }) => sum + load.expected(now), 0),
            allSlots: countSlots(servers),
            regions: options.regions,
        };
    };

    const learnWork = (req: RoutedRequest, placement: Placement, firstByteMs: number) => {
        if (placement.waitMs > 0) {
            return;
        }
        const { server, isWarm } = placement;
        const workMs = Math.max(1, firstByteMs - placement.roundTripMs);
        const estimate = estimateOf(req.route);
        const ratio = workMs / Math.max(1, placement.expectedMs / server.slowness - placement.roundTripMs);
        const limited = Math.min(maxSlowness, Math.max(minSlowness, ratio));
        server.slowness += (limited - server.slowness) * slownessWeight;
        estimate.learn(isWarm, workMs / Math.max(1, server.slowness));
    };

    return {
        choose,
        start: (req, { server }) => {
            const now = clock.now();
            server.load.start();
            spillOf(req.service).countRequest();
            if (now < server.coldUntil) {
                server.coldLimit.countRequest(now);
            }
            req.tried.add(server.record.id);
            server.warm.add(placementKey(req));
        },
        finish: (req, placement, { outcome, firstByteMs, load }) => {
            const now = clock.now();
            const { server } = placement;
            server.load.finish();
            server.health.learn(outcome, now);
            if (load !== undefined) {
                server.load.report(load, now);
            }
            if (outcome === ServerOutcome.Success && firstByteMs !== undefined) {
                learnWork(req, placement, firstByteMs);
            }
            if (outcome === ServerOutcome.Unreachable) {
                server.warm.clear();
            }
        },
        observeSilence: ({ server }) => server.health.learn(ServerOutcome.Silent, clock.now()),
        roundTripMs: server => distance.roundTripMs(server),
        learnConnect: (server, connectMs) => distance.learn(server, connectMs),
        adapt: () => {
            const now = clock.now();
            for (const { name } of table.services()) {
                spillOf(name).adapt(useOf(table.usable(name), now), now);
            }
            for (const server of table.all()) {
                server.slowness += (1 - server.slowness) * slownessDecay;
            }
        },
        describe: () => ({
            spill: Object.fromEntries([...spills].map(([service, spill]) => [service, spill.part()])),
            work: Object.fromEntries(
                [...estimates].map(([name, estimate]) => [
                    name,
                    { warmMs: estimate.expect(true), coldMs: estimate.expect(false) },
                ]),
            ),
            distance: distance.describe(),
        }),
    };
}

function countSlots(servers: readonly BackendState[]): number {
    return servers.reduce((sum, { record }) => sum + record.slots, 0);
}

/** Servers keep what they know of an object for each route apart, so the routes of an object are placed apart as well. */
function placementKey({ route, objectKey }: RoutedRequest): string {
    return `${route.name}\n${objectKey}`;
}
