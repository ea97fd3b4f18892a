/** Recent history of a server's load, for load reports with an injected delay. */
import type { Clock } from "@waxwingdale/core";

export interface LoadHistory {
    /** Records the number of slots that are busy from now on. */
    record(busy: number): void;
    /** Returns the number of slots that were busy `lagMs` ago. */
    getBusySlots(lagMs: number): number;
}

/** Milliseconds for which values are retained. */
const retentionMs = 30_000;
/** Number of values up to which the history is not trimmed. */
const minTrimLength = 10_000;

/** Creates the load history of one server. */
export function createLoadHistory(clock: Clock): LoadHistory {
    let history: { at: number; busy: number }[] = [{ at: clock.now(), busy: 0 }];
    let trimLength = minTrimLength;
    return {
        record: busy => {
            const now = clock.now();
            history.push({ at: now, busy });
            if (history.length > trimLength) {
                history = history.filter(item => now - item.at < retentionMs);
                // Doubling keeps the amortized cost of trimming constant, however many values are retained.
                trimLength = Math.max(minTrimLength, history.length * 2);
            }
        },
        getBusySlots: lagMs => {
            const time = clock.now() - lagMs;
            for (let i = history.length - 1; i >= 0; i--) {
                if (history[i]!.at <= time) {
                    return history[i]!.busy;
                }
            }
            return 0;
        },
    };
}
