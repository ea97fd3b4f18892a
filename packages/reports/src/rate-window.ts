/** Rates over the last few seconds, summed in one-second buckets. */
import type { Clock } from "@waxwingdale/core";

/** Window over which rates are measured, in seconds. */
export const rateWindowSeconds = 5;

export interface RateWindow {
    add(amount: number): void;
    /** Mean amount per second of the window. */
    perSecond(): number;
    total(): number;
}

/** Creates a window. The current second counts in proportion to its elapsed time. */
export function createRateWindow(clock: Clock): RateWindow {
    const startedAt = clock.now();
    const bucketSums = new Map<number, number>();

    const removeOldBuckets = (second: number) => {
        for (const key of bucketSums.keys()) {
            if (key <= second - rateWindowSeconds) {
                bucketSums.delete(key);
            }
        }
    };

    const total = () => {
        removeOldBuckets(Math.floor(clock.now() / 1000));
        let sum = 0;
        for (const value of bucketSums.values()) {
            sum += value;
        }
        return sum;
    };

    return {
        add: amount => {
            const second = Math.floor(clock.now() / 1000);
            if (!bucketSums.has(second)) {
                removeOldBuckets(second);
            }
            bucketSums.set(second, (bucketSums.get(second) ?? 0) + amount);
        },
        perSecond: () => {
            const now = clock.now();
            const coveredSeconds = rateWindowSeconds - 1 + (now % 1000) / 1000;
            // A new window covers less time. At least one second counts, so that an initial burst is no high rate.
            const seconds = Math.max(1, Math.min(coveredSeconds, (now - startedAt) / 1000));
            return total() / seconds;
        },
        total,
    };
}
