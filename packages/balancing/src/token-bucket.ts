/** Token bucket whose rate and capacity may change between calls. */

export interface TokenBucket {
    /** Adds the tokens since the last call, with the rate from then on, and sets the rate and capacity. */
    update(now: number, tokensPerSecond: number, capacity: number): void;
    /** Number of tokens at the last update. */
    tokens(): number;
    /** @param count Number of tokens, by default one. */
    take(count?: number): void;
    /** Removes all tokens. */
    clear(): void;
}

export function createTokenBucket(now: number, initialTokens = 0): TokenBucket {
    let tokens = initialTokens;
    let rate = 0;
    let updatedAt = now;
    return {
        update: (time, tokensPerSecond, capacity) => {
            const added = (rate * Math.max(0, time - updatedAt)) / 1000;
            tokens = Math.min(capacity, tokens + added);
            updatedAt = time;
            rate = tokensPerSecond;
        },
        tokens: () => tokens,
        take: (count = 1) => {
            tokens -= count;
        },
        clear: () => {
            tokens = 0;
        },
    };
}
