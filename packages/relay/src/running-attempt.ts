/** An attempt to forward a request that is in flight at a backend server. */
import type { Placement } from "@waxwingdale/balancing";
import type { AttemptRecord } from "./request-outcome.js";
import type { WatchedAttempt } from "./server-examiner.js";
import type { UpstreamConnection } from "./upstream-connection.js";

export interface RunningAttempt {
    placement: Placement;
    connection: UpstreamConnection;
    /** Clock time at which the server was chosen. */
    sentAt: number;
    /** The same attempt, as it is followed for crashes of its server. */
    watched: WatchedAttempt;
    /** How long the connection had been idle; undefined for a new connection. */
    idleMs: number | undefined;
    /** Clock time at which the request was written; undefined until then. */
    writtenAt: number | undefined;
    /** Whether the caller's connection was not being read at that time. */
    wasCallerPaused: boolean;
}

/** Time beyond one round trip within which a reused connection turns out to have been closed by the server. */
const staleSlackMs = 8;

/** Whether the server had already closed the reused connection: the attempt then fails within one round trip. */
export function isStale({ idleMs, sentAt, placement }: RunningAttempt, now: number): boolean {
    return idleMs !== undefined && now - sentAt < placement.roundTripMs + staleSlackMs;
}

/** Describes an attempt that has ended. `arrivedAt` is the time at which the request was read. */
export function createAttemptRecord(
    { placement, sentAt, idleMs, writtenAt, wasCallerPaused }: RunningAttempt,
    result: string,
    arrivedAt: number,
    now: number,
): AttemptRecord {
    const { id, zone } = placement.server.record;
    return {
        server: id,
        zone,
        result,
        expectedMs: Math.round(placement.expectedMs),
        tookMs: Math.round(now - sentAt),
        writtenAfterMs: writtenAt === undefined ? undefined : writtenAt - arrivedAt,
        wasCallerPaused,
        isReused: idleMs !== undefined,
    };
}
