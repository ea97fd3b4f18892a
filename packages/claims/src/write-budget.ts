/** Token bucket that limits an entry's writes to the store to its share of the fleet-wide budget. */
import type { Clock, Timer } from "@waxwingdale/core";

export interface WriteBudget {
    /** Resolves when a write may be sent: immediately if there is a token, otherwise in order of the calls. */
    acquire(): Promise<void>;
    close(): void;
}

export interface WriteBudgetOptions {
    clock: Clock;
    /** Returns the number of writes per second that this entry may currently send. */
    writesPerSecond: () => number;
}

/** Fraction of one second's budget that may be sent as a burst after idle time. */
const burstFraction = 0.2;

/**
 * The burst and the refill of one second add up to the allowed rate, so that no window of one second exceeds it. Below
 * two writes per second, the burst is still one write, so that an idle entry can write immediately.
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

    const resolveWaiting = () => {
        timer = undefined;
        for (;;) {
            const { rate, tokens: available } = refill();
            if (waiting.length === 0) {
                return;
            }
            // The tolerance absorbs rounding errors, which would otherwise lead to timers of zero milliseconds.
            if (available < 1 - 1e-6) {
                timer = clock.setTimer(Math.max(1, ((1 - available) * 1000) / rate), resolveWaiting);
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
                    resolveWaiting();
                }
            }),
        close: () => {
            timer?.cancel();
            waiting.length = 0;
        },
    };
}
