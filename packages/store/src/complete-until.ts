/** Up to when the answer to a watch is complete. */
import type { WatchResult } from "@waxwingdale/core";

/** Time in milliseconds by which an answer may come before the end of its wait: timers of two machines and rounding. */
const timerToleranceMs = 10;

/**
 * Returns the time of the clock up to which an answer of the store to a watch is complete. It may have been on its way for
 * any time, so only a wait that has passed without changes counts beside the time at which the call was sent.
 */
export function completeUntil(result: WatchResult, sentAt: number, waitMs: number, now: number): number {
    if (result.expired) {
        return -Infinity;
    }
    const hasWaited = result.changes.length === 0 && now - sentAt >= waitMs - timerToleranceMs;
    return hasWaited ? Math.min(now, sentAt + waitMs) : sentAt;
}
