/** Input and result of the planner. Rates are in requests per second. */
import type { Manifest } from "@waxwingdale/manifest";

/** Load that the callers of one home region offer to one service. Client blocks determine the home regions. */
export interface DemandReport {
    service: string;
    home: string;
    offeredPerSecond: number;
    /** Mean size of a request, including its head. */
    requestBytes: number;
    /** Mean size of a response, including its head. */
    responseBytes: number;
    ageMs: number;
}

/** Backend servers of one service at one site. */
export interface CapacityReport {
    service: string;
    site: string;
    warmServers: number;
    coldServers: number;
    /** Mean time for which a request occupies a slot; 0 if unknown, so that only the site's request rate counts. */
    meanServiceMs: number;
    ageMs: number;
}

export interface PlanInput {
    manifest: Manifest;
    demands: readonly DemandReport[];
    capacities: readonly CapacityReport[];
    /** Regions whose entry instances are all dead according to membership. */
    deadRegions: ReadonlySet<string>;
    /** Active plan. */
    previous: Plan | undefined;
    /** Wall-clock time in milliseconds, which decides which drains are active. */
    wallTime: number;
    secondsSincePrevious: number;
}

/** Why traffic is shifted out of its home region. */
export enum ShiftReason {
    /** The undrained sites of the home region cannot handle all of it. */
    Overflow = "overflow",
    /** All sites of the home region are drained. */
    Drain = "drain",
    DeadRegion = "dead-region",
    /** The cause has ended; the traffic returns to its home region at the configured rate. */
    Returning = "returning",
    /** Reports are stale; the previous shift is kept. */
    Held = "held",
}

/** Limits on the traffic that is shifted to a region. */
export enum PlanLimit {
    /** Capacity of the region's live servers, minus the headroom. */
    RegionCapacity = "region-capacity",
    /** Configured request rate of the region's sites, minus the headroom. */
    SiteCapacity = "site-capacity",
    Cap = "cap",
    Ramp = "ramp",
    Link = "link",
    ColdCaches = "cold-caches",
    StaleReports = "stale-reports",
}

/** Limits on the rate itself, unlike those that only limit how fast it changes. */
export const hardLimits: ReadonlySet<PlanLimit> = new Set([
    PlanLimit.RegionCapacity,
    PlanLimit.SiteCapacity,
    PlanLimit.Cap,
    PlanLimit.Link,
]);

export interface PlanShift {
    region: string;
    perSecond: number;
    /** `perSecond` as a fraction of the offered rate. */
    share: number;
    reason: ShiftReason;
    /** The limit because of which the planner reduced this shift in this step. */
    reducedBy?: PlanLimit;
}

/** A region that could not accept more traffic, and the limit that was reached. */
export interface PlanBound {
    region: string;
    limit: PlanLimit;
}

/** Distribution of the traffic of one service from one home region: offered = home + shifts + unplaced. */
export interface PlanRoute {
    service: string;
    home: string;
    offeredPerSecond: number;
    homePerSecond: number;
    /** Part of `homePerSecond` that should be shifted and is held back by a limit. */
    waitingPerSecond: number;
    unplacedPerSecond: number;
    shifts: PlanShift[];
    /** If traffic is held back: the limit that was reached for each region to which a shift cap allows traffic. */
    bounds: PlanBound[];
    /** Whether reports were stale, so that the previous route was kept. */
    held: boolean;
}

export interface Plan {
    routes: PlanRoute[];
}

/** The plan as stored under the key `plan`. Plans are ordered by (epoch, step). */
export interface PlanObject extends Plan {
    /** Epoch of the planner lease under which the plan was written. */
    epoch: number;
    /** Incremented with each plan. */
    step: number;
    /** Generation of the manifest that the plan was computed from. */
    generation: number;
}

export const planKey = "plan";
/** Age in milliseconds above which a report is stale and moves no traffic. */
export const maxReportAgeMs = 5000;

/** Returns whether plan `a` is newer than plan `b`. */
export function isNewerPlan(a: PlanObject, b: PlanObject | undefined): boolean {
    return b === undefined || a.epoch > b.epoch || (a.epoch === b.epoch && a.step > b.step);
}

export function findRoute(plan: Plan | undefined, service: string, home: string): PlanRoute | undefined {
    return plan?.routes.find(route => route.service === service && route.home === home);
}

/** Returns whether the planner treated the route's home region as dead. */
export function hasDeadHomeRegion(route: PlanRoute): boolean {
    return route.shifts.some(shift => shift.reason === ShiftReason.DeadRegion);
}

/** Returns the rate that all services shift from one region to another. */
export function sumPlannedShift(plan: Plan | undefined, from: string, to: string): number {
    let sum = 0;
    for (const route of plan?.routes ?? []) {
        if (route.home === from) {
            sum += route.shifts.find(shift => shift.region === to)?.perSecond ?? 0;
        }
    }
    return sum;
}

/** Relative change of a rate below which it is measurement noise and not worth a write. */
const rateTolerance = 0.01;

/** Returns whether two plans route traffic in the same way. Rates that do not affect routing may differ. */
export function isSamePlan(a: Plan, b: Plan): boolean {
    return (
        a.routes.length === b.routes.length && a.routes.every((route, i) => isSameRoute(route, b.routes[i]!))
    );
}

function isSameRoute(a: PlanRoute, b: PlanRoute): boolean {
    return (
        a.service === b.service &&
        a.home === b.home &&
        a.held === b.held &&
        isSameRate(a.unplacedPerSecond, b.unplacedPerSecond) &&
        a.homePerSecond > 0 === b.homePerSecond > 0 &&
        a.waitingPerSecond > 0 === b.waitingPerSecond > 0 &&
        a.shifts.length === b.shifts.length &&
        a.bounds.length === b.bounds.length &&
        a.bounds.every(
            (bound, i) => bound.region === b.bounds[i]!.region && bound.limit === b.bounds[i]!.limit,
        ) &&
        a.shifts.every((shift, i) => isSameShift(shift, b.shifts[i]!))
    );
}

function isSameShift(a: PlanShift, b: PlanShift): boolean {
    return (
        a.region === b.region &&
        a.reason === b.reason &&
        a.reducedBy === b.reducedBy &&
        isSameRate(a.perSecond, b.perSecond) &&
        isSameRate(a.share, b.share)
    );
}

function isSameRate(a: number, b: number): boolean {
    return a === b || (a > 0 && b > 0 && Math.abs(a - b) <= rateTolerance * Math.max(a, b));
}
