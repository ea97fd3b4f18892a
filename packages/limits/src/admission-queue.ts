/** Requests of one service that wait for a slot, ordered by class and then by arrival. */
import { classesByImportance } from "@waxwingdale/core";
import type { RequestClass, Slot, SlotRequest } from "@waxwingdale/core";

export interface Waiter {
    readonly req: SlotRequest;
    readonly enqueuedAt: number;
    /** Time after which the request would run past its deadline. */
    readonly latestStartAt: number;
    resolve(slot: Slot): void;
    reject(err: Error): void;
    /** Removes the timer and the abort listener of the waiter. */
    dispose(): void;
}

export interface AdmissionQueue {
    size(): number;
    /** Requests of the class and of more important classes. */
    countAhead(requestClass: RequestClass): number;
    push(waiter: Waiter): void;
    /** Returns whether the waiter was in the queue. */
    remove(waiter: Waiter): boolean;
    /** First waiter in order that can use one of the free slots. */
    findNext(canStart: (waiter: Waiter) => boolean): Waiter | undefined;
    /** Whether the class is served next because of its guaranteed share. */
    isDueByShare(requestClass: RequestClass): boolean;
    /** Removes a waiter that gets a slot and counts it against the shares. */
    dequeue(waiter: Waiter, now: number): void;
    /** Wait that the recent service of a class lets a further request of it expect; 0 when none waits. */
    expectedWaitMs(requestClass: RequestClass): number;
    /** Counts a slot that a peer's request of the class got instead. */
    recordServed(requestClass: RequestClass): void;
    /** The newest waiter of the least important class, if that class is less important than `requestClass`. */
    findEvictable(requestClass: RequestClass): Waiter | undefined;
    /** Waiters of each class, in the order of `classesByImportance`. */
    waitersByClass(): readonly (readonly Waiter[])[];
}

/** Weight of a new gap in the smoothed one. */
const intervalSmoothing = 0.1;
/** One slot, less the rounding error of a sum of shares. */
const fullCredit = 1 - 1e-9;

/**
 * Creates a queue. While more important classes are waiting, each lower class gets `lowerClassShare` of the slots,
 * so that a lasting load of look-ups does not stop bulk transfers altogether.
 */
export function createAdmissionQueue(lowerClassShare: number): AdmissionQueue {
    const waiting: Waiter[][] = classesByImportance.map(() => []);
    const credits = classesByImportance.map(() => 0);
    /** Smoothed time between two requests of the class that get a slot while the class is waiting. */
    const gapsMs = classesByImportance.map(() => 0);
    const waitingSince = classesByImportance.map(() => 0);
    let size = 0;

    const findIn = (rank: number, canStart: (waiter: Waiter) => boolean) => waiting[rank]!.find(canStart);

    const isDue = (rank: number) => rank > 0 && waiting[rank]!.length > 0 && credits[rank]! >= fullCredit;

    const countServed = (requestClass: RequestClass) => {
        const served = classesByImportance.indexOf(requestClass);
        if (credits[served]! >= fullCredit) {
            credits[served]! -= 1;
        }
        for (let rank = 1; rank < waiting.length; rank++) {
            // Credit does not build up beyond one slot, so a class that has waited long gets no burst.
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
                waitingSince[rank] = waiter.enqueuedAt;
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
                gapsMs[rank]! += intervalSmoothing * (now - waitingSince[rank]! - gapsMs[rank]!);
                waitingSince[rank] = now;
                countServed(waiter.req.requestClass);
            }
        },
        expectedWaitMs: requestClass => {
            const rank = classesByImportance.indexOf(requestClass);
            return waiting[rank]!.length === 0 ? 0 : (waiting[rank]!.length + 1) * gapsMs[rank]!;
        },
        recordServed: countServed,
        findEvictable: requestClass => {
            const own = classesByImportance.indexOf(requestClass);
            for (let rank = waiting.length - 1; rank > own; rank--) {
                if (waiting[rank]!.length > 0) {
                    return waiting[rank]!.at(-1);
                }
            }
            return undefined;
        },
        waitersByClass: () => waiting,
    };
}
