/** Measures how late the event loop is, and lets code wait until the events that are already pending were handled. */
import type { Clock } from "./clock.js";

export interface EventLoopMonitor {
    /** Must be called by a timer at the interval of the monitor. */
    tick(): void;
    /**
     * Returns an upper bound in milliseconds of the time for which the event that is being handled may have been
     * pending, or 0 if the event loop is on time.
     */
    pendingMs(): number;
    /**
     * Calls back once the events that are pending now have been handled: immediately if the event loop is on time, so
     * that this is free in normal operation, otherwise at the end of the next turn.
     * @param isLate Whether the caller knows of events that have been pending for long.
     */
    afterPending(callback: () => void, isLate?: boolean): void;
}

/** Number of intervals without a tick, counted from the last tick but one, from which the event loop counts as late. */
const lateIntervals = 2.5;

/**
 * Creates a monitor.
 * @param intervalMs Interval of the calls to `tick` in milliseconds. Shorter delays are not recognized.
 */
export function createEventLoopMonitor(clock: Clock, intervalMs: number): EventLoopMonitor {
    let lastTick = clock.now();
    // An event that arrives while a turn of the loop takes long is handled in the next turn, after its timers.
    let previousTick = lastTick;
    const pendingMs = () => {
        const sincePreviousTick = clock.now() - previousTick;
        return sincePreviousTick > lateIntervals * intervalMs ? sincePreviousTick : 0;
    };

    return {
        tick: () => {
            previousTick = lastTick;
            lastTick = clock.now();
        },
        pendingMs,
        afterPending: (callback, isLate = false) => {
            if (!isLate && pendingMs() === 0) {
                callback();
                return;
            }
            // The first one runs at the end of the current turn, whose events may not all have been polled yet.
            setImmediate(() => setImmediate(callback));
        },
    };
}
