/** Limits the requests of this instance to a cold backend server, so that all instances together respect its limit. */
import { getHeldSenderShare } from "./rate-limit-share.js";
import { createSlidingWindowCounter } from "./sliding-window-counter.js";

export interface ColdLimitOptions {
    serverId: string;
    /** Maximum number of requests to a cold server in any second, across all instances, by the current configuration. */
    requestsPerSecond: () => number;
    /** Id of this instance. */
    self: string;
    /**
     * The lists of instances that may send to the server while it is cold, as they were seen lately. Returns a new array when
     * they change.
     */
    recentSenders: () => readonly (readonly string[])[];
}

export interface ColdLimit {
    /** Whether one more request at `now` stays within the limit for the past second. */
    hasCapacity(now: number): boolean;
    /** Counts a request, also one to a server that is not known to be cold: it may have become cold already. */
    countRequest(now: number): void;
}

const windowMs = 1000;
/** Fraction of the limit that is used; the margin covers requests that arrive closer together than they were sent. */
const usableFraction = 0.75;

export function createColdLimit(options: ColdLimitOptions): ColdLimit {
    const sent = createSlidingWindowCounter(windowMs);
    let recent: readonly (readonly string[])[] | undefined;
    let limit = 0;
    let share = 0;

    const currentShare = () => {
        const current = options.recentSenders();
        const currentLimit = options.requestsPerSecond();
        if (current !== recent || currentLimit !== limit) {
            recent = current;
            limit = currentLimit;
            share = getHeldSenderShare(options.serverId, usableFraction * limit, options.self, current);
        }
        return share;
    };

    return {
        hasCapacity: now => sent.count(now) + 1 <= currentShare(),
        countRequest: now => sent.add(now),
    };
}
