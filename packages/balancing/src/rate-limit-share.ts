/**
 * Share of a server's rate limit that one instance may use. All instances work it out from their lists of instances
 * alone: the limit is divided among a few senders, which rendezvous hashing picks alike everywhere.
 */
import { rankOwners } from "@waxwingdale/core";

/** Fraction of the limit that is used; the margin covers requests that arrive closer together than they were sent. */
const usableFraction = 0.9;
/** Smallest share in requests per second. With less, an instance could hardly ever send when it has a request. */
const minSharePerSecond = 1;

/**
 * Divides a rate among a few of the candidates, which all instances choose alike, and returns the share of `self` in
 * requests per second. An equal share of all would be below one request, and the server would not be used.
 */
export function getSenderShare(
    serverId: string,
    usablePerSecond: number,
    self: string,
    candidates: readonly string[],
): number {
    const wanted = Math.max(1, Math.floor(usablePerSecond / minSharePerSecond));
    const count = Math.min(candidates.length, wanted);
    const isSender = rankOwners(serverId, candidates).slice(0, count).includes(self);
    return isSender ? usablePerSecond / count : 0;
}

/** Returns the share of `self` in requests per second if all instances have the list `candidates`. */
export function getRateLimitShare(
    serverId: string,
    requestsPerSecond: number,
    self: string,
    candidates: readonly string[],
): number {
    return getSenderShare(serverId, getUsableRate(requestsPerSecond), self, candidates);
}

/**
 * Returns the smallest share of `self` in any of the lists that were current lately. An instance that gains a share
 * waits until the others have heard that they have lost it; one that loses a share stops at once.
 */
export function getHeldShare(
    serverId: string,
    requestsPerSecond: number,
    self: string,
    recentCandidates: readonly (readonly string[])[],
): number {
    return getHeldSenderShare(serverId, getUsableRate(requestsPerSecond), self, recentCandidates);
}

/** The same for a rate of which everything may be used. */
export function getHeldSenderShare(
    serverId: string,
    usablePerSecond: number,
    self: string,
    recentCandidates: readonly (readonly string[])[],
): number {
    return Math.min(...recentCandidates.map(ids => getSenderShare(serverId, usablePerSecond, self, ids)));
}

/** Returns the part of a limit that all instances together use, in requests per second. */
export function getUsableRate(requestsPerSecond: number): number {
    return usableFraction * requestsPerSecond;
}
