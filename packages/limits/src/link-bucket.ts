/** Token bucket of an entry's share of one link, with a reserve that bulk traffic does not touch. */
import { RequestClass, classesByImportance } from "@waxwingdale/core";
import type { Clock, Timer } from "@waxwingdale/core";

export interface LinkBucket {
    take(requestClass: RequestClass, bytes: number, signal?: AbortSignal): Promise<void>;
    /** Sets the rate; tokens that were earned before count at the old rate. */
    setRate(bytesPerMs: number): void;
    waitingBytes(): number;
    /** Bytes asked for since the last call, waiting ones included. */
    takeDemand(): number;
    sentBytes(): number;
}

export interface LinkBucketOptions {
    clock: Clock;
    /** Share of the rate that bulk never uses. */
    reservedShare: number;
    /** Time in which the bucket fills. Bounds the burst after a quiet time. */
    burstMs: number;
}

interface LinkWaiter {
    bytes: number;
    resolve: () => void;
}

/** Waits shorter than this are not worth a timer. */
const shortestWaitMs = 0.5;

export function createLinkBucket({ clock, reservedShare, burstMs }: LinkBucketOptions): LinkBucket {
    const queues: LinkWaiter[][] = classesByImportance.map(() => []);
    const bulkRank = classesByImportance.indexOf(RequestClass.Bulk);
    let rate = 0;
    /** May be negative: a body part larger than the bucket is sent when the bucket holds anything. */
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

    // Look-ups and writes may draw the bucket down into debt, so they do not wait behind a part of a bulk body.
    const floorOf = (rank: number) => (rank === bulkRank ? 0 : -rate * burstMs);

    const canSend = (rank: number) =>
        rate > 0 && tokens > floorOf(rank) && (rank !== bulkRank || bulkTokens > 0);

    const spend = (rank: number, bytes: number) => {
        tokens -= bytes;
        sent += bytes;
        if (rank === bulkRank) {
            bulkTokens -= bytes;
        }
    };

    const serve = () => {
        refill();
        for (let rank = 0; rank < queues.length; rank++) {
            const queue = queues[rank]!;
            while (queue.length > 0 && canSend(rank)) {
                const waiter = queue.shift()!;
                spend(rank, waiter.bytes);
                waiter.resolve();
            }
            if (queue.length > 0 && rank !== bulkRank) {
                break;
            }
        }
        schedule();
    };

    /** Time until the first waiting request may be sent. */
    const nextWaitMs = (rank: number) => {
        const total = (floorOf(rank) - tokens) / rate;
        return rank === bulkRank ? Math.max(total, -bulkTokens / (rate * (1 - reservedShare))) : total;
    };

    const schedule = () => {
        timer?.cancel();
        timer = undefined;
        const rank = queues.findIndex(queue => queue.length > 0);
        if (rank >= 0 && rate > 0) {
            timer = clock.setTimer(Math.max(shortestWaitMs, nextWaitMs(rank)), serve);
        }
    };

    const isFirst = (rank: number) => queues.slice(0, rank + 1).every(queue => queue.length === 0);

    return {
        take: (requestClass, bytes, signal) => {
            const rank = classesByImportance.indexOf(requestClass);
            demand += bytes;
            refill();
            if (isFirst(rank) && canSend(rank)) {
                spend(rank, bytes);
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
                    // A timer set anew for each arrival would never fire.
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
            serve();
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
