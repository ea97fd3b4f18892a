/** Token bucket for an entry's share of one link, with a reserve that bulk traffic cannot use. */
import { RequestClass, classesByImportance } from "@waxwingdale/core";
import type { Clock, Timer } from "@waxwingdale/core";

export interface LinkBucket {
    take(requestClass: RequestClass, bytes: number, signal?: AbortSignal): Promise<void>;
    /** Sets the rate. Tokens up to now accrue at the old rate. */
    setRate(bytesPerMs: number): void;
    waitingBytes(): number;
    /** Returns the bytes requested since the last call, plus those that were already waiting at that time. */
    takeDemand(): number;
    sentBytes(): number;
}

export interface LinkBucketOptions {
    clock: Clock;
    /** Fraction of the rate that bulk traffic cannot use. */
    reservedShare: number;
    /** Time in which the bucket fills. Bounds the burst after an idle period. */
    burstMs: number;
}

interface LinkWaiter {
    bytes: number;
    resolve: () => void;
}

/** Minimum delay of the timer, as shorter waits are not worth one. */
const minTimerDelayMs = 0.5;

export function createLinkBucket({ clock, reservedShare, burstMs }: LinkBucketOptions): LinkBucket {
    const queues: LinkWaiter[][] = classesByImportance.map(() => []);
    const bulkRank = classesByImportance.indexOf(RequestClass.Bulk);
    let rate = 0;
    /** Can be negative, since a chunk larger than the bucket is sent as soon as the bucket is not empty. */
    let tokens = 0;
    let bulkTokens = 0;
    let refilledAt = clock.now();
    let timer: Timer | undefined;
    let sent = 0;
    let demand = 0;

    const refill = () => {
        const now = clock.now();
        const elapsedMs = now - refilledAt;
        refilledAt = now;
        tokens = Math.min(rate * burstMs, tokens + rate * elapsedMs);
        const bulkRate = rate * (1 - reservedShare);
        bulkTokens = Math.min(bulkRate * burstMs, bulkTokens + bulkRate * elapsedMs);
    };

    // Lookups and writes may overdraw the bucket, so they do not wait behind a chunk of a bulk body.
    const minTokensOf = (rank: number) => (rank === bulkRank ? 0 : -rate * burstMs);

    const canSend = (rank: number) =>
        rate > 0 && tokens > minTokensOf(rank) && (rank !== bulkRank || bulkTokens > 0);

    const consumeTokens = (rank: number, bytes: number) => {
        tokens -= bytes;
        sent += bytes;
        if (rank === bulkRank) {
            bulkTokens -= bytes;
        }
    };

    const processQueues = () => {
        refill();
        for (let rank = 0; rank < queues.length; rank++) {
            const queue = queues[rank]!;
            while (queue.length > 0 && canSend(rank)) {
                const waiter = queue.shift()!;
                consumeTokens(rank, waiter.bytes);
                waiter.resolve();
            }
            if (queue.length > 0 && rank !== bulkRank) {
                break;
            }
        }
        schedule();
    };

    /** Time until the first waiter of the class may send. */
    const nextWaitMs = (rank: number) => {
        const total = (minTokensOf(rank) - tokens) / rate;
        return rank === bulkRank ? Math.max(total, -bulkTokens / (rate * (1 - reservedShare))) : total;
    };

    const schedule = () => {
        timer?.cancel();
        timer = undefined;
        const rank = queues.findIndex(queue => queue.length > 0);
        if (rank >= 0 && rate > 0) {
            timer = clock.setTimer(Math.max(minTimerDelayMs, nextWaitMs(rank)), processQueues);
        }
    };

    const isNextInLine = (rank: number) => queues.slice(0, rank + 1).every(queue => queue.length === 0);

    return {
        take: (requestClass, bytes, signal) => {
            const rank = classesByImportance.indexOf(requestClass);
            demand += bytes;
            refill();
            if (isNextInLine(rank) && canSend(rank)) {
                consumeTokens(rank, bytes);
                return Promise.resolve();
            }
            return new Promise((resolve, reject) => {
                const queue = queues[rank]!;
                const onAbort = () => {
                    queue.splice(queue.indexOf(waiter), 1);
                    reject(signal!.reason as Error);
                };
                const waiter: LinkWaiter = {
                    bytes,
                    resolve: () => {
                        signal?.removeEventListener("abort", onAbort);
                        resolve();
                    },
                };
                queue.push(waiter);
                signal?.addEventListener("abort", onAbort, { once: true });
                if (queue.length === 1) {
                    // Rescheduling on every arrival would keep the timer from ever firing.
                    schedule();
                }
            });
        },
        setRate: bytesPerMs => {
            refill();
            if (bytesPerMs === rate) {
                return;
            }
            rate = bytesPerMs;
            tokens = Math.min(tokens, rate * burstMs);
            bulkTokens = Math.min(bulkTokens, rate * burstMs);
            processQueues();
        },
        waitingBytes: () => queues.flat().reduce((sum, { bytes }) => sum + bytes, 0),
        takeDemand: () => {
            const value = demand;
            demand = queues.flat().reduce((sum, { bytes }) => sum + bytes, 0);
            return value;
        },
        sentBytes: () => sent,
    };
}
