/**
 * Regions whose callers contact entries of other regions directly. Their entries and those of the other regions then
 * share the caps of the pairs, half each, and the halves change hands with a hold time, as in `fleet-share`.
 */
import { MemberStatus } from "@waxwingdale/core";
import type { Clock, MemberView } from "@waxwingdale/core";
import type { Manifest } from "@waxwingdale/manifest";
import { hasDeadHomeRegion, sumPlannedShift } from "./plan-types.js";
import type { Plan, PlanRoute } from "./plan-types.js";

/** Share of a cap that each side of a pair may use while callers go to the other region directly. */
export const directCapShare = 0.5;

/**
 * Lists the regions whose entries are all dead. A region of which no entry is known any more stays dead if it was in
 * `before`, since membership forgets dead entries after a time.
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
 * Lists the regions that have sent all their traffic elsewhere, within half of each cap. A region that needs more than
 * half of a cap keeps its callers and forwards their requests itself.
 */
export function findFullyShiftedRegions(plan: Plan | undefined, manifest: Manifest): Set<string> {
    const emptied = new Set<string>();
    for (const { name } of manifest.regions) {
        const routes = plan?.routes.filter(route => route.home === name && route.offeredPerSecond > 0) ?? [];
        const hasLeft = routes.length > 0 && routes.every(isFullyShifted);
        const fits = manifest.shiftCaps.every(
            cap =>
                cap.from !== name ||
                sumPlannedShift(plan, name, cap.to) <= cap.maxRequestsPerSecond * directCapShare,
        );
        if (hasLeft && fits) {
            emptied.add(name);
        }
    }
    return emptied;
}

function isFullyShifted(route: PlanRoute): boolean {
    // A region that the planner took for dead may be alive behind a partition; membership decides about dead regions.
    return route.homePerSecond === 0 && route.unplacedPerSecond === 0 && !hasDeadHomeRegion(route);
}

/** Remembers since when each region is in a changing set. */
export interface RegionSetHistory {
    update(current: ReadonlySet<string>): void;
    /** Whether the region has been in the set for all of the last `ms`. */
    containedFor(region: string, ms: number): boolean;
    /** Whether the region was in the set at any time of the last `ms`. */
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
