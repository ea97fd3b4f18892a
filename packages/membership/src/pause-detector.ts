/** Notices that this process was paused, by the gap on the monotonic clock. */
import type { Clock, Timer } from "@waxwingdale/core";

const tickMs = 250;

export interface PauseDetector {
    /**
     * Checks for a pause that has just ended. Every timer callback calls this before it acts, since after a pause
     * overdue timers may run before the guard's own one.
     */
    check(): void;
    /** Number of pauses so far. A call that spans a change of it says nothing about the peer. */
    pauses(): number;
    start(): void;
    stop(): void;
}

export function createPauseDetector(
    clock: Clock,
    pauseMs: number,
    onPause: (gapMs: number) => void,
): PauseDetector {
    let lastTick = clock.now();
    let count = 0;
    let timer: Timer | undefined;

    const check = () => {
        const gapMs = clock.now() - lastTick;
        if (timer !== undefined && gapMs > tickMs + pauseMs) {
            lastTick = clock.now();
            count++;
            onPause(gapMs);
        }
    };

    const tick = () => {
        check();
        lastTick = clock.now();
        timer = clock.setTimer(tickMs, tick);
    };

    return {
        check,
        pauses: () => count,
        start: () => {
            lastTick = clock.now();
            tick();
        },
        stop: () => {
            timer?.cancel();
            timer = undefined;
        },
    };
}
