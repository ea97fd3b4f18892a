/**
 * What the workspaces have had of each service's capacity at this instance over the last seconds, and which of them are
 * served too rarely.
 */
import { setBounded } from "@waxwingdale/core";
import type { Random } from "@waxwingdale/core";

/** Name of a workspace; undefined stands for all requests without one, which form a group of their own. */
export type GroupName = string | undefined;

export interface FairShare {
    /** Counts a request that is sent to a server, with its expected work in milliseconds. */
    recordAdmitted(group: GroupName, service: string, workMs: number, now: number): void;
    /** Counts a request that is rejected. */
    recordRejected(group: GroupName, now: number): void;
    /**
     * What the group has had of a service, as a decaying sum. All values decay by the same factor, so they are comparable
     * until the next call of `recordAdmitted` or `recordRejected`, and not afterwards.
     */
    usage(group: GroupName, service: string): number;
    /** Whether the group has been served so rarely that its next request comes first, whatever its priority. */
    isUnderserved(group: GroupName): boolean;
    /** Number of groups of which something is known. */
    size(): number;
}

interface Group {
    /** Work by service, scaled like all sums. */
    work: Map<string, number>;
    /** Requests that were admitted or rejected, scaled like all sums. */
    decided: number;
    /** Requests that the group should have had served on account of its minimum, less those that it had. */
    deficit: number;
    lastUsedAt: number;
}

/** Time constant in milliseconds of the sums; a workspace that was idle has at most this much of its share to make up. */
const decayMs = 4000;
/** Exponent at which the scale is reset; e^40 leaves enough precision. */
const maxScaleExponent = 40;
/** Time in milliseconds after which an unused group is dropped; its sums have decayed to nothing. */
const retentionMs = 60_000;
const maxGroups = 2000;
/** Minimum share served of a workspace, relative to that of all; a quarter is guaranteed, the rest is a margin. */
const minRelativeShare = 0.35;
/**
 * Number of recent requests below which a group's deficit starts at random. Where many instances get few requests each, no
 * instance would reject enough of them to serve one otherwise, and the group would get nothing.
 */
const minDecided = 6;
/** Maximum deficit, so that a workspace that cannot be served at present does not come first for long afterwards. */
const maxDeficit = 3;

export function createFairShare(startedAt: number, random: Random): FairShare {
    const groups = new Map<GroupName, Group>();
    let epoch = startedAt;
    let admitted = 0;
    let decided = 0;

    /** Divides all sums by the current scale, and drops the groups that have not been used for long. */
    const rescale = (now: number) => {
        const factor = Math.exp((epoch - now) / decayMs);
        epoch = now;
        admitted *= factor;
        decided *= factor;
        for (const [name, group] of groups) {
            const { work } = group;
            work.forEach((sum, service) => work.set(service, sum * factor));
            group.decided *= factor;
            if (now - group.lastUsedAt > retentionMs) {
                groups.delete(name);
            }
        }
    };

    /** Weight of an event at `now`. It grows instead of letting all sums decay, so that reading them costs nothing. */
    const getScale = (now: number): number => {
        if (now - epoch > maxScaleExponent * decayMs) {
            rescale(now);
        }
        return Math.exp((now - epoch) / decayMs);
    };

    const getGroup = (name: GroupName, now: number): Group => {
        let group = groups.get(name);
        if (group === undefined) {
            group = { work: new Map(), decided: 0, deficit: random(), lastUsedAt: now };
            setBounded(groups, name, group, maxGroups);
        }
        group.lastUsedAt = now;
        return group;
    };

    /** Counts a decision, and what it means for the minimum of the group. */
    const recordDecision = (group: Group, scale: number, served: number) => {
        admitted += served * scale;
        decided += scale;
        group.decided += scale;
        const earned = (minRelativeShare * admitted) / decided;
        const deficit = group.deficit + earned - served;
        // A group with few requests starts again at random, so that not all instances reject its next one.
        const minDeficit = group.decided < minDecided * scale ? random() + earned : 0;
        group.deficit = deficit < 0 ? minDeficit : Math.min(maxDeficit, deficit);
    };

    return {
        recordAdmitted: (name, service, workMs, now) => {
            const scale = getScale(now);
            const group = getGroup(name, now);
            group.work.set(service, (group.work.get(service) ?? 0) + workMs * scale);
            recordDecision(group, scale, 1);
        },
        recordRejected: (name, now) => {
            const scale = getScale(now);
            recordDecision(getGroup(name, now), scale, 0);
        },
        usage: (name, service) => groups.get(name)?.work.get(service) ?? 0,
        isUnderserved: name => (groups.get(name)?.deficit ?? 0) >= 1,
        size: () => groups.size,
    };
}
