/** Load reports that can lag behind the truth. */
import type { Clock } from "@waxwingdale/core";

export interface LoadReport {
    note(busy: number): void;
    /** Returns the number of busy slots `lagMs` ago. */
    read(lagMs: number): number;
}

/** Time in milliseconds for which old values are kept. */
const historyMs = 30_000;

/** Creates the report of one server. */
export function createLoadReport(clock: Clock): LoadReport {
    let history: { at: number; busy: number }[] = [{ at: clock.now(), busy: 0 }];
    return {
        note: busy => {
            const now = clock.now();
            history.push({ at: now, busy });
            if (history.length > 10_000) {
                history = history.filter(item => now - item.at < historyMs);
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
