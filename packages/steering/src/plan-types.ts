/** The traffic plan: what the planner reads and what it decides. Rates are in requests per second. */
import type { Manifest } from "@waxwingdale/manifest";

/** What the callers of one home region ask of one service, measured by the home region of the caller's block. */
export interface DemandReport {
    service: string;
    home: string;
    offeredPerSecond: number;
    /** Mean size of a request, head included. */
    requestBytes: number;
    /** Mean size of a response, head included. */
    responseBytes: number;
    ageMs: number;
}

/** What runs of one service at one site. */
export interface CapacityReport {
    service: string;
    site: string;
    warmServers: number;
    coldServers: number;
    /** Mean time for which a request occupies a slot; 0 when it is not known and only the site's cap counts. */
    meanServiceMs: number;
    ageMs: number;
}

export interface PlanInput {
    manifest: Manifest;
    demands: readonly DemandReport[];
    capacities: readonly CapacityReport[];
    /** Regions whose entry instances are all dead according to membership. */
    deadRegions: ReadonlySet<string>;
    /** Plan in force. */
    previous: Plan | undefined;
    /** Wall-clock time in milliseconds, for drains. */
    wallTime: number;
    secondsSincePrevious: number;
}

/** Why traffic leaves its home region. */
export enum ShiftReason {
    /** The home region's open sites cannot carry all of it. */
    Overflow = "overflow",
    /** All sites of the home region are drained. */
    Drain = "drain",
    DeadRegion = "dead-region",
    /** The cause is over; the traffic returns home at the declared pace. */
    Returning = "returning",
    /** Reports are too old; the shift in force stays. */
    Held = "held",
}

/** What keeps traffic from going to a region. */
export enum PlanLimit {
    /** Live servers of the region, less the headroom. */
    RegionCapacity = "region-capacity",
    /** Declared request rate of the region's sites, less the headroom. */
    SiteCapacity = "site-capacity",
    Cap = "cap",
    Ramp = "ramp",
    Link = "link",
    ColdCaches = "cold-caches",
    StaleReports = "stale-reports",
}

/** Limits that hold at this moment, unlike those that only pace a change. */
export const hardLimits: ReadonlySet<PlanLimit> = new Set([
    PlanLimit.RegionCapacity,
    PlanLimit.SiteCapacity,
    PlanLimit.Cap,
    PlanLimit.Link,
]);

export interface PlanShift {
    region: string;
    perSecond: number;
    /** `perSecond` as a share of the offered rate. */
    share: number;
    reason: ShiftReason;
    /** The limit that made the planner reduce this shift in this step. */
    reducedBy?: PlanLimit;
}

/** A region that could take no more, and why. */
export interface PlanBound {
    region: string;
    limit: PlanLimit;
}

/** Where the traffic of one service from one home region goes. offered = home + shifts + unplaced. */
export interface PlanRoute {
    service: string;
    home: string;
    offeredPerSecond: number;
    homePerSecond: number;
    /** Part of `homePerSecond` that should leave and waits for a limit. */
    waitingPerSecond: number;
    unplacedPerSecond: number;
    shifts: PlanShift[];
    /** For each region that could take more traffic by its declared cap, the limit met while some traffic had to stay. */
    bounds: PlanBound[];
    /** Reports were too old: the route in force stays. */
    held: boolean;
}

export interface Plan {
    routes: PlanRoute[];
}

/** The plan as it is stored under the key `plan`. Plans are ordered by (epoch, step). */
export interface PlanObject extends Plan {
    /** Epoch of the planner lease under which it was written. */
    epoch: number;
    /** Grows by one with each plan. */
    step: number;
    /** Generation of the manifest it was made from. */
    generation: number;
}

export const planKey = "plan";
/** Age in milliseconds above which a report moves no traffic. */
export const maxReportAgeMs = 5000;

/** Returns whether plan `a` was made after plan `b`. */
export function isNewerPlan(a: PlanObject, b: PlanObject | undefined): boolean {
    return b === undefined || a.epoch > b.epoch || (a.epoch === b.epoch && a.step > b.step);
}

export function findRoute(plan: Plan | undefined, service: string, home: string): PlanRoute | undefined {
    return plan?.routes.find(route => route.service === service && route.home === home);
}

/** Returns whether the planner took the route's home region for dead. */
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

/** Changes of a rate below this share are noise of the measurement and not worth a write. */
const sameRateShare = 0.01;

/** Returns whether two plans route traffic alike. Rates that carry no shift may differ. */
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
    return a === b || (a > 0 && b > 0 && Math.abs(a - b) <= sameRateShare * Math.max(a, b));
}
