/** Cost model for placing a request on a backend server: its own latency and its impact on other requests. */
import type { BackendState } from "./backend-state.js";
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
    recordResponse(req: RoutedRequest, placement: Placement, response: MeasuredResponse, now: number): void;
    /** Sets the slot utilization of a service in the local region; 1 means as many requests as slots. */
    setUtilization(service: string, utilization: number): void;
    describe(): Record<string, unknown>;
}

/** What a response says about the work of a route and about the server. */
export interface MeasuredResponse {
    firstByteMs: number;
    responseBytes: number;
}

export interface PlacementCostsOptions {
    zone: string;
    region: string;
    zoneLatency: ZoneLatency;
    reuse: ReuseEstimator;
}

/** Requests sent to a server beyond its slots, so that no slot idles for a round trip between two requests. */
const maxRequestsBeyondSlots = 2;
/** Extra cost in milliseconds of another zone in the local region, since cross-zone traffic is charged for. */
const crossZoneCostMs = 8;
/** Extra cost in milliseconds per KiB of a response that crosses a zone or region boundary. */
const transferCostMsPerKib = 0.4;
/**
 * Extra cost in milliseconds for each rank in other regions, which spreads the objects that spill over. It is lower
 * than the difference between a warm and a cold server, so that an object stays on its server.
 */
const otherRegionRankCostMs = 6;
/** Cost of an expected failure, as a multiple of the route's target latency. */
const failureCostInTargets = 2;
/** Slot utilization above which slot time has a price. */
const minPricedUtilization = 0.5;
/**
 * Price of a millisecond of slot time when all slots are in use and other requests wait. It keeps requests on warm
 * servers, where they take a third of the time, instead of filling the last idle slots with long-running cold work.
 */
const fullSlotPrice = 2;
/** Maximum price, reached when requests wait on all servers. */
const maxSlotPrice = 4;
/** Weight of one response in the moving average of a server's slowness. */
const slownessWeight = 0.08;
/** Bounds of a single sample of the slowness: one cold object or lost packet must not mark a server as slow. */
const minSlowness = 0.5;
const maxSlowness = 12;
/**
 * Weight in the cost of the time by which a machine's other load lengthens the work. It passes sooner than the copies of
 * objects that would be made elsewhere, so that with a weight of 1 fewer requests find a warm server.
 */
const addedWorkWeight = 0.5;
/** Interpolation between cold and warm work time for an object that other instances send to the same server. */
const likelyWarmWeight = 0.5;

/**
 * Bytes of request bodies that this instance sends to one server at the same time, except for a single larger one. Servers
 * end when the requests that they hold exceed their memory, and do not say how much they have.
 */
const maxServerBodyBytes = 8 * 1024 * 1024;

function hasRoomForBody({ load }: BackendState, { bodyBytes = 0 }: RoutedRequest): boolean {
    return load.bodyBytes() === 0 || load.bodyBytes() + bodyBytes <= maxServerBodyBytes;
}

export function createPlacementCosts({
    zone,
    region,
    zoneLatency,
    reuse,
}: PlacementCostsOptions): PlacementCosts {
    const estimates = new Map<string, WorkEstimate>();
    const slotPrices = new Map<string, number>();

    const getEstimate = (route: Route): WorkEstimate => {
        let estimate = estimates.get(route.name);
        if (estimate === undefined) {
            estimate = createWorkEstimate(route);
            estimates.set(route.name, estimate);
        }
        return estimate;
    };

    const getExpectedWorkMs = ({ server, isFirstInZone }: Candidate, req: RoutedRequest): number => {
        const estimate = getEstimate(req.route);
        const warmMs = estimate.expectedWorkMs(true);
        if (!req.route.hasAffinity || server.warm.has(placementKey(req))) {
            return warmMs;
        }
        const coldMs = estimate.expectedWorkMs(false);
        // Other instances send the object to the first server of the zone, so it is probably warm there.
        return isFirstInZone ? coldMs + (warmMs - coldMs) * likelyWarmWeight : coldMs;
    };

    /**
     * Time by which the machine's other load lengthens the work. An object that is probably warm is not moved for a time that
     * only its cold work would take.
     */
    const getAddedWorkMs = (
        { isFirstInZone, server }: Candidate,
        { route }: RoutedRequest,
        usualWorkMs: number,
        workTimeFactor: number,
    ): number => {
        const warmMs = getEstimate(route).expectedWorkMs(true) * server.slowness;
        return (workTimeFactor - 1) * (isFirstInZone ? Math.min(usualWorkMs, warmMs) : usualWorkMs);
    };

    /**
     * An additional cached copy of an object in the region costs the time for a cold request and evicts another object.
     * The cost is divided among the requests that are expected to reuse the copy.
     */
    const copyCost = ({ server, isFirstInRegion }: Candidate, req: RoutedRequest): number => {
        const isFree = !req.route.hasAffinity || isFirstInRegion || server.region !== region;
        if (isFree || server.warm.has(placementKey(req))) {
            return 0;
        }
        const estimate = getEstimate(req.route);
        const coldPenaltyMs = estimate.expectedWorkMs(false) - estimate.expectedWorkMs(true);
        return coldPenaltyMs / Math.max(1, reuse.usesPerCopy(req.route.name));
    };

    const transferCost = ({ server }: Candidate, route: Route): number => {
        if (server.record.zone === zone) {
            return 0;
        }
        const bytesMs = (getEstimate(route).meanResponseBytes() / 1024) * transferCostMsPerKib;
        return server.region === region ? crossZoneCostMs + bytesMs : bytesMs;
    };

    return {
        place: (candidate, req, now) => {
            const { server } = candidate;
            const { slots } = server.record;
            const workTimeFactor = server.load.workTimeFactor(now);
            const usualWorkMs = getExpectedWorkMs(candidate, req) * server.slowness;
            const addedWorkMs = getAddedWorkMs(candidate, req, usualWorkMs, workTimeFactor);
            const workMs = usualWorkMs + addedWorkMs;
            const busy = server.load.expected(now);
            const excess = Math.max(0, busy + server.load.waiting() + 1 - slots);
            const waitMs =
                (excess / slots) *
                getEstimate(req.route).expectedWorkMs(true) *
                server.slowness *
                workTimeFactor;
            const roundTripMs = zoneLatency.roundTripMs(server);
            const expectedMs = roundTripMs + waitMs + workMs;
            const notCountedMs = addedWorkMs * (1 - addedWorkWeight);
            const slotMs = (workMs - notCountedMs) * (slotPrices.get(req.service) ?? 0);
            const failureMs =
                server.health.failureRate(now) * failureCostInTargets * req.route.targetLatencyMs;
            const spreadMs = candidate.otherRegionRank * otherRegionRankCostMs;
            return {
                kind: ChoiceKind.Send,
                server,
                isWarm: server.warm.has(placementKey(req)),
                hasCapacity: busy < slots + maxRequestsBeyondSlots && hasRoomForBody(server, req),
                expectedMs,
                waitMs,
                workMs,
                usualWorkMs,
                workTimeFactor,
                roundTripMs,
                costMs:
                    expectedMs -
                    notCountedMs +
                    slotMs +
                    failureMs +
                    spreadMs +
                    transferCost(candidate, req.route) +
                    copyCost(candidate, req),
            };
        },
        recordResponse: (req, placement, { firstByteMs, responseBytes }, now) => {
            const estimate = getEstimate(req.route);
            estimate.recordResponseBytes(responseBytes);
            if (placement.waitMs > 0) {
                return;
            }
            const { server, isWarm } = placement;
            // What the machine's other load explains is neither slowness of the server nor work of the route.
            const workTimeFactor = (placement.workTimeFactor + server.load.workTimeFactor(now)) / 2;
            const workMs = Math.max(1, (firstByteMs - placement.roundTripMs) / workTimeFactor);
            const ratio = workMs / Math.max(1, placement.usualWorkMs / server.slowness);
            const sample = Math.min(maxSlowness, Math.max(minSlowness, ratio));
            server.slowness += (sample - server.slowness) * slownessWeight;
            estimate.recordWork(isWarm, workMs / Math.max(1, server.slowness));
        },
        setUtilization: (service, utilization) => {
            const price = ((utilization - minPricedUtilization) / (1 - minPricedUtilization)) * fullSlotPrice;
            slotPrices.set(service, Math.min(maxSlotPrice, Math.max(0, price)));
        },
        describe: () => ({
            usesPerCopy: Object.fromEntries(
                [...estimates.keys()].map(route => [route, reuse.usesPerCopy(route)]),
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
