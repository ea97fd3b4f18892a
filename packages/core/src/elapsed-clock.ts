/** Clock that also counts the time for which the process was suspended, which the monotonic clock leaves out. */
import { uptime } from "node:os";
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
    /**
     * Time in milliseconds since the machine started, including suspensions.
     * @default the system's uptime
     */
    uptimeMs?: () => number;
    /** Called when a suspension is detected, with its estimated duration, 0 if the time of day was set back. */
    onSuspended?: (suspendedMs: number) => void;
}

/** Differences of other clocks to the monotonic clock in milliseconds. */
interface ClockOffsets {
    wall: number;
    uptime: number;
}

/** Change of the time of day, relative to the monotonic clock, that counts as a suspension. */
const wallThresholdMs = 100;
/** The same for the uptime; some systems report it in whole seconds. */
const uptimeThresholdMs = 1100;
/** Maximum duration of reading the clocks: the process may be descheduled between two of them. */
const maxReadMs = 20;
const maxReads = 5;

/**
 * Creates a clock whose `now` detects suspensions by the uptime and the time of day. A step of the time of day in
 * either direction is taken for a suspension, since it may hide or be one. Timers are those of the given clock.
 */
export function createElapsedClock(options: ElapsedClockOptions): ElapsedClock {
    const { clock, isEnabled } = options;
    const readUptime = options.uptimeMs ?? (() => uptime() * 1000);
    const listeners = new Set<() => void>();
    let known: ClockOffsets | undefined;
    let suspendedMs = 0;
    let resumedAt = -Infinity;

    /** Returns undefined if the process was descheduled in between each time. */
    const readOffsets = (): ClockOffsets | undefined => {
        for (let reads = 0; reads < maxReads; reads++) {
            const startedAt = clock.now();
            const wall = clock.wallTime();
            const up = readUptime();
            const now = clock.now();
            if (now - startedAt <= maxReadMs) {
                return { wall: wall - now, uptime: up - now };
            }
        }
        return undefined;
    };

    const detectSuspension = () => {
        const offsets = isEnabled() ? readOffsets() : undefined;
        if (offsets === undefined) {
            return;
        }
        known ??= offsets;
        const wallStepMs = offsets.wall - known.wall;
        const uptimeStepMs = offsets.uptime - known.uptime;
        if (Math.abs(wallStepMs) < wallThresholdMs && uptimeStepMs < uptimeThresholdMs) {
            return;
        }
        known = offsets;
        const stepMs = Math.max(0, wallStepMs, uptimeStepMs);
        suspendedMs += stepMs;
        resumedAt = clock.now() + suspendedMs;
        options.onSuspended?.(stepMs);
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
