/** Token bucket for the rows that an entry sends. */
import type { Clock } from "@waxwingdale/core";

export interface RowBudget {
    /** Takes up to `wanted` rows and returns their number, at least `floor` (or `wanted` when that is less). */
    take(wanted: number, floor?: number): number;
}

export function createRowBudget(clock: Clock, rowsPerSecond: number, burst: number): RowBudget {
    let tokens = burst;
    let filledAt = clock.now();
    return {
        take: (wanted, floor = 0) => {
            const now = clock.now();
            tokens = Math.min(burst, tokens + ((now - filledAt) * rowsPerSecond) / 1000);
            filledAt = now;
            const taken = Math.min(wanted, Math.max(Math.floor(tokens), floor));
            tokens -= taken;
            return taken;
        },
    };
}
