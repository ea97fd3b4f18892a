/**
 * Direct access: callers of a dead or fully shifted region send their requests to entries of other regions. The entries
 * of a fully shifted region and those of the target region may each use half of the cap between the regions. A change
 * of these fractions takes effect after a hold-down time, as in `instance-share`.
 */
import { MemberStatus } from "@waxwingdale/core";
import type { Clock, MemberView } from "@waxwingdale/core";
import type { Manifest } from "@waxwingdale/manifest";
import { hasDeadHomeRegion, sumPlannedShift } from "./plan-types.js";
import type { Plan, PlanRoute } from "./plan-types.js";

/** Fraction of a cap that the entries of each region may use during direct access to the other region. */
export const directCapShare = 0.5;

/**
 * Lists the regions whose entries are all dead. A region without any known entry remains dead if it is in `before`,
 * since membership removes dead entries after some time.
 */
export function findDeadRegions(
    view: MemberView,
    manifest: Manifest,
    before: ReadonlySet<string> = new Set(),
): Set<string> {
    const dead = new Set<string>();
    for (const { name } of manifest.regions) {
        const members = view.members().filter(member => member.region === name);
        const isDead = members.every(member => member.status === MemberStatus.Dead);
        if (isDead && (members.length > 0 || before.has(name))) {
            dead.add(name);
        }
    }
    return dead;
}

/**
 * Lists the regions whose traffic the plan shifts entirely, using at most half of each cap. A region that needs more
 * than half of a cap keeps its callers and forwards their requests itself.
 */
export function findFullyShiftedRegions(plan: Plan | undefined, manifest: Manifest): Set<string> {
    const shifted = new Set<string>();
    for (const { name } of manifest.regions) {
        const routes = plan?.routes.filter(route => route.home === name && route.offeredPerSecond > 0) ?? [];
        const isShifted = routes.length > 0 && routes.every(isFullyShifted);
        const fitsCaps = manifest.shiftCaps.every(
            cap =>
                cap.from !== name ||
                sumPlannedShift(plan, name, cap.to) <= cap.maxRequestsPerSecond * directCapShare,
        );
        if (isShifted && fitsCaps) {
            shifted.add(name);
        }
    }
    return shifted;
}

function isFullyShifted(route: PlanRoute): boolean {
    // During a network partition, the planner may treat a live region as dead; membership decides which are dead.
    return route.homePerSecond === 0 && route.unplacedPerSecond === 0 && !hasDeadHomeRegion(route);
}

/** Tracks since when each region has been in a set that changes over time. */
export interface RegionSetHistory {
    update(current: ReadonlySet<string>): void;
    /** Whether the region has been in the set throughout the last `ms` milliseconds. */
    containedFor(region: string, ms: number): boolean;
    /** Whether the region was in the set at any time in the last `ms` milliseconds. */
    containedWithin(region: string, ms: number): boolean;
}

export function createRegionSetHistory(clock: Clock): RegionSetHistory {
    const since = new Map<string, number>();
    const until = new Map<string, number>();
    return {
        update: current => {
            const now = clock.now();
            for (const region of current) {
                if (!since.has(region)) {
                    since.set(region, now);
                }
            }
            for (const region of [...since.keys()]) {
                if (!current.has(region)) {
                    since.delete(region);
                    until.set(region, now);
                }
            }
        },
        containedFor: (region, ms) => clock.now() - (since.get(region) ?? Infinity) >= ms,
        containedWithin: (region, ms) =>
            since.has(region) || clock.now() - (until.get(region) ?? -Infinity) < ms,
    };
}
