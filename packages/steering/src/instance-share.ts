/**
 * This entry's share of a limit that all entries of its region share.
 *
 * Argument that the shares never add up to more than the limit: an entry divides by the largest number of members of its
 * region that it has seen within the hold time, and gets one of the remaining whole requests only when its view has not
 * changed for the hold time. A change lowers the share at once and raises it only after the hold time, and a started or
 * resumed entry has no share for the hold time. So while members learn of a change within the hold time less the
 * window of the meter, no entry uses a greater share while another still uses the one from before the change. An entry
 * that loses sight of half of its region keeps its small share, since it may be the one that is cut off; members that it
 * saw leaving do not count as lost. A partition
 * inside a region can still let the larger part use the shares of the smaller one.
 */
import { MemberStatus } from "@waxwingdale/core";
import type { Clock, MemberView } from "@waxwingdale/core";

export interface InstanceShare {
    /** Reads the view again. */
    update(): void;
    /** Treats the entry as just started. */
    restart(): void;
    /** Part of a rate that this entry may use. */
    fraction(): number;
    /** Whole requests of a limit that this entry may use. */
    count(limit: number): number;
}

export function createInstanceShare(view: MemberView, clock: Clock, holdMs: number): InstanceShare {
    let ids: string[] = [];
    let startedAt = clock.now();
    let changedAt = startedAt;
    /** Members as they were until a time. */
    let past: { ids: string[]; until: number }[] = [];
    const leaving = new Set<string>();

    const getDivisor = () => Math.max(1, ids.length, ...past.map(row => row.ids.length));
    const hasLostHalf = (before: readonly string[]) => {
        const lost = before.filter(id => !ids.includes(id) && !leaving.has(id));
        return lost.length > 0 && lost.length * 2 >= before.length;
    };
    const isStarting = () => clock.now() - startedAt < holdMs;

    return {
        update: () => {
            const now = clock.now();
            const { region } = view.self();
            // Leaving entries still serve callers with cached look-ups, so they keep their share.
            const members = view
                .members()
                .filter(member => member.region === region && member.status !== MemberStatus.Dead);
            const current = members.map(member => member.id).sort();
            members
                .filter(member => member.status === MemberStatus.Leaving)
                .forEach(member => leaving.add(member.id));
            if (current.join("\n") !== ids.join("\n")) {
                past.push({ ids, until: now });
                ids = current;
                changedAt = now;
            }
            past = past.filter(row => now - row.until < holdMs || hasLostHalf(row.ids));
            if (past.length === 0) {
                [...leaving].filter(id => !ids.includes(id)).forEach(id => leaving.delete(id));
            }
        },
        restart: () => {
            startedAt = clock.now();
        },
        fraction: () => (isStarting() ? 0 : 1 / getDivisor()),
        count: limit => {
            if (isStarting()) {
                return 0;
            }
            const divisor = getDivisor();
            const isStable = past.length === 0 && clock.now() - changedAt >= holdMs;
            const rank = ids.indexOf(view.self().id);
            const whole = Math.floor(limit);
            const extra = isStable && rank >= 0 && rank < whole % divisor ? 1 : 0;
            return Math.floor(whole / divisor) + extra;
        },
    };
}
