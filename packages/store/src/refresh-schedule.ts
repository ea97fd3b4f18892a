/** When the store is asked again because the view of a prefix grows too old, whatever the pending calls wait for. */
import type { Clock } from "@waxwingdale/core";

export interface RefreshOptions {
    /** Age of the view in milliseconds from which further calls go out beside a pending one. */
    staleAfterMs: number;
    /** Time in milliseconds between two further calls. */
    intervalMs: number;
}

export interface RefreshSchedule {
    /** Notes that the view is complete up to a time of the clock. */
    noteCurrent: (asOf: number) => void;
    /** Notes that a call to the store was sent. */
    noteCall(): void;
    /** Notes a further call beside a pending one. Returns how many there are for the view as it is. */
    noteRefresh(): number;
    /** Time of the clock up to which the view is complete. */
    currentAt: () => number;
    /** Time of the clock at which a further call is due; infinite when none is. */
    dueAt: () => number;
}

/**
 * Further calls for one view that is too old. A store that is away answers none of them, and each call is charged for. The
 * retries of the watch go on.
 */
const maxRefreshes = 3;

/** Creates the schedule of a view that counts as current now. Without times no further calls are due. */
export function createRefreshSchedule(clock: Clock, times: RefreshOptions | undefined): RefreshSchedule {
    let currentAt = clock.now();
    let calledAt = -Infinity;
    let refreshes = 0;
    return {
        noteCurrent: asOf => {
            if (asOf > currentAt) {
                currentAt = asOf;
                refreshes = 0;
            }
        },
        noteCall: () => {
            calledAt = clock.now();
        },
        noteRefresh: () => ++refreshes,
        currentAt: () => currentAt,
        dueAt: () =>
            times === undefined || refreshes >= maxRefreshes
                ? Infinity
                : Math.max(currentAt + times.staleAfterMs, calledAt + times.intervalMs),
    };
}
