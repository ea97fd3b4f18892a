/** What a request costs at a backend server: its own time, and the time and bytes that it takes from others. */
import type { ReuseEstimator } from "./reuse-estimator.js";
import type { Candidate } from "./server-ranking.js";
import { ChoiceKind, placementKey } from "./placement.js";
import type { Placement, RoutedRequest } from "./placement.js";
import type { Route } from "./traffic-config.js";
import { createWorkEstimate } from "./work-estimate.js";
import type { WorkEstimate } from "./work-estimate.js";
import type { ZoneLatency } from "./zone-latency.js";

export interface PlacementCosts {
    place(candidate: Candidate, req: RoutedRequest, now: number): Placement;
    recordResponse(req: RoutedRequest, placement: Placement, firstByteMs: number, answerBytes: number): void;
    /** Sets the use of a service's slots in the own region: 1 when as many requests are there as slots. */
    setUtilization(service: string, use: number): void;
    describe(): Record<string, unknown>;
}

export interface PlacementCostsOptions {
    zone: string;
    region: string;
    zoneLatency: ZoneLatency;
    reuse: ReuseEstimator;
}

/** Requests beyond its slots that a server is given, so that a slot is never empty for the time of a round trip. */
const maxAheadOfSlots = 2;
/** Extra cost in milliseconds of another zone of the own region, since bytes between zones are charged for. */
const zoneCrossingCostMs = 8;
/** Extra cost in milliseconds for each KiB of an answer that crosses a border between zones or regions. */
const bytesCostMsPerKib = 0.4;
/**
 * Extra cost in milliseconds for each rank in other regions. Objects that leave a region spread over the others by it; it
 * is less than the difference between a warm and a cold server, so that an object stays where it has been.
 */
const otherRegionRankCostMs = 6;
/** Cost of an expected failure, in target latencies of the route. */
const failureCostInTargets = 2;
/** Use of the slots from which the time of a slot is priced. */
const pricedUse = 0.5;
/**
 * Price of a millisecond of a slot when all slots are in use: others wait for it. It keeps requests at the servers that
 * know their objects, where they take a third of the time, instead of filling the last idle slots with long work.
 */
const fullSlotPrice = 2;
/** Highest price, for the use at which requests wait everywhere. */
const maxSlotPrice = 4;
/** Weight of one answer in the slowness of a server. */
const slownessWeight = 0.08;
/** Bounds of one answer's part in the slowness: a cold object or one lost packet alone must not mark a server as slow. */
const minSlowness = 0.5;
const maxSlowness = 12;
/** Part of the way from cold to warm work for an object that other instances send to the same server. */
const likelyWarmPart = 0.5;

export function createPlacementCosts({
    zone,
    region,
    zoneLatency: distance,
    reuse: copies,
}: PlacementCostsOptions): PlacementCosts {
    const estimates = new Map<string, WorkEstimate>();
    const slotPrices = new Map<string, number>();

    const estimateOf = (route: Route): WorkEstimate => {
        let estimate = estimates.get(route.name);
        if (estimate === undefined) {
            estimate = createWorkEstimate(route);
            estimates.set(route.name, estimate);
        }
        return estimate;
    };

    const expectWork = ({ server, isFirstInZone }: Candidate, req: RoutedRequest): number => {
        const estimate = estimateOf(req.route);
        const warmMs = estimate.expectedWorkMs(true);
        if (!req.route.hasAffinity || server.warm.has(placementKey(req))) {
            return warmMs;
        }
        const coldMs = estimate.expectedWorkMs(false);
        // Other instances send the object to the first of its zone, so it may well be warm there.
        return isFirstInZone ? coldMs + (warmMs - coldMs) * likelyWarmPart : coldMs;
    };

    /**
     * A further copy of an object in the region costs the time that a server needs to learn it, and takes the place of
     * another object; the requests that will use the copy share this cost.
     */
    const copyCost = ({ server, isFirstInRegion }: Candidate, req: RoutedRequest): number => {
        const isFree = !req.route.hasAffinity || isFirstInRegion || server.region !== region;
        if (isFree || server.warm.has(placementKey(req))) {
            return 0;
        }
        const estimate = estimateOf(req.route);
        const learnMs = estimate.expectedWorkMs(false) - estimate.expectedWorkMs(true);
        return learnMs / Math.max(1, copies.usesPerCopy(req.route.name));
    };

    const crossingCost = ({ server }: Candidate, route: Route): number => {
        if (server.record.zone === zone) {
            return 0;
        }
        const bytesMs = (estimateOf(route).meanResponseBytes() / 1024) * bytesCostMsPerKib;
        return server.region === region ? zoneCrossingCostMs + bytesMs : bytesMs;
    };

    return {
        place: (candidate, req, now) => {
            const { server } = candidate;
            const { slots } = server.record;
            const workMs = expectWork(candidate, req) * server.slowness;
            const busy = server.load.expected(now);
            const beyond = Math.max(0, busy + server.load.waiting() + 1 - slots);
            const waitMs = (beyond / slots) * estimateOf(req.route).expectedWorkMs(true) * server.slowness;
            const roundTripMs = distance.roundTripMs(server);
            const expectedMs = roundTripMs + waitMs + workMs;
            const slotMs = workMs * (slotPrices.get(req.service) ?? 0);
            const failureMs =
                server.health.failureRate(now) * failureCostInTargets * req.route.targetLatencyMs;
            const spreadMs = candidate.otherRegionRank * otherRegionRankCostMs;
            return {
                kind: ChoiceKind.Send,
                server,
                isWarm: server.warm.has(placementKey(req)),
                hasCapacity: busy < slots + maxAheadOfSlots,
                expectedMs,
                waitMs,
                workMs,
                roundTripMs,
                costMs:
                    expectedMs +
                    slotMs +
                    failureMs +
                    spreadMs +
                    crossingCost(candidate, req.route) +
                    copyCost(candidate, req),
            };
        },
        recordResponse: (req, placement, firstByteMs, answerBytes) => {
            const estimate = estimateOf(req.route);
            estimate.recordResponseBytes(answerBytes);
            if (placement.waitMs > 0) {
                return;
            }
            const { server, isWarm } = placement;
            const workMs = Math.max(1, firstByteMs - placement.roundTripMs);
            const ratio = workMs / Math.max(1, placement.workMs / server.slowness);
            const limited = Math.min(maxSlowness, Math.max(minSlowness, ratio));
            server.slowness += (limited - server.slowness) * slownessWeight;
            estimate.recordWork(isWarm, workMs / Math.max(1, server.slowness));
        },
        setUtilization: (service, use) => {
            const price = ((use - pricedUse) / (1 - pricedUse)) * fullSlotPrice;
            slotPrices.set(service, Math.min(maxSlotPrice, Math.max(0, price)));
        },
        describe: () => ({
            usesPerCopy: Object.fromEntries(
                [...estimates.keys()].map(route => [route, copies.usesPerCopy(route)]),
            ),
            slotPrices: Object.fromEntries(slotPrices),
            routes: Object.fromEntries(
                [...estimates].map(([name, estimate]) => [
                    name,
                    {
                        warmMs: Math.round(estimate.expectedWorkMs(true)),
                        coldMs: Math.round(estimate.expectedWorkMs(false)),
                        answerBytes: Math.round(estimate.meanResponseBytes()),
                    },
                ]),
            ),
        }),
    };
}
