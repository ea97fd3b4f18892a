/**
 * This entry's share of a limit that all entries of its region share.
 *
 * The shares must not add up to more than the limit. An entry divides the limit by the largest number of members of its
 * region that it has seen within the hold-down time, and gets one of the remaining whole requests only if its view has
 * not changed within that time. A change therefore lowers the share immediately and raises it only after the hold-down
 * time. An entry that has just started or resumed has no share until the hold-down time has passed. If members receive
 * every change within the hold-down time minus the window of the limiter, no entry uses a larger share while another
 * one still uses its share from before the change.
 *
 * An entry that loses contact with half of its region keeps its small share, since it may be the isolated one; members
 * that it saw leaving do not count as lost. During a network partition within a region, the larger group can still use
 * the shares of the smaller one.
 */
import { MemberStatus } from "@waxwingdale/core";
import type { Clock, MemberView } from "@waxwingdale/core";

export interface InstanceShare {
    /** Updates the share from the member view. */
    update(): void;
    /** Starts the hold-down time again, as if the entry had just started. */
    restart(): void;
    /** Fraction of a rate that this entry may use. */
    fraction(): number;
    /** This entry's share of a limit, in whole requests. */
    count(limit: number): number;
}

export function createInstanceShare(view: MemberView, clock: Clock, holdDownMs: number): InstanceShare {
    let ids: string[] = [];
    let startedAt = clock.now();
    let changedAt = startedAt;
    /** Previous members of the region, and when they changed. */
    let history: { ids: string[]; until: number }[] = [];
    const leaving = new Set<string>();

    const getDivisor = () => Math.max(1, ids.length, ...history.map(row => row.ids.length));
    const hasLostHalf = (before: readonly string[]) => {
        const lost = before.filter(id => !ids.includes(id) && !leaving.has(id));
        return lost.length > 0 && lost.length * 2 >= before.length;
    };
    const isStarting = () => clock.now() - startedAt < holdDownMs;

    return {
        update: () => {
            const now = clock.now();
            const { region } = view.self();
            // Leaving entries still serve callers with cached lookups, so they keep their share.
            const members = view
                .members()
                .filter(member => member.region === region && member.status !== MemberStatus.Dead);
            const current = members.map(member => member.id).sort();
            members
                .filter(member => member.status === MemberStatus.Leaving)
                .forEach(member => leaving.add(member.id));
            if (current.join("\n") !== ids.join("\n")) {
                history.push({ ids, until: now });
                ids = current;
                changedAt = now;
            }
            history = history.filter(row => now - row.until < holdDownMs || hasLostHalf(row.ids));
            if (history.length === 0) {
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
            const isStable = history.length === 0 && clock.now() - changedAt >= holdDownMs;
            const rank = ids.indexOf(view.self().id);
            const whole = Math.floor(limit);
            const remainder = isStable && rank >= 0 && rank < whole % divisor ? 1 : 0;
            return Math.floor(whole / divisor) + remainder;
        },
    };
}
