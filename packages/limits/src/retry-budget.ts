/** Budget that bounds retries to a share of traffic. */

export interface RetryBudget {
    /** Counts a first attempt. */
    countRequest(): void;
    /** Takes one retry from the budget; false when the budget is used up. */
    tryRetry(): boolean;
    /** Retries available now. */
    available(): number;
}

export interface RetryBudgetOptions {
    /**
     * Most retries that can be saved up. Bounds the burst after a long time without failures.
     * @default 10
     */
    maxTokens?: number;
    /**
     * Retries available before any traffic, so that a service with little traffic can retry at all.
     * @default 2
     */
    initialTokens?: number;
}

/** Creates a budget that earns `share` of a retry for each request. */
export function createRetryBudget(share: number, options: RetryBudgetOptions = {}): RetryBudget {
    if (!(share >= 0 && share <= 1)) {
        throw new RangeError(`the share of retries is ${share}; give a number from 0 to 1`);
    }
    const maxSaved = options.maxTokens ?? 10;
    // The route that allows no retries gets none at the start either.
    let saved = share === 0 ? 0 : Math.min(maxSaved, options.initialTokens ?? 2);
    return {
        countRequest: () => {
            saved = Math.min(maxSaved, saved + share);
        },
        tryRetry: () => {
            if (saved < 1) {
                return false;
            }
            saved -= 1;
            return true;
        },
        available: () => Math.floor(saved),
    };
}
