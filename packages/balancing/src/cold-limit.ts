/** Bounds the requests of this instance to a cold backend server, so that all instances together stay under its limit. */
import { rankOwners } from "@waxwingdale/core";
import { createSlidingWindowCounter } from "./sliding-window-counter.js";

export interface ColdLimitOptions {
    serverId: string;
    /** Requests in any second that a cold server gets from all instances together at most. */
    requestsPerSecond: number;
    /** Id of this instance. */
    self: string;
    /** Ids of the instances that may send to the server while it is cold; a new array when they change. */
    senders: () => readonly string[];
}

export interface ColdLimit {
    /** Whether one more request fits into the second that ends now. */
    hasCapacity(now: number): boolean;
    countRequest(now: number): void;
}

const windowMs = 1000;
/** Part of the limit that is given out. The rest covers requests whose arrivals are closer together than their sends. */
const usablePart = 0.75;

/**
 * Requests a second that one instance may send to a cold server. Where a share of all instances would be below one request,
 * a few instances, the same in every view, have it among themselves, so that the server is used at all.
 */
function getColdShare(
    serverId: string,
    requestsPerSecond: number,
    self: string,
    senders: readonly string[],
): number {
    const usable = usablePart * requestsPerSecond;
    const count = Math.min(senders.length, Math.max(1, Math.floor(usable)));
    const isSender = rankOwners(serverId, senders).slice(0, count).includes(self);
    return isSender ? usable / Math.max(1, count) : 0;
}

export function createColdLimit(options: ColdLimitOptions): ColdLimit {
    const sent = createSlidingWindowCounter(windowMs);
    let senders: readonly string[] | undefined;
    let share = 0;

    const currentShare = () => {
        const current = options.senders();
        if (current !== senders) {
            senders = current;
            share = getColdShare(options.serverId, options.requestsPerSecond, options.self, current);
        }
        return share;
    };

    return {
        hasCapacity: now => sent.count(now) + 1 <= currentShare(),
        countRequest: now => sent.add(now),
    };
}
