/** Queue of the requests of one service that wait for a slot, ordered by class and then by arrival. */
import { classesByImportance } from "@waxwingdale/core";
import type { RequestClass, Slot, SlotRequest } from "@waxwingdale/core";

export interface Waiter {
    readonly req: SlotRequest;
    readonly enqueuedAt: number;
    /** Latest time at which the request can start and still finish before its deadline. */
    readonly latestStartAt: number;
    resolve(slot: Slot): void;
    reject(err: Error): void;
    /** Clears the timer and removes the abort listener. */
    dispose(): void;
}

export interface AdmissionQueue {
    size(): number;
    /** Number of waiting requests of the class and of higher-priority classes. */
    countAhead(requestClass: RequestClass): number;
    push(waiter: Waiter): void;
    /** Returns whether the waiter was in the queue. */
    remove(waiter: Waiter): boolean;
    /** Returns the first waiter, in queue order, that `canStart` accepts. */
    findNext(canStart: (waiter: Waiter) => boolean): Waiter | undefined;
    /** Whether the class gets the next slot because of its guaranteed share. */
    isDueByShare(requestClass: RequestClass): boolean;
    /** Removes a waiter that gets a slot and charges the slot to its class. */
    dequeue(waiter: Waiter, now: number): void;
    /** Estimates the wait of one more request from how often its class got slots recently; 0 if none is waiting. */
    expectedWaitMs(requestClass: RequestClass): number;
    /** Records that a slot was lent to a peer for a request of the class. */
    recordServed(requestClass: RequestClass): void;
    /** Returns the newest waiter of the lowest-priority class with waiters, if that ranks below `requestClass`. */
    findEvictable(requestClass: RequestClass): Waiter | undefined;
    /** Waiters of each class, in the order of `classesByImportance`. */
    waitersByClass(): readonly (readonly Waiter[])[];
}

/** Smoothing factor of the moving average of the service intervals. */
const intervalSmoothing = 0.1;
/** Credit that is worth one slot. Slightly below 1 to tolerate rounding errors in the sum of shares. */
const fullCredit = 1 - 1e-9;

/**
 * Creates a queue. While higher-priority classes are waiting, each lower-priority class still gets `lowerClassShare` of
 * the slots, so a sustained load of lookups cannot starve bulk transfers.
 */
export function createAdmissionQueue(lowerClassShare: number): AdmissionQueue {
    const waiting: Waiter[][] = classesByImportance.map(() => []);
    const credits = classesByImportance.map(() => 0);
    /** Moving average of the time between two slots given to the class while it has waiters. */
    const serviceIntervalsMs = classesByImportance.map(() => 0);
    const intervalStartedAt = classesByImportance.map(() => 0);
    let size = 0;

    const findIn = (rank: number, canStart: (waiter: Waiter) => boolean) => waiting[rank]!.find(canStart);

    const isDue = (rank: number) => rank > 0 && waiting[rank]!.length > 0 && credits[rank]! >= fullCredit;

    const recordServed = (requestClass: RequestClass) => {
        const servedRank = classesByImportance.indexOf(requestClass);
        if (credits[servedRank]! >= fullCredit) {
            credits[servedRank]! -= 1;
        }
        for (let rank = 1; rank < waiting.length; rank++) {
            // Credit is capped at one slot, so a class that has waited for long gets no burst.
            const isWaiting = waiting[rank]!.length > 0;
            credits[rank] = isWaiting ? Math.min(1, credits[rank]! + lowerClassShare) : 0;
        }
    };

    const remove = (waiter: Waiter) => {
        const list = waiting[classesByImportance.indexOf(waiter.req.requestClass)]!;
        const index = list.indexOf(waiter);
        if (index < 0) {
            return false;
        }
        list.splice(index, 1);
        size--;
        waiter.dispose();
        return true;
    };

    return {
        size: () => size,
        countAhead: requestClass => {
            const rank = classesByImportance.indexOf(requestClass);
            return waiting.slice(0, rank + 1).reduce((sum, list) => sum + list.length, 0);
        },
        push: waiter => {
            const rank = classesByImportance.indexOf(waiter.req.requestClass);
            if (waiting[rank]!.length === 0) {
                intervalStartedAt[rank] = waiter.enqueuedAt;
            }
            waiting[rank]!.push(waiter);
            size++;
        },
        remove,
        findNext: canStart => {
            if (size === 0) {
                return undefined;
            }
            for (let rank = waiting.length - 1; rank > 0; rank--) {
                const due = isDue(rank) ? findIn(rank, canStart) : undefined;
                if (due) {
                    return due;
                }
            }
            for (let rank = 0; rank < waiting.length; rank++) {
                const waiter = findIn(rank, canStart);
                if (waiter) {
                    return waiter;
                }
            }
            return undefined;
        },
        isDueByShare: requestClass => isDue(classesByImportance.indexOf(requestClass)),
        dequeue: (waiter, now) => {
            if (remove(waiter)) {
                const rank = classesByImportance.indexOf(waiter.req.requestClass);
                serviceIntervalsMs[rank]! +=
                    intervalSmoothing * (now - intervalStartedAt[rank]! - serviceIntervalsMs[rank]!);
                intervalStartedAt[rank] = now;
                recordServed(waiter.req.requestClass);
            }
        },
        expectedWaitMs: requestClass => {
            const rank = classesByImportance.indexOf(requestClass);
            return waiting[rank]!.length === 0 ? 0 : (waiting[rank]!.length + 1) * serviceIntervalsMs[rank]!;
        },
        recordServed,
        findEvictable: requestClass => {
            const ownRank = classesByImportance.indexOf(requestClass);
            for (let rank = waiting.length - 1; rank > ownRank; rank--) {
                if (waiting[rank]!.length > 0) {
                    return waiting[rank]!.at(-1);
                }
            }
            return undefined;
        },
        waitersByClass: () => waiting,
    };
}
