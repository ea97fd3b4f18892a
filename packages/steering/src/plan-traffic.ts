/**
 * Decides how much traffic of each region is shifted to other regions. A step has four phases: the previous flows are
 * reduced to what the limits still allow; traffic that no longer needs to be shifted returns to its home region at the
 * configured rate; flows into regions that need their capacity for their own traffic are reduced; and excess traffic is
 * placed in the nearest regions with headroom. The result depends on the input only.
 */
import { createPlanState, getUnshiftedRate, pairKey, reduceFlow } from "./plan-state.js";
import { sumInflow, sumLinkLoad, sumPairRate, sumShiftedRate } from "./plan-state.js";
import type { PlanState, RouteState } from "./plan-state.js";
import { PlanLimit, ShiftReason } from "./plan-types.js";
import type { Plan, PlanBound, PlanInput, PlanRoute, PlanShift } from "./plan-types.js";

/** Share of its capacity that a region's own traffic may use before the excess is shifted. */
const homeShare = 0.95;
/**
 * Share of its capacity below which a region takes its traffic back. The gap to `homeShare` keeps traffic that varies
 * by less than a tenth of the capacity from moving back and forth.
 */
const returnShare = 0.85;
/** Share of its capacity up to which a region accepts traffic of other regions. */
const targetShare = 0.9;
/** Number of rounds in which excess is placed, so that no route uses up a limit that others need as well. */
const placementRounds = 8;
/** Rates below this are rounding errors. */
const minRate = 1e-6;

export function planTraffic(input: PlanInput): Plan {
    const state = createPlanState(input);
    adoptPreviousFlows(state);
    for (const route of state.routes) {
        route.wanted = computeWanted(state, route);
        returnHome(state, route);
    }
    reduceInflows(state);
    placeExcess(state);
    return { routes: state.routes.map(route => toPlanRoute(state, route)) };
}

/** Adopts the flows of the previous plan and reduces them to the demand, the caps and the links. */
function adoptPreviousFlows(state: PlanState): void {
    for (const route of state.routes) {
        for (const shift of route.previous?.shifts ?? []) {
            if (route.targets.includes(shift.region)) {
                route.flows.set(shift.region, shift.perSecond);
            }
            if (state.input.deadRegions.has(shift.region)) {
                reduceFlow(route, shift.region, 0, PlanLimit.RegionCapacity);
            }
        }
        const shifted = sumShiftedRate(route);
        if (shifted > route.offered) {
            for (const [region, rate] of route.flows) {
                route.flows.set(region, (rate * route.offered) / shifted);
            }
        }
    }
    for (const { cap } of state.pairs.values()) {
        const factor = cap.maxRequestsPerSecond / sumPairRate(state, cap.from, cap.to);
        reducePairFlows(state, cap.from, cap.to, factor, PlanLimit.Cap);
    }
    for (const [key, limit] of state.linkLimits) {
        const [from, to] = key.split("\n") as [string, string];
        const factor = limit / sumLinkLoad(state, from, to);
        reducePairFlows(state, from, to, factor, PlanLimit.Link);
        reducePairFlows(state, to, from, factor, PlanLimit.Link);
    }
}

function reducePairFlows(state: PlanState, from: string, to: string, factor: number, limit: PlanLimit): void {
    for (const route of state.routes) {
        if (route.home === from && !(limit === PlanLimit.Link && route.dead)) {
            reduceFlow(route, to, factor, limit);
        }
    }
}

/** Computes the rate that should be shifted, with hysteresis around the current rate. */
function computeWanted(state: PlanState, route: RouteState): number {
    const shifted = sumShiftedRate(route);
    if (route.held) {
        return shifted;
    }
    const unshifted = route.offered - shifted;
    const { undrainedRate } = route.capacity;
    const hasDrainedTarget = route.targets.some(region => isDrainedTarget(state, route, region));
    if (unshifted > undrainedRate * homeShare || hasDrainedTarget) {
        return Math.max(0, route.offered - undrainedRate * homeShare);
    }
    return unshifted < undrainedRate * returnShare
        ? Math.max(0, Math.min(shifted, route.offered - undrainedRate * returnShare))
        : shifted;
}

/** Returns whether the route's flow to a region has to move because the region is drained. */
function isDrainedTarget(state: PlanState, route: RouteState, region: string): boolean {
    return (route.flows.get(region) ?? 0) > 0 && state.getRoute(route.service.name, region).capacity.drained;
}

/** Reduces unneeded shifts, first to drained regions, then to the farthest ones, as fast as the home caches warm up. */
function returnHome(state: PlanState, route: RouteState): void {
    const key = pairKey(route.service.name, route.home);
    let excess = Math.min(sumShiftedRate(route) - route.wanted, state.warmUpBudgets.get(key)!);
    const farthestFirst = [...route.targets].reverse();
    const drainedRegions = farthestFirst.filter(region => isDrainedTarget(state, route, region));
    for (const region of new Set([...drainedRegions, ...farthestFirst])) {
        const pair = state.pairs.get(pairKey(route.home, region))!;
        const rate = Math.min(excess, route.flows.get(region) ?? 0, pair.returnBudget);
        if (rate > 0) {
            route.flows.set(region, route.flows.get(region)! - rate);
            pair.returnBudget -= rate;
            state.warmUpBudgets.set(key, state.warmUpBudgets.get(key)! - rate);
            excess -= rate;
        }
    }
}

/** Reduces flows into regions that need their capacity for their own traffic. */
function reduceInflows(state: PlanState): void {
    for (const target of state.routes) {
        const { undrainedRate, draining, limit } = target.capacity;
        const service = target.service.name;
        const inflow = sumInflow(state, service, target.home);
        if (target.held || inflow <= 0) {
            continue;
        }
        const factor =
            Math.max(0, (undrainedRate + draining) * homeShare - getUnshiftedRate(target)) / inflow;
        for (const route of state.routes) {
            if (route.service.name === service) {
                reduceFlow(route, target.home, factor, limit);
            }
        }
    }
}

function placeExcess(state: PlanState): void {
    for (let round = 0; round < placementRounds; round++) {
        for (const route of state.routes) {
            const drainedRegions = route.targets.filter(region => isDrainedTarget(state, route, region));
            const need = route.wanted - sumShiftedRate(route) + sumRates(route, drainedRegions);
            if (route.held || need <= minRate) {
                continue;
            }
            placeRate(state, route, need / (placementRounds - round));
            removeRate(route, drainedRegions, sumShiftedRate(route) - route.wanted);
        }
    }
}

function placeRate(state: PlanState, route: RouteState, quota: number): void {
    let left = quota;
    for (const region of route.targets) {
        const rate = Math.min(left, getHeadroom(state, route, region).rate);
        if (rate <= 0) {
            continue;
        }
        route.flows.set(region, (route.flows.get(region) ?? 0) + rate);
        state.pairs.get(pairKey(route.home, region))!.rampBudget -= rate;
        const key = pairKey(route.service.name, region);
        state.warmUpBudgets.set(key, state.warmUpBudgets.get(key)! - rate);
        left -= rate;
    }
}

/** Reduces flows into drained regions by the rate that was placed in other regions. */
function removeRate(route: RouteState, regions: readonly string[], excess: number): void {
    let left = excess;
    for (const region of regions) {
        const rate = Math.min(Math.max(0, left), route.flows.get(region) ?? 0);
        route.flows.set(region, (route.flows.get(region) ?? 0) - rate);
        left -= rate;
    }
}

function sumRates(route: RouteState, regions: readonly string[]): number {
    return regions.reduce((sum, region) => sum + (route.flows.get(region) ?? 0), 0);
}

interface Headroom {
    rate: number;
    limit: PlanLimit;
}

/** Returns by how much the route's flow to a region may grow, and the binding limit. */
function getHeadroom(state: PlanState, route: RouteState, region: string): Headroom {
    const target = state.getRoute(route.service.name, region);
    const pair = state.pairs.get(pairKey(route.home, region))!;
    if (target.dead) {
        return { rate: 0, limit: PlanLimit.RegionCapacity };
    }
    if (target.held) {
        return { rate: 0, limit: PlanLimit.StaleReports };
    }
    const load = getUnshiftedRate(target) + sumInflow(state, route.service.name, region);
    const headrooms: Headroom[] = [
        { rate: target.capacity.undrainedRate * targetShare - load, limit: target.capacity.limit },
        {
            rate: pair.cap.maxRequestsPerSecond - sumPairRate(state, route.home, region),
            limit: PlanLimit.Cap,
        },
        { rate: getLinkHeadroom(state, route, region), limit: PlanLimit.Link },
        { rate: state.warmUpBudgets.get(pairKey(route.service.name, region))!, limit: PlanLimit.ColdCaches },
        { rate: pair.rampBudget, limit: PlanLimit.Ramp },
    ];
    const smallest = headrooms.reduce((a, b) => (b.rate < a.rate ? b : a));
    return smallest.rate > minRate ? smallest : { rate: 0, limit: smallest.limit };
}

function getLinkHeadroom(state: PlanState, route: RouteState, region: string): number {
    if (route.dead) {
        return Infinity;
    }
    const getRemainingRate = (from: string, to: string, megabits: number) => {
        const left = (state.linkLimits.get(pairKey(from, to)) ?? 0) - sumLinkLoad(state, from, to);
        return megabits > 0 ? left / megabits : state.linkLimits.has(pairKey(from, to)) ? Infinity : 0;
    };
    return Math.min(
        getRemainingRate(route.home, region, route.requestMegabits),
        getRemainingRate(region, route.home, route.responseMegabits),
    );
}

function toPlanRoute(state: PlanState, route: RouteState): PlanRoute {
    const shifts: PlanShift[] = [];
    let shifted = 0;
    for (const region of route.targets) {
        const perSecond = route.flows.get(region) ?? 0;
        if (perSecond > minRate) {
            const share = perSecond / route.offered;
            shifts.push({
                region,
                perSecond,
                share,
                reason: getReason(route),
                reducedBy: route.reducedBy.get(region),
            });
            shifted += perSecond;
        }
    }
    const unshifted = Math.max(0, route.offered - shifted);
    const homePerSecond = getHomeRate(state, route, unshifted);
    const missing = route.wanted - shifted;
    const isWaiting = missing > minRate;
    return {
        service: route.service.name,
        home: route.home,
        offeredPerSecond: route.offered,
        homePerSecond,
        waitingPerSecond: isWaiting ? Math.min(homePerSecond, missing) : 0,
        unplacedPerSecond: unshifted - homePerSecond,
        shifts,
        bounds: isWaiting && !route.held ? listBounds(state, route) : [],
        held: route.held,
    };
}

function getHomeRate(state: PlanState, route: RouteState, unshifted: number): number {
    if (route.held) {
        return Math.min(unshifted, route.previous?.homePerSecond ?? unshifted);
    }
    const { undrainedRate, draining } = route.capacity;
    const rate = Math.min(
        unshifted,
        Math.max(0, undrainedRate + draining - sumInflow(state, route.service.name, route.home)),
    );
    return rate > minRate ? rate : 0;
}

function getReason(route: RouteState): ShiftReason {
    if (route.held) {
        return ShiftReason.Held;
    }
    if (route.dead) {
        return ShiftReason.DeadRegion;
    }
    if (sumShiftedRate(route) > route.wanted + minRate) {
        return ShiftReason.Returning;
    }
    return route.capacity.drained ? ShiftReason.Drain : ShiftReason.Overflow;
}

function listBounds(state: PlanState, route: RouteState): PlanBound[] {
    return route.targets.map(region => ({ region, limit: getHeadroom(state, route, region).limit }));
}
