/** Token bucket that limits the rows sent by this member. */
import type { Clock } from "@waxwingdale/core";

export interface RowBudget {
    /** Takes up to `wanted` tokens and returns their number: at least `floor`, or `wanted` if that is less. */
    take(wanted: number, min?: number): number;
}

export function createRowBudget(clock: Clock, rowsPerSecond: number, burst: number): RowBudget {
    let tokens = burst;
    let filledAt = clock.now();
    return {
        take: (wanted, min = 0) => {
            const now = clock.now();
            tokens = Math.min(burst, tokens + ((now - filledAt) * rowsPerSecond) / 1000);
            filledAt = now;
            const taken = Math.min(wanted, Math.max(Math.floor(tokens), min));
            tokens -= taken;
            return taken;
        },
    };
}
