/** Record of the requests that a backend server ran, so that a test can verify at-most-once execution. */

export interface RunSummary {
    started: number;
    completed: number;
    refused: number;
    crashes: number;
    /** Maximum number of concurrent requests. */
    peakBusy: number;
    /** Clock time at which the last request started, in milliseconds. */
    lastStartAt: number | undefined;
    /** Milliseconds between the start of the drain and each request that started after the grace period. */
    startsAfterDrain: number[];
    drainStartedAt: number | undefined;
    idleAt: number | undefined;
}

export interface RunRecord {
    summary: RunSummary;
    /** Records a run of the key and returns how often the key has run on this server. */
    recordRun(key: string): number;
    /** Returns the number of runs by key. */
    keys(): Record<string, number>;
}

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
        recordRun: key => {
            const count = (runs.get(key) ?? 0) + 1;
            runs.set(key, count);
            return count;
        },
        keys: () => Object.fromEntries(runs),
    };
}
