/** Exponential backoff with jitter between retries. */
import type { Random } from "@waxwingdale/core";

export interface BackoffOptions {
    /** Delay after the first failure, in milliseconds, before jitter. */
    minMs: number;
    /** Maximum delay in milliseconds. */
    maxMs: number;
}

/**
 * Returns the delay in milliseconds after `failures` consecutive failures. The delay doubles with each failure, and
 * jitter shortens it by up to half, so that processes that failed at the same time don't retry at the same time.
 */
export function getBackoff(failures: number, options: BackoffOptions, random: Random): number {
    const doubled = options.minMs * 2 ** Math.min(Math.max(failures - 1, 0), 30);
    return Math.min(options.maxMs, doubled) * (1 - random() / 2);
}
