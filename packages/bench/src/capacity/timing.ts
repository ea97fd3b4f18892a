/** Time measurement for the capacity benchmark. */
import { performance } from "node:perf_hooks";

/** Returns the duration of a call in milliseconds. */
export function timeCall(run: () => void): number {
    const start = performance.now();
    run();
    return performance.now() - start;
}

export interface PauseMeasurement {
    totalMs: number;
    /** Longest time for which nothing else could run in the process. */
    longestPauseMs: number;
}

/** Runs a task beside a loop of immediate callbacks; the longest gap in the loop is the longest pause. */
export async function measurePause(task: () => Promise<unknown>): Promise<PauseMeasurement> {
    let isRunning = true;
    let longestPauseMs = 0;
    let last = performance.now();
    const observe = () => {
        const now = performance.now();
        longestPauseMs = Math.max(longestPauseMs, now - last);
        last = now;
        if (isRunning) {
            setImmediate(observe);
        }
    };
    setImmediate(observe);
    const start = performance.now();
    await task();
    const totalMs = performance.now() - start;
    isRunning = false;
    observe();
    return { totalMs, longestPauseMs };
}
