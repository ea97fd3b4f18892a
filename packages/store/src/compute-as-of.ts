/** Determines the time up to which the result of a watch is complete. */
import type { WatchResult } from "@waxwingdale/core";

/** Milliseconds by which a response may precede the end of its wait, due to rounding and the timers of two machines. */
const timerToleranceMs = 10;

/**
 * Returns the clock time up to which a watch response of the store is complete. Since the response may have been
 * delayed in transit, this is the time at which the call was sent or, if the whole wait passed without changes, the end
 * of the wait.
 */
export function computeAsOf(result: WatchResult, sentAt: number, waitMs: number, now: number): number {
    if (result.expired) {
        return -Infinity;
    }
    const hasWaited = result.changes.length === 0 && now - sentAt >= waitMs - timerToleranceMs;
    return hasWaited ? Math.min(now, sentAt + waitMs) : sentAt;
}
