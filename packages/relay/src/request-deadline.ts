/** Deadline of a request, from the caller's deadline and the timeout of its route. */
import type { Route } from "@waxwingdale/balancing";

/** Used if the caller sends no deadline, so that the route's timeout decides. */
const defaultDeadlineMs = 60_000;
/** Callers give up a request that has not been read for this fraction of their time. */
const maxUnreadFraction = 1 / 3;

/** When a request was read, and for how long it may have been pending before. */
export interface Arrival {
    arrivedAt: number;
    /** Maximum time in milliseconds for which the request may have been pending before it was read. */
    unreadMs: number;
    /**
     * Maximum time in milliseconds for which the request may have waited in the accept queue. It does not count against
     * the deadline: while many connections arrive, most have waited for a small part of it.
     */
    queuedMs: number;
}

/** Returns how long the caller waits, in milliseconds. */
export function getCallerDeadlineMs(deadlineMs: number | undefined): number {
    return deadlineMs ?? defaultDeadlineMs;
}

/** Returns the clock time at which a request ends at the latest. */
export function getDeadline(
    { arrivedAt, unreadMs }: Arrival,
    callerDeadlineMs: number,
    route: Route,
): number {
    const timeoutMs = Math.min(callerDeadlineMs, route.timeoutMs);
    return arrivedAt + timeoutMs - estimateWaitMs(unreadMs, timeoutMs);
}

/**
 * Estimates how long a request waited before it was read, which counts against its deadline: half of the time for which
 * it may have been pending, as it can have arrived at any moment of it.
 */
function estimateWaitMs(unreadMs: number, timeoutMs: number): number {
    return Math.min(unreadMs / 2, timeoutMs * maxUnreadFraction);
}
