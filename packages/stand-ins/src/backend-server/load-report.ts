/** Load reports that can lag behind the truth. */
import type { Clock } from "@waxwingdale/core";

export interface LoadReport {
    note(busy: number): void;
    /** Returns the number of busy slots `lagMs` ago. */
    read(lagMs: number): number;
}

/** Time in milliseconds for which old values are kept. */
const historyMs = 30_000;
/** Number of old values below which none is dropped. */
const minTrimLength = 10_000;

/** Creates the report of one server. */
export function createLoadReport(clock: Clock): LoadReport {
    let history: { at: number; busy: number }[] = [{ at: clock.now(), busy: 0 }];
    let trimLength = minTrimLength;
    return {
        note: busy => {
            const now = clock.now();
            history.push({ at: now, busy });
            if (history.length > trimLength) {
                history = history.filter(item => now - item.at < historyMs);
                // Doubling spreads the cost of a copy over as many notes, however many fall into the kept time.
                trimLength = Math.max(minTrimLength, history.length * 2);
            }
        },
        read: lagMs => {
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
