/** Limits the retries of a service, across all instances, to a ratio of its requests in a sliding window. */
import { createSlidingWindowCounter } from "./sliding-window-counter.js";

export interface WindowedRetryBudgetOptions {
    windowMs: number;
    /** Allowed retries per request in the window. */
    ratio: number;
    /** Retries per window, across all instances, that are allowed in addition to the ratio. */
    slack: number;
    /** Number of instances that serve traffic. */
    instances: () => number;
}

export interface WindowedRetryBudget {
    countRequest(now: number): void;
    /** Takes one retry from the budget. Returns false if it is exhausted. */
    tryAcquire(now: number): boolean;
}

/** Fraction of the budget that is used. The margin covers instances whose windows are not aligned with each other. */
const usableFraction = 0.7;

export function createWindowedRetryBudget(options: WindowedRetryBudgetOptions): WindowedRetryBudget {
    const requests = createSlidingWindowCounter(options.windowMs);
    const retries = createSlidingWindowCounter(options.windowMs);
    const allowance = (now: number) =>
        usableFraction *
        (options.ratio * requests.count(now) + options.slack / Math.max(1, options.instances()));
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
