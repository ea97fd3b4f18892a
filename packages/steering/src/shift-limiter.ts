/** Limits the shifted requests of one pair of regions at one entry. */
import type { Clock } from "@waxwingdale/core";

export interface ShiftLimiter {
    /** Sets the most requests in any window of one second, and the mean rate in requests per second. */
    setLimit(maxPerWindow: number, ratePerSecond: number): void;
    /** Counts a request in, or returns false. */
    tryAcquire(): boolean;
}

const windowMs = 1000;
/** Burst in seconds of the mean rate: lets requests that arrive unevenly use the rate. */
const burstSeconds = 0.1;

/**
 * Creates a meter. It keeps the times of the latest requests: a request passes when the one that is `maxPerWindow`
 * places before it is more than a window old, which bounds every window and not only aligned ones. A token bucket alone
 * would let its burst pass on top of the rate.
 */
export function createShiftLimiter(clock: Clock): ShiftLimiter {
    let times = new Float64Array(0);
    let next = 0;
    let count = 0;
    let maxPerWindow = 0;
    let rate = 0;
    let tokens = 0;
    let refilledAt = clock.now();

    const refill = () => {
        const now = clock.now();
        const burst = rate > 0 ? Math.max(1, rate * burstSeconds) : 0;
        tokens = Math.min(burst, tokens + ((now - refilledAt) / 1000) * rate);
        refilledAt = now;
    };

    /** Enlarges the ring. Within a window no more requests than the old length passed, so the latest ones are enough. */
    const grow = (length: number) => {
        const enlarged = new Float64Array(length);
        for (let i = 0; i < count; i++) {
            enlarged[i] = times[(next - count + i + times.length) % times.length]!;
        }
        times = enlarged;
        next = count % length;
    };

    return {
        setLimit: (max, ratePerSecond) => {
            refill();
            rate = ratePerSecond;
            maxPerWindow = max;
            if (max > times.length) {
                grow(Math.max(max, times.length * 2));
            }
        },
        tryAcquire: () => {
            refill();
            if (maxPerWindow < 1 || tokens < 1) {
                return false;
            }
            const now = clock.now();
            const compared = times[(next - maxPerWindow + times.length) % times.length]!;
            if (count >= maxPerWindow && now - compared <= windowMs) {
                return false;
            }
            tokens--;
            times[next] = now;
            next = (next + 1) % times.length;
            count = Math.min(count + 1, times.length);
            return true;
        },
    };
}
