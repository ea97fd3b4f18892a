/** Rate limiter for the requests that one entry shifts from one region to another. */
import type { Clock } from "@waxwingdale/core";

export interface ShiftLimiter {
    /** Sets the maximum number of requests in any window of one second, and the mean rate in requests per second. */
    setLimit(maxPerWindow: number, ratePerSecond: number): void;
    /** Admits a request, or returns false. */
    tryAcquire(): boolean;
}

const windowMs = 1000;
/** Burst size in seconds of the mean rate, so that unevenly arriving requests can use the full rate. */
const burstSeconds = 0.1;

/**
 * Creates a limiter that combines a token bucket with a sliding window log. The log keeps the times of the latest
 * admitted requests: a request is admitted if the one `maxPerWindow` requests before it is older than a window. This
 * limits every window and not only aligned ones. A token bucket alone would admit its burst on top of the rate.
 */
export function createShiftLimiter(clock: Clock): ShiftLimiter {
    let admittedAt = new Float64Array(0);
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

    /** Enlarges the ring buffer. Its old length was at least the limit, so it holds all requests of the last window. */
    const grow = (length: number) => {
        const enlarged = new Float64Array(length);
        for (let i = 0; i < count; i++) {
            enlarged[i] = admittedAt[(next - count + i + admittedAt.length) % admittedAt.length]!;
        }
        admittedAt = enlarged;
        next = count % length;
    };

    return {
        setLimit: (max, ratePerSecond) => {
            refill();
            rate = ratePerSecond;
            maxPerWindow = max;
            if (max > admittedAt.length) {
                grow(Math.max(max, admittedAt.length * 2));
            }
        },
        tryAcquire: () => {
            refill();
            if (maxPerWindow < 1 || tokens < 1) {
                return false;
            }
            const now = clock.now();
            const oldest = admittedAt[(next - maxPerWindow + admittedAt.length) % admittedAt.length]!;
            if (count >= maxPerWindow && now - oldest <= windowMs) {
                return false;
            }
            tokens--;
            admittedAt[next] = now;
            next = (next + 1) % admittedAt.length;
            count = Math.min(count + 1, admittedAt.length);
            return true;
        },
    };
}
