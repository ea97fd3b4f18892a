/**
 * Which instances of a zone are active, that is, named to clients; the others stand by. In a zone with large and small instances
 * the large ones are: what an instance learns of servers and objects comes from its own requests, and one answer fills a slow
 * link for a long time.
 */
import type { Member } from "@waxwingdale/core";
import type { GatewaySettings } from "./settings.js";

/** Processor time in seconds that a request takes. */
const coreSecondsPerRequest = 0.0015;
/** Megabits that a request and its answer take of a link, with an answer of about 10 KB. */
const megabitsPerRequest = 0.16;
/** Part of the largest capacity of a group from which an instance is one of its large ones. */
const largePart = 0.5;
/** Large instances that a group needs: a single one would be a single point of failure. */
const minLarge = 2;

/** Returns the requests a second that an instance can carry, undefined when its settings do not say what it has. */
export function estimateCapacity(machine: GatewaySettings["machine"]): number | undefined {
    if (machine === undefined) {
        return undefined;
    }
    const { cores, coreShare, linkMbps } = machine;
    return Math.floor(Math.min((cores * coreShare) / coreSecondsPerRequest, linkMbps / megabitsPerRequest));
}

/** Returns the active members of a group: the large ones, or all when there are too few of these. */
export function pickActive(group: readonly Member[]): readonly Member[] {
    const capacityOf = ({ capacity = 0 }: Member) => capacity;
    const largest = Math.max(0, ...group.map(capacityOf));
    const large = group.filter(member => capacityOf(member) >= largest * largePart);
    return large.length >= minLarge ? large : group;
}
