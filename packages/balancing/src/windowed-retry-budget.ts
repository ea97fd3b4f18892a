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
    /**
     * Clock time at which the process started. In the window after it the slack is not used: an earlier process of the
     * instance may have used it, and other instances may not be known yet.
     */
    startedAt: number;
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
    const fleetSize = createRecentMaximum(options.windowMs);
    const getSlack = (now: number) =>
        now < options.startedAt + options.windowMs ? 0 : options.slack / Math.max(1, fleetSize.value(now));
    const allowance = (now: number) => usableFraction * (options.ratio * requests.count(now) + getSlack(now));
    return {
        countRequest: now => {
            requests.add(now);
            fleetSize.record(options.instances(), now);
        },
        tryAcquire: now => {
            fleetSize.record(options.instances(), now);
            if (retries.count(now) + 1 > allowance(now)) {
                return false;
            }
            retries.add(now);
            return true;
        },
    };
}

interface RecentMaximum {
    record(value: number, now: number): void;
    /** Returns the largest value of the last one to two windows. */
    value(now: number): number;
}

/** An instance that loses sight of others does not use their shares: they may still use them themselves. */
function createRecentMaximum(windowMs: number): RecentMaximum {
    let window = 0;
    let current = 0;
    let previous = 0;

    const advance = (now: number) => {
        const index = Math.floor(now / windowMs);
        if (index !== window) {
            previous = index === window + 1 ? current : 0;
            current = 0;
            window = index;
        }
    };

    return {
        record: (value, now) => {
            advance(now);
            current = Math.max(current, value);
        },
        value: now => {
            advance(now);
            return Math.max(current, previous);
        },
    };
}
