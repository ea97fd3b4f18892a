/** What ran on a backend server, so that a test can check from outside that a request ran once. */

export interface RunSummary {
    started: number;
    completed: number;
    refused: number;
    crashes: number;
    /** Most requests that ran at the same time. */
    peakBusy: number;
    /** Time of the clock of the last start of a request. */
    lastStartAt: number | undefined;
    /** Starts later than the grace time after the drain began. */
    startsAfterDrain: number[];
    drainStartedAt: number | undefined;
    idleAt: number | undefined;
}

export interface RunRecord {
    summary: RunSummary;
    /** Counts a run and returns how often the key has run here. */
    countKey(key: string): number;
    keys(): Record<string, number>;
}

/** Creates an empty record. */
export function createRunRecord(): RunRecord {
    const runs = new Map<string, number>();
    return {
        summary: {
            started: 0,
            completed: 0,
            refused: 0,
            crashes: 0,
            peakBusy: 0,
            lastStartAt: undefined,
            startsAfterDrain: [],
            drainStartedAt: undefined,
            idleAt: undefined,
        },
        countKey: key => {
            const count = (runs.get(key) ?? 0) + 1;
            runs.set(key, count);
            return count;
        },
        keys: () => Object.fromEntries(runs),
    };
}
