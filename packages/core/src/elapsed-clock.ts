/** Clock that also counts the time for which the process was suspended, which the monotonic clock leaves out. */
import type { Clock } from "./clock.js";

export interface ElapsedClock extends Clock {
    /** Returns the time at which the last suspension was detected; -Infinity if there was none. */
    resumedAt: () => number;
    /** Calls `listener` when a suspension is detected. Returns a function that removes the listener. */
    onResume: (listener: () => void) => () => void;
}

export interface ElapsedClockOptions {
    clock: Clock;
    /** Suspensions are detected only while this is true; otherwise the clock is the given one. */
    isEnabled: () => boolean;
    /** Called when a suspension is detected, with its estimated duration, 0 if the time of day was set back. */
    onSuspended?: (suspendedMs: number) => void;
}

/** Change in milliseconds of the time of day, relative to the monotonic clock, that counts as a suspension. */
const thresholdMs = 100;
/** Maximum duration in milliseconds of reading both clocks: the process may be descheduled between two of them. */
const maxReadMs = 20;
const maxReads = 5;

/**
 * Creates a clock whose `now` detects suspensions by the time of day. A step of it in either direction is taken for a
 * suspension, since it may hide or be one. Timers are those of the given clock. The uptime of the system is not used: in a
 * container it is that of the host, and reading it opens a file.
 */
export function createElapsedClock({ clock, isEnabled, onSuspended }: ElapsedClockOptions): ElapsedClock {
    const listeners = new Set<() => void>();
    /** Difference between the time of day and the monotonic clock at the last change. */
    let knownOffsetMs: number | undefined;
    let suspendedMs = 0;
    let resumedAt = -Infinity;

    /** Returns undefined if the process was descheduled in between each time. */
    const readOffset = (): number | undefined => {
        for (let reads = 0; reads < maxReads; reads++) {
            const startedAt = clock.now();
            const wallTime = clock.wallTime();
            const now = clock.now();
            if (now - startedAt <= maxReadMs) {
                return wallTime - now;
            }
        }
        return undefined;
    };

    const detectSuspension = () => {
        const offsetMs = isEnabled() ? readOffset() : undefined;
        if (offsetMs === undefined) {
            return;
        }
        knownOffsetMs ??= offsetMs;
        const stepMs = offsetMs - knownOffsetMs;
        if (Math.abs(stepMs) < thresholdMs) {
            return;
        }
        knownOffsetMs = offsetMs;
        suspendedMs += Math.max(0, stepMs);
        resumedAt = clock.now() + suspendedMs;
        onSuspended?.(Math.max(0, stepMs));
        [...listeners].forEach(listener => listener());
    };

    return {
        now: () => {
            detectSuspension();
            return clock.now() + suspendedMs;
        },
        wallTime: () => clock.wallTime(),
        setTimer: (delayMs, callback) => clock.setTimer(delayMs, callback),
        sleep: (delayMs, signal) => clock.sleep(delayMs, signal),
        resumedAt: () => resumedAt,
        onResume: listener => {
            listeners.add(listener);
            return () => void listeners.delete(listener);
        },
    };
}
