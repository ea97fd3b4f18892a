/** Limits how long a reused connection may have been idle. Adapts to servers that drop idle connections early. */
import type { Clock } from "@waxwingdale/core";

export interface IdleLimit {
    /** Maximum idle time in milliseconds. The limit is shorter for non-idempotent requests. */
    limitMs(isIdempotent: boolean): number;
    /** Records that a reused connection had already been closed by the server after this idle time. */
    recordStale(idleMs: number): void;
}

/** Limit for non-idempotent requests: if the server closes the connection meanwhile, it looks like a lost response. */
const nonIdempotentIdleMs = 3000;
/** Limit for idempotent requests. The keep-alive timeout that the server announces also applies. */
const idempotentIdleMs = 30_000;
/** Fraction of a stale connection's idle time that is still considered safe. */
const safeFraction = 0.5;
/** Lower bound: resets that do not depend on the idle time must not disable connection reuse. */
const minLimitMs = 30;
/** How long a learned limit applies: servers, or middleboxes in front of them, drop idle connections for a while. */
const learnedLimitTtlMs = 10_000;

export function createIdleLimit(clock: Clock): IdleLimit {
    let learnedMs = nonIdempotentIdleMs;
    let learnedUntil = -Infinity;
    const getNonIdempotentLimitMs = () => (clock.now() < learnedUntil ? learnedMs : nonIdempotentIdleMs);
    return {
        limitMs: isIdempotent => (isIdempotent ? idempotentIdleMs : getNonIdempotentLimitMs()),
        recordStale: idleMs => {
            learnedMs = Math.min(getNonIdempotentLimitMs(), Math.max(minLimitMs, idleMs * safeFraction));
            learnedUntil = clock.now() + learnedLimitTtlMs;
        },
    };
}
