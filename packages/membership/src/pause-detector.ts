/** Detects pauses of this process from gaps on the monotonic clock. */
import type { Clock, Timer } from "@waxwingdale/core";

const tickMs = 250;

export interface PauseDetector {
    /**
     * Checks for a pause that has just ended. Callbacks call this before they act, because after a pause they may run
     * before the detector's own timer.
     */
    check(): void;
    /** Number of pauses so far. The failure of a call during which it changed says nothing about the peer. */
    pauses(): number;
    start(): void;
    stop(): void;
}

export function createPauseDetector(
    clock: Clock,
    thresholdMs: number,
    onPause: (gapMs: number) => void,
): PauseDetector {
    let lastTick = clock.now();
    let count = 0;
    let timer: Timer | undefined;

    const check = () => {
        const gapMs = clock.now() - lastTick;
        if (timer !== undefined && gapMs > tickMs + thresholdMs) {
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
