/** How much of each link an entry may use, so that the entries of a region together stay under its capacity. */
import { MemberStatus } from "@waxwingdale/core";
import type { Clock, MemberView } from "@waxwingdale/core";

export interface LinkSharesOptions {
    view: MemberView;
    clock: Clock;
    takeoverDelayMs: number;
    /** Time for which a part of a share is lent. */
    leaseMs: number;
    /** Time that the lender waits after the end of the lease. */
    leaseMarginMs: number;
}

interface Lease {
    amount: number;
    until: number;
}

export interface LinkShares {
    /** Recalculates the equal part of each entry; to be called on each change of the members and from time to time. */
    refresh(): void;
    /** Part of the link's capacity that this entry may use now, from 0 to 1. */
    share(to: string): number;
    /** Lends a part of the own share and returns how much. */
    lend(to: string, wanted: number, ownNeed: number): number;
    borrow(to: string, amount: number, until: number): void;
    /** A peer has confirmed that it counts this entry. */
    confirm(peer: string, start: number): void;
    /** Whether a peer can rely on this entry's having made room for it. */
    hasReservedShareFor(peer: string): boolean;
    /** Starts over like a new entry, after a pause or an isolation. */
    reset(): void;
    /** Number of the current start, to be given to `confirm`. */
    start(): number;
}

/** Part of an equal share that may be lent at most. The rest fits beside one more entry's equal share. */
const maxLentFraction = 0.5;

export function createLinkShares(options: LinkSharesOptions): LinkShares {
    const { view, clock } = options;
    const lent = new Map<string, Lease[]>();
    const borrowed = new Map<string, Lease[]>();
    const confirmedBy = new Set<string>();
    /** Members that have left and whose part is not used yet, with the time from which it may be. */
    const vacatedAt = new Map<string, number>();
    let members = new Set<string>();
    let startedAt = clock.now();
    let startNumber = 1;
    let isActive = false;
    /** A peer has answered or asked. Rows of members alone may be left over from entries that died long ago. */
    let hasHadContact = false;
    let isIsolated = false;

    const sum = (leases: Map<string, Lease[]>, to: string) => {
        const now = clock.now();
        const current = (leases.get(to) ?? []).filter(({ until }) => until > now);
        leases.set(to, current);
        return current.reduce((total, { amount }) => total + amount, 0);
    };

    const equalPart = () => 1 / Math.max(1, members.size + vacatedAt.size);

    const countMembers = () => {
        const now = clock.now();
        const self = view.self();
        const next = new Set(
            view
                .members()
                .filter(m => m.region === self.region && m.status !== MemberStatus.Dead)
                .map(m => m.id),
        );
        for (const id of members) {
            if (!next.has(id)) {
                vacatedAt.set(id, now);
            }
        }
        for (const [id, since] of vacatedAt) {
            if (next.has(id) || now - since >= options.takeoverDelayMs) {
                vacatedAt.delete(id);
            }
        }
        members = next;
    };

    const tryActivate = () => {
        const peers = [...members].filter(id => id !== view.self().id);
        const isKnown = peers.length > 0 && peers.every(id => confirmedBy.has(id));
        isActive ||= isKnown || clock.now() - startedAt >= options.takeoverDelayMs;
    };

    const distrust = () => {
        startNumber++;
        startedAt = clock.now();
        isActive = false;
        confirmedBy.clear();
        borrowed.clear();
    };

    return {
        refresh: () => {
            countMembers();
            const self = view.self().id;
            const isReachable = view.members().some(m => m.id !== self && m.status !== MemberStatus.Dead);
            const wasIsolated = isIsolated;
            isIsolated = hasHadContact && !isReachable;
            if (wasIsolated && !isIsolated) {
                distrust();
            }
            tryActivate();
        },
        share: to => {
            // Without contact the peers may use this entry's part, and there is nobody to send to.
            if (!isActive || isIsolated) {
                return 0;
            }
            return Math.max(0, equalPart() - sum(lent, to)) + sum(borrowed, to);
        },
        lend: (to, wanted, ownNeed) => {
            const part = equalPart();
            const alreadyLent = sum(lent, to);
            const spare = Math.min(part - ownNeed, part * maxLentFraction) - alreadyLent;
            if (!isActive || isIsolated || spare <= 0 || wanted <= 0) {
                return 0;
            }
            const amount = Math.min(spare, wanted);
            const until = clock.now() + options.leaseMs + options.leaseMarginMs;
            lent.set(to, [...(lent.get(to) ?? []), { amount, until }]);
            return amount;
        },
        borrow: (to, amount, until) => {
            borrowed.set(to, [...(borrowed.get(to) ?? []), { amount, until }]);
        },
        confirm: (peer, start) => {
            hasHadContact = true;
            if (start === startNumber) {
                confirmedBy.add(peer);
                tryActivate();
            }
        },
        hasReservedShareFor: peer => {
            hasHadContact = true;
            return members.has(peer) && [...lent.keys()].every(to => sum(lent, to) <= equalPart());
        },
        reset: distrust,
        start: () => startNumber,
    };
}
