/**
 * Selects the active instances of a zone, which clients are directed to; the others are on standby. In a zone with
 * large and small instances, the large ones are active: an instance learns about servers and objects only from its own
 * requests, and a single response occupies a slow link for a long time.
 */
import type { Member } from "@waxwingdale/core";
import type { GatewaySettings } from "./settings.js";

/** CPU time per request in seconds. */
const cpuSecondsPerRequest = 0.0015;
/** Link capacity per request and response in megabits, for a response of about 10 KB. */
const megabitsPerRequest = 0.16;
/** Fraction of the largest capacity in a group from which an instance counts as large. */
const largeCapacityFraction = 0.5;
/** Minimum number of large instances in a group, since one alone would be a single point of failure. */
const minLargeInstances = 2;

/** Returns the requests per second that an instance can handle, or undefined if its resources are not declared. */
export function estimateCapacity(machine: GatewaySettings["machine"]): number | undefined {
    if (machine === undefined) {
        return undefined;
    }
    const { cores, coreShare, linkMbps } = machine;
    return Math.floor(Math.min((cores * coreShare) / cpuSecondsPerRequest, linkMbps / megabitsPerRequest));
}

/** Returns the large members of a group. */
export function pickLarge(group: readonly Member[]): readonly Member[] {
    const capacityOf = ({ capacity = 0 }: Member) => capacity;
    const largest = Math.max(0, ...group.map(capacityOf));
    return group.filter(member => capacityOf(member) >= largest * largeCapacityFraction);
}

/** Returns the active members of a group: the large ones, or all if there are too few large ones. */
export function pickActive(group: readonly Member[]): readonly Member[] {
    const large = pickLarge(group);
    return large.length >= minLargeInstances ? large : group;
}
