/** Limits retries to a fraction of the requests. */

export interface RetryBudget {
    /** Records a first attempt, which adds to the budget. */
    countRequest(): void;
    /** Takes one retry from the budget. Returns false if the budget is exhausted. */
    tryRetry(): boolean;
    /** Number of retries that are currently available. */
    available(): number;
}

export interface RetryBudgetOptions {
    /**
     * Maximum number of retries that can accumulate. Bounds the burst after a long period without failures.
     * @default 10
     */
    maxTokens?: number;
    /**
     * Retries available at the start, so that a service with little traffic can retry at all.
     * @default 2
     */
    initialTokens?: number;
}

/** Creates a budget that allows `ratio` retries per request. */
export function createRetryBudget(ratio: number, options: RetryBudgetOptions = {}): RetryBudget {
    if (!(ratio >= 0 && ratio <= 1)) {
        throw new RangeError(`the retry ratio must be a number from 0 to 1, got ${ratio}`);
    }
    const maxTokens = options.maxTokens ?? 10;
    // A route that allows no retries gets no initial ones either.
    let tokens = ratio === 0 ? 0 : Math.min(maxTokens, options.initialTokens ?? 2);
    return {
        countRequest: () => {
            tokens = Math.min(maxTokens, tokens + ratio);
        },
        tryRetry: () => {
            if (tokens < 1) {
                return false;
            }
            tokens -= 1;
            return true;
        },
        available: () => Math.floor(tokens),
    };
}
