/** Bounds the requests of this instance to a cold backend server, so that all instances together stay under its limit. */
import { createSlidingCount } from "./sliding-count.js";

export interface ColdLimitOptions {
    /** Requests in any second that a cold server gets from all instances together at most. */
    requestsPerSecond: number;
    /** Instances that send to the server while it is cold. */
    senders: () => number;
}

export interface ColdLimit {
    /** Whether one more request fits into the second that ends now. */
    hasRoom(now: number): boolean;
    countRequest(now: number): void;
}

const windowMs = 1000;
/** Part of the limit that is given out. The rest covers requests whose arrivals are closer together than their sends. */
const usablePart = 0.75;

export function createColdLimit(options: ColdLimitOptions): ColdLimit {
    const sent = createSlidingCount(windowMs);
    return {
        hasRoom: now =>
            sent.count(now) + 1 <= (usablePart * options.requestsPerSecond) / Math.max(1, options.senders()),
        countRequest: now => sent.add(now),
    };
}
