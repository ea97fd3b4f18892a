/** Waiting time between attempts at a call that fails. */
import type { Random } from "@waxwingdale/core";

export interface BackoffOptions {
    /** Waiting time after the first failure, in milliseconds, before jitter. */
    minMs: number;
    /** Longest waiting time in milliseconds. */
    maxMs: number;
}

/**
 * Returns the waiting time after `failures` failures in a row: doubled each time and shortened by up to one half at
 * random, so that processes that failed together don't call together again.
 */
export function getBackoff(failures: number, options: BackoffOptions, random: Random): number {
    const doubled = options.minMs * 2 ** Math.min(Math.max(failures - 1, 0), 30);
    return Math.min(options.maxMs, doubled) * (1 - random() / 2);
}
