/** State of one planning step: flows between regions, and the remainder of each limit. */
import type { Manifest, ServiceSpec, ShiftCapSpec } from "@waxwingdale/manifest";
import { findRoute, maxReportAgeMs } from "./plan-types.js";
import type { CapacityReport, DemandReport, PlanInput, PlanLimit, PlanRoute } from "./plan-types.js";
import { computeCapacities } from "./regional-capacity.js";
import type { RegionalCapacity } from "./regional-capacity.js";

/**
 * Maximum time that one step covers, in seconds. A planner that was delayed or has just taken over does not move the
 * traffic of the missed steps all at once.
 */
export const maxStepSeconds = 1;

/** Traffic of one service from one home region. */
export interface RouteState {
    service: ServiceSpec;
    home: string;
    /** Rate that is shifted to each other region. */
    flows: Map<string, number>;
    reducedBy: Map<string, PlanLimit>;
    offered: number;
    /** Rate that should be shifted. */
    wanted: number;
    capacity: RegionalCapacity;
    /** Whether the home region is dead. */
    dead: boolean;
    /** Whether the reports are stale, so that the previous route is kept. */
    held: boolean;
    previous: PlanRoute | undefined;
    requestMegabits: number;
    responseMegabits: number;
    /** Regions to which a shift cap allows traffic, nearest first. */
    targets: string[];
}

export interface PairState {
    cap: ShiftCapSpec;
    rampBudget: number;
    returnBudget: number;
}

export interface PlanState {
    input: PlanInput;
    stepSeconds: number;
    routes: RouteState[];
    getRoute(service: string, home: string): RouteState;
    routesOfService: Map<string, RouteState[]>;
    routesOfHome: Map<string, RouteState[]>;
    pairs: Map<string, PairState>;
    /** Rate by which a service's traffic in a region may still grow in this step while its caches warm up. */
    warmUpBudgets: Map<string, number>;
    /** Bandwidth of each link that shifts may use, in megabits per second. */
    linkLimits: Map<string, number>;
}

export function pairKey(from: string, to: string): string {
    return `${from}\n${to}`;
}

export function createPlanState(input: PlanInput): PlanState {
    const { manifest } = input;
    const stepSeconds = Math.min(Math.max(0, input.secondsSincePrevious), maxStepSeconds);
    const demands = indexMostRecent(input.demands, report => pairKey(report.service, report.home));
    const capacities = indexMostRecent(input.capacities, report => pairKey(report.service, report.site));
    const targets = rankTargets(manifest);
    const routes = new Map<string, RouteState>();
    const warmUpBudgets = new Map<string, number>();
    for (const service of manifest.services) {
        const reports = new Map<string, CapacityReport>();
        for (const { site } of service.sites) {
            const report = capacities.get(pairKey(service.name, site));
            if (report) {
                reports.set(site, report);
            }
        }
        const regional = computeCapacities(manifest, service, reports, input.wallTime);
        for (const { name: home } of manifest.regions) {
            const key = pairKey(service.name, home);
            const capacity = regional.get(home)!;
            routes.set(
                key,
                createRoute(input, service, home, capacity, demands.get(key), targets.get(home)!),
            );
            const { warmUpSeconds } = service.backend;
            warmUpBudgets.set(
                key,
                warmUpSeconds > 0 ? (capacity.undrainedRate * stepSeconds) / warmUpSeconds : Infinity,
            );
        }
    }
    return {
        input,
        stepSeconds,
        routes: [...routes.values()],
        routesOfService: groupRoutes(routes.values(), route => route.service.name),
        routesOfHome: groupRoutes(routes.values(), route => route.home),
        getRoute: (service, home) => routes.get(pairKey(service, home))!,
        pairs: new Map(
            manifest.shiftCaps.map(cap => {
                const budget = cap.maxIncreasePerSecond * stepSeconds;
                return [pairKey(cap.from, cap.to), { cap, rampBudget: budget, returnBudget: budget }];
            }),
        ),
        warmUpBudgets,
        linkLimits: new Map(
            manifest.links.map(link => [
                pairKey(link.from, link.to),
                link.megabitsPerSecond * (1 - link.reservedShare),
            ]),
        ),
    };
}

function groupRoutes(
    routes: Iterable<RouteState>,
    getKey: (route: RouteState) => string,
): Map<string, RouteState[]> {
    const groups = new Map<string, RouteState[]>();
    for (const route of routes) {
        const key = getKey(route);
        groups.set(key, [...(groups.get(key) ?? []), route]);
    }
    return groups;
}

function createRoute(
    input: PlanInput,
    service: ServiceSpec,
    home: string,
    capacity: RegionalCapacity,
    demand: DemandReport | undefined,
    targets: string[],
): RouteState {
    const previous = findRoute(input.previous, service.name, home);
    const dead = input.deadRegions.has(home);
    const fresh = demand !== undefined && demand.ageMs <= maxReportAgeMs && capacity.hasRecentReports;
    // Membership alone decides that a region is dead: its last known demand is shifted although its reports stopped.
    const held = !dead && !fresh;
    const offered = held
        ? (previous?.offeredPerSecond ?? demand?.offeredPerSecond ?? 0)
        : (demand?.offeredPerSecond ?? previous?.offeredPerSecond ?? 0);
    return {
        service,
        home,
        flows: new Map(),
        reducedBy: new Map(),
        offered,
        wanted: 0,
        capacity: dead ? { ...capacity, undrainedRate: 0, draining: 0 } : capacity,
        dead,
        held,
        previous,
        requestMegabits: ((demand?.requestBytes ?? 0) * 8) / 1e6,
        responseMegabits: ((demand?.responseBytes ?? 0) * 8) / 1e6,
        targets,
    };
}

/** Indexes reports by key: the most recent one, and of equally old ones the greatest, whatever their order. */
function indexMostRecent<Report extends { ageMs: number }>(
    reports: readonly Report[],
    getKey: (report: Report) => string,
): Map<string, Report> {
    const index = new Map<string, Report>();
    for (const report of reports) {
        const key = getKey(report);
        const known = index.get(key);
        if (
            !known ||
            report.ageMs < known.ageMs ||
            (report.ageMs === known.ageMs && isLarger(report, known))
        ) {
            index.set(key, report);
        }
    }
    return index;
}

function isLarger(a: object, b: object): boolean {
    return JSON.stringify(a) > JSON.stringify(b);
}

/** Lists for each region the other regions to which a shift cap allows traffic, by the delay of the link. */
export function rankTargets(manifest: Manifest): Map<string, string[]> {
    const order = rankRegions(manifest);
    const allowed = new Set(manifest.shiftCaps.map(cap => pairKey(cap.from, cap.to)));
    return new Map(
        [...order].map(([from, list]) => [from, list.filter(to => allowed.has(pairKey(from, to)))]),
    );
}

/** Lists for each region the other regions by the delay of the link; regions without a link come last. */
export function rankRegions(manifest: Manifest): Map<string, string[]> {
    const delays = new Map(manifest.links.map(link => [pairKey(link.from, link.to), link.oneWayDelayMs]));
    const names = manifest.regions.map(region => region.name);
    const delay = (from: string, to: string) => delays.get(pairKey(from, to)) ?? Infinity;
    return new Map(
        names.map(from => [
            from,
            names
                .filter(to => to !== from)
                .map((to, index) => ({ to, index, ms: delay(from, to) }))
                .sort((a, b) => (a.ms === b.ms ? a.index - b.index : a.ms - b.ms))
                .map(({ to }) => to),
        ]),
    );
}

/** Returns the rate of the route that is shifted to other regions. */
export function sumShiftedRate(route: RouteState): number {
    let sum = 0;
    for (const rate of route.flows.values()) {
        sum += rate;
    }
    return sum;
}

/** Returns the rate of the route that is not shifted. */
export function getUnshiftedRate(route: RouteState): number {
    return Math.max(0, route.offered - sumShiftedRate(route));
}

/** Returns the rate of a service that other regions shift to a region. */
export function sumInflow(state: PlanState, service: string, region: string): number {
    return sumFlows(state.routesOfService.get(service), region);
}

/** Returns the rate that all services shift from one region to another. */
export function sumPairRate(state: PlanState, from: string, to: string): number {
    return sumFlows(state.routesOfHome.get(from), to);
}

function sumFlows(routes: readonly RouteState[] | undefined, region: string): number {
    let sum = 0;
    for (const route of routes ?? []) {
        sum += route.flows.get(region) ?? 0;
    }
    return sum;
}

/** Returns the megabits per second that shifts add to a link. Callers of a dead region bypass the link. */
export function sumLinkLoad(state: PlanState, from: string, to: string): number {
    let sum = 0;
    for (const route of state.routesOfHome.get(from) ?? []) {
        sum += route.dead ? 0 : (route.flows.get(to) ?? 0) * route.requestMegabits;
    }
    for (const route of state.routesOfHome.get(to) ?? []) {
        sum += route.dead ? 0 : (route.flows.get(from) ?? 0) * route.responseMegabits;
    }
    return sum;
}

/** Multiplies a flow by a factor below 1 and records the limit that requires it. Other factors have no effect. */
export function reduceFlow(route: RouteState, region: string, factor: number, limit: PlanLimit): void {
    const rate = route.flows.get(region);
    if (rate !== undefined && rate > 0 && factor < 1) {
        route.flows.set(region, rate * Math.max(0, factor));
        route.reducedBy.set(region, limit);
    }
}
