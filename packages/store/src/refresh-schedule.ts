/** Schedules hedged calls to the store once the view of a prefix is stale, regardless of the calls still pending. */
import type { Clock } from "@waxwingdale/core";

export interface RefreshOptions {
    /** Age of the view in milliseconds from which hedged calls are sent in addition to a pending one. */
    staleAfterMs: number;
    /** Minimum time between two calls in milliseconds. */
    intervalMs: number;
    /** A view that is complete only up to an earlier clock time than this is outdated, whatever its age. */
    requiredAsOf?: () => number;
    /** Calls `listener` when `requiredAsOf` has increased. Returns a function that removes the listener. */
    onRequired?: (listener: () => void) => () => void;
}

export interface RefreshSchedule {
    /** Records that the view is complete up to the clock time `asOf`. */
    advanceAsOf: (asOf: number) => void;
    /** Records that a call to the store was sent. */
    recordCall(): void;
    /** Counts a hedged call. Returns how many have been made since the view last advanced. */
    recordRefresh(): number;
    /** Returns the clock time up to which the view is complete. */
    getAsOf: () => number;
    /** Returns the clock time at which the next hedged call is due, or Infinity if none is. */
    dueAt: () => number;
    /** Whether the view is complete only up to a time before `requiredAsOf`. */
    isOutdated: () => boolean;
}

/**
 * Maximum number of hedged calls while the view does not advance. An unreachable store responds to none of them, and
 * each call is billed. The watch keeps retrying after this limit.
 */
const maxRefreshes = 3;

/** Creates the schedule of a view that is current at creation. Without options, no hedged calls are due. */
export function createRefreshSchedule(clock: Clock, options: RefreshOptions | undefined): RefreshSchedule {
    let latestAsOf = clock.now();
    let lastCallAt = -Infinity;
    let refreshes = 0;
    const isOutdated = () => latestAsOf < (options?.requiredAsOf?.() ?? -Infinity);
    return {
        isOutdated,
        advanceAsOf: asOf => {
            if (asOf > latestAsOf) {
                latestAsOf = asOf;
                refreshes = 0;
            }
        },
        recordCall: () => {
            lastCallAt = clock.now();
        },
        recordRefresh: () => ++refreshes,
        getAsOf: () => latestAsOf,
        dueAt: () =>
            options === undefined || refreshes >= maxRefreshes
                ? Infinity
                : Math.max(
                      isOutdated() ? -Infinity : latestAsOf + options.staleAfterMs,
                      lastCallAt + options.intervalMs,
                  ),
    };
}
