/** Sums over the last seconds, in one bucket for each second. */
import type { Clock } from "@waxwingdale/core";

/** Length in seconds of the window that rates are measured over. */
export const rateWindowSeconds = 5;

export interface RateWindow {
    add(amount: number): void;
    /** Mean amount for each second of the window. */
    perSecond(): number;
    total(): number;
}

/** Creates a window. The current second counts in proportion to the time that has passed of it. */
export function createRateWindow(clock: Clock): RateWindow {
    const startedAt = clock.now();
    const sums = new Map<number, number>();

    const dropOld = (second: number) => {
        for (const key of sums.keys()) {
            if (key <= second - rateWindowSeconds) {
                sums.delete(key);
            }
        }
    };

    const total = () => {
        dropOld(Math.floor(clock.now() / 1000));
        let sum = 0;
        for (const value of sums.values()) {
            sum += value;
        }
        return sum;
    };

    return {
        add: amount => {
            const second = Math.floor(clock.now() / 1000);
            if (!sums.has(second)) {
                dropOld(second);
            }
            sums.set(second, (sums.get(second) ?? 0) + amount);
        },
        perSecond: () => {
            const now = clock.now();
            const covered = rateWindowSeconds - 1 + (now % 1000) / 1000;
            // A window that has just begun covers less time; one second at least keeps a first burst from counting as a high rate.
            const seconds = Math.max(1, Math.min(covered, (now - startedAt) / 1000));
            return total() / seconds;
        },
        total,
    };
}
