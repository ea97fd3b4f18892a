/** Time measurement for the capacity benchmark. */
import { performance } from "node:perf_hooks";

/** Returns the duration of a synchronous call, in milliseconds. */
export function timeCall(run: () => void): number {
    const start = performance.now();
    run();
    return performance.now() - start;
}

export interface PauseMeasurement {
    totalMs: number;
    /** Maximum time for which the event loop was blocked. */
    maxPauseMs: number;
}

/** Runs a task and measures event loop pauses as gaps between consecutive `setImmediate` callbacks. */
export async function measurePause(task: () => Promise<unknown>): Promise<PauseMeasurement> {
    let isRunning = true;
    let maxPauseMs = 0;
    let last = performance.now();
    const recordGap = () => {
        const now = performance.now();
        maxPauseMs = Math.max(maxPauseMs, now - last);
        last = now;
        if (isRunning) {
            setImmediate(recordGap);
        }
    };
    setImmediate(recordGap);
    const start = performance.now();
    await task();
    const totalMs = performance.now() - start;
    isRunning = false;
    recordGap();
    return { totalMs, maxPauseMs: maxPauseMs };
}
