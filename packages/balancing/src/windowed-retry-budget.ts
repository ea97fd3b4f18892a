/** Bounds retries of one service by a share of its requests in a sliding window, summed over all instances. */
import { createSlidingWindowCounter } from "./sliding-window-counter.js";

export interface WindowedRetryBudgetOptions {
    windowMs: number;
    /** Retries for each request in the window. */
    ratio: number;
    /** Retries that all instances together may make in a window beyond the ratio. */
    slack: number;
    /** Instances that serve traffic. */
    instances: () => number;
}

export interface WindowedRetryBudget {
    countRequest(now: number): void;
    /** Takes one retry; false when the window has no room. */
    tryAcquire(now: number): boolean;
}

/**
 * Part of the allowance that is given out. The rest covers instances that count in windows which begin at other moments
 * than the window that is checked.
 */
const usablePart = 0.7;

export function createWindowedRetryBudget(options: WindowedRetryBudgetOptions): WindowedRetryBudget {
    const requests = createSlidingWindowCounter(options.windowMs);
    const retries = createSlidingWindowCounter(options.windowMs);
    const allowance = (now: number) =>
        usablePart * (options.ratio * requests.count(now) + options.slack / Math.max(1, options.instances()));
    return {
        countRequest: now => requests.add(now),
        tryAcquire: now => {
            if (retries.count(now) + 1 > allowance(now)) {
                return false;
            }
            retries.add(now);
            return true;
        },
    };
}
