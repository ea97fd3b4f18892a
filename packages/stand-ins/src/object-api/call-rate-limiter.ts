/**
 * Rate limiter of the object API. A call counts in the second in which it starts, a waiting watch also in each further
 * second.
 */
import type { Clock } from "@waxwingdale/core";

export interface CallCounters {
    taken: number;
    refused: number;
    highestInOneSecond: number;
    /** Number of watches that are waiting. */
    waiting: number;
}

export interface CallRateLimiter {
    /** Returns whether the limit allows one more call in this second, and counts the call if so. */
    tryAcquire(): boolean;
    /** Counts a watch as one call in each further second, until the returned function is called. */
    trackWatch(): () => void;
    counters(): CallCounters;
}

/** Creates a rate limiter that allows `limit` calls per second. */
export function createCallRateLimiter(clock: Clock, limit: number): CallRateLimiter {
    let second = 0;
    let used = 0;
    let taken = 0;
    let refused = 0;
    let highestInOneSecond = 0;
    let waiting = 0;

    const startSecond = () => {
        const current = Math.floor(clock.now() / 1000);
        if (current !== second) {
            second = current;
            used = waiting;
        }
    };

    return {
        tryAcquire: () => {
            startSecond();
            if (used >= limit) {
                refused++;
                return false;
            }
            used++;
            taken++;
            highestInOneSecond = Math.max(highestInOneSecond, used);
            return true;
        },
        trackWatch: () => {
            let isWaiting = true;
            waiting++;
            return () => {
                startSecond();
                waiting -= isWaiting ? 1 : 0;
                isWaiting = false;
            };
        },
        counters: () => ({ taken, refused, highestInOneSecond, waiting }),
    };
}
