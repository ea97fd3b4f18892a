/** How long a kept connection may have rested when a request is sent on it. */
import type { Clock } from "@waxwingdale/core";

export interface IdleLimit {
    /** Longest rest in milliseconds. A request that must not run twice is held to a shorter one. */
    limitMs(isRepeatable: boolean): number;
    /** A connection that had rested for this long was gone when a request was sent on it. */
    recordStale(restedMs: number): void;
}

/** Rest in milliseconds for a request that must not run twice: a close by the server that crosses it cannot be told from a lost answer. */
const nonIdempotentIdleMs = 3000;
/** The same for a request that may run again, bounded by what the server says. */
const idempotentIdleMs = 30_000;
/** Part of the rest of a connection that was gone which is still taken as safe. */
const safePart = 0.5;
/** Shortest limit in milliseconds: connections that are reset whatever their rest must not make every send a new one. */
const minLimitMs = 30;
/** Time in milliseconds for which a limit holds: servers and what stands before them forget connections for some time. */
const rememberMs = 10_000;

export function createIdleLimit(clock: Clock): IdleLimit {
    let learnedMs = nonIdempotentIdleMs;
    let learnedUntil = -Infinity;
    const current = () => (clock.now() < learnedUntil ? learnedMs : nonIdempotentIdleMs);
    return {
        limitMs: isRepeatable => (isRepeatable ? idempotentIdleMs : current()),
        recordStale: restedMs => {
            learnedMs = Math.min(current(), Math.max(minLimitMs, restedMs * safePart));
            learnedUntil = clock.now() + rememberMs;
        },
    };
}
