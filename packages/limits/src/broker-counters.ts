/** Counts for metrics. They only grow. */
import type { ReasonCode } from "@waxwingdale/core";

export interface BrokerCounters {
    /** Requests that got a slot. */
    acquired: number;
    /** Requests among them that had to wait. */
    queued: number;
    /** Total wait of the requests that got a slot, in milliseconds. */
    waitedMs: number;
    refused: Partial<Record<ReasonCode, number>>;
    wantsSent: number;
    /** Slots lent to peers, and passed on to other peers. */
    granted: number;
    passedOn: number;
    /** Slots borrowed from peers. */
    borrowed: number;
    /** Grants of peers that this entry did not accept. */
    grantsRejected: number;
    returned: number;
    /** Lent slots taken back at the expiry of their grant. */
    reclaimed: number;
    /** Times that a server's slots were closed after a refusal. */
    closures: number;
    /** Pauses of the process that were longer than the takeover delay. */
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
