/** Token bucket that keeps one entry's writes to the store within its part of the fleet's budget. */
import type { Clock, Timer } from "@waxwingdale/core";

export interface WriteBudget {
    /** Resolves when a write may be sent; at once when few were sent lately. */
    acquire(): Promise<void>;
    close(): void;
}

export interface WriteBudgetOptions {
    clock: Clock;
    /** Writes per second that this entry may send now. */
    writesPerSecond: () => number;
}

/** Part of a second's budget that may be sent at once after idle time. */
const burstFraction = 0.2;

/**
 * Creates the budget. Refill and burst together give the allowed rate, so that no window of one second exceeds it. With
 * fewer than two writes per second the burst of one write still lets an idle entry write at once.
 */
export function createWriteBudget({ clock, writesPerSecond }: WriteBudgetOptions): WriteBudget {
    const waiting: (() => void)[] = [];
    let timer: Timer | undefined;
    let tokens: number | undefined;
    let refilledAt = clock.now();

    const refill = () => {
        const allowed = writesPerSecond();
        const burst = Math.max(1, Math.floor(allowed * burstFraction));
        const rate = Math.max(allowed - burst, allowed / 2);
        const now = clock.now();
        tokens = Math.min(burst, (tokens ?? burst) + (Math.max(0, now - refilledAt) * rate) / 1000);
        refilledAt = now;
        return { rate, tokens };
    };

    const serve = () => {
        timer = undefined;
        for (;;) {
            const { rate, tokens: available } = refill();
            // The tolerance absorbs rounding, which would otherwise set timers of zero milliseconds.
            if (waiting.length === 0) {
                return;
            }
            if (available < 1 - 1e-6) {
                timer = clock.setTimer(Math.max(1, ((1 - available) * 1000) / rate), serve);
                return;
            }
            tokens = available - 1;
            waiting.shift()!();
        }
    };

    return {
        acquire: () =>
            new Promise(resolve => {
                waiting.push(resolve);
                if (timer === undefined) {
                    serve();
                }
            }),
        close: () => {
            timer?.cancel();
            waiting.length = 0;
        },
    };
}
