/** Monotonic counters for metrics. */
import type { ReasonCode } from "@waxwingdale/core";

export interface BrokerCounters {
    /** Requests that got a slot. */
    acquired: number;
    /** Requests that got a slot after waiting in the queue. */
    queued: number;
    /** Total time in milliseconds that these requests spent in the queue. */
    waitedMs: number;
    refused: Partial<Record<ReasonCode, number>>;
    wantsSent: number;
    /** Slots owned by this entry and lent to peers. */
    granted: number;
    /** Borrowed slots passed on to other peers. */
    passedOn: number;
    /** Slots borrowed from peers. */
    borrowed: number;
    /** Grants from peers that this entry rejected. */
    grantsRejected: number;
    returned: number;
    /** Lent slots reclaimed because their grant expired. */
    reclaimed: number;
    /** Number of times that a server was closed to new requests after a failure. */
    closures: number;
    /** Process pauses that were longer than the takeover delay. */
    pauses: number;
}

export function createBrokerCounters(): BrokerCounters {
    return {
        acquired: 0,
        queued: 0,
        waitedMs: 0,
        refused: {},
        wantsSent: 0,
        granted: 0,
        passedOn: 0,
        borrowed: 0,
        grantsRejected: 0,
        returned: 0,
        reclaimed: 0,
        closures: 0,
        pauses: 0,
    };
}
