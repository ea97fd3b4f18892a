/** Calculates an entry's share of each link such that the entries of a region together stay within its capacity. */
import { MemberStatus } from "@waxwingdale/core";
import type { Clock, MemberView } from "@waxwingdale/core";

export interface LinkSharesOptions {
    view: MemberView;
    clock: Clock;
    takeoverDelayMs: number;
    /** Time for which part of a share is lent. */
    loanMs: number;
    /** Time that the lender waits after a loan has ended. */
    loanMarginMs: number;
}

interface ShareLoan {
    amount: number;
    until: number;
}

export interface LinkShares {
    /** Recalculates the equal share of each entry. Must be called periodically and whenever the members change. */
    refresh(): void;
    /** Fraction of the link's capacity that this entry may currently use, from 0 to 1. */
    share(to: string): number;
    /** Lends part of this entry's share and returns the amount lent. */
    lend(to: string, wanted: number, ownDemand: number): number;
    borrow(to: string, amount: number, until: number): void;
    /** Records that a peer reserves a share for this entry. `epoch` is the one in which the peer was asked. */
    confirm(peer: string, epoch: number): void;
    /** Whether this entry reserves a share for the peer. */
    hasReservedShareFor(peer: string): boolean;
    /** Starts over like a new entry, after a pause or an isolation. */
    reset(): void;
    /** Number of the current epoch, to be passed to `confirm`. Each reset starts a new one. */
    epoch(): number;
}

/**
 * Maximum fraction of an equal share that may be lent. With one half, the lent amount still fits into the equal share
 * after another entry has joined.
 */
const maxLentFraction = 0.5;

export function createLinkShares(options: LinkSharesOptions): LinkShares {
    const { view, clock } = options;
    const lent = new Map<string, ShareLoan[]>();
    const borrowed = new Map<string, ShareLoan[]>();
    const confirmedBy = new Set<string>();
    /** Time at which each former member left. Its share remains unused for the takeover delay. */
    const departedAt = new Map<string, number>();
    let members = new Set<string>();
    let epochStartedAt = clock.now();
    let epoch = 1;
    let isActive = false;
    /** Whether a peer has ever responded or sent a request. Member records alone may belong to long-dead entries. */
    let hasSeenPeer = false;
    let isIsolated = false;

    const sumLoans = (loans: Map<string, ShareLoan[]>, to: string) => {
        const now = clock.now();
        const current = (loans.get(to) ?? []).filter(({ until }) => until > now);
        loans.set(to, current);
        return current.reduce((total, { amount }) => total + amount, 0);
    };

    const equalShare = () => 1 / Math.max(1, members.size + departedAt.size);

    const updateMembers = () => {
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
                departedAt.set(id, now);
            }
        }
        for (const [id, since] of departedAt) {
            if (next.has(id) || now - since >= options.takeoverDelayMs) {
                departedAt.delete(id);
            }
        }
        members = next;
    };

    const tryActivate = () => {
        const peers = [...members].filter(id => id !== view.self().id);
        const isConfirmedByAll = peers.length > 0 && peers.every(id => confirmedBy.has(id));
        isActive ||= isConfirmedByAll || clock.now() - epochStartedAt >= options.takeoverDelayMs;
    };

    const reset = () => {
        epoch++;
        epochStartedAt = clock.now();
        isActive = false;
        confirmedBy.clear();
        borrowed.clear();
    };

    return {
        refresh: () => {
            updateMembers();
            const self = view.self().id;
            const isReachable = view.members().some(m => m.id !== self && m.status !== MemberStatus.Dead);
            const wasIsolated = isIsolated;
            isIsolated = hasSeenPeer && !isReachable;
            if (wasIsolated && !isIsolated) {
                reset();
            }
            tryActivate();
        },
        share: to => {
            // While this entry is isolated, peers may use its share, and no other entry is reachable to send to.
            if (!isActive || isIsolated) {
                return 0;
            }
            return Math.max(0, equalShare() - sumLoans(lent, to)) + sumLoans(borrowed, to);
        },
        lend: (to, wanted, ownDemand) => {
            const ownShare = equalShare();
            const alreadyLent = sumLoans(lent, to);
            const spare = Math.min(ownShare - ownDemand, ownShare * maxLentFraction) - alreadyLent;
            if (!isActive || isIsolated || spare <= 0 || wanted <= 0) {
                return 0;
            }
            const amount = Math.min(spare, wanted);
            const until = clock.now() + options.loanMs + options.loanMarginMs;
            lent.set(to, [...(lent.get(to) ?? []), { amount, until }]);
            return amount;
        },
        borrow: (to, amount, until) => {
            borrowed.set(to, [...(borrowed.get(to) ?? []), { amount, until }]);
        },
        confirm: (peer, confirmedEpoch) => {
            hasSeenPeer = true;
            if (confirmedEpoch === epoch) {
                confirmedBy.add(peer);
                tryActivate();
            }
        },
        hasReservedShareFor: peer => {
            hasSeenPeer = true;
            return members.has(peer) && [...lent.keys()].every(to => sumLoans(lent, to) <= equalShare());
        },
        reset,
        epoch: () => epoch,
    };
}
