/** Timers of members that are declared dead unless they prove to be alive in time. */
import type { Clock, Member, Timer } from "@waxwingdale/core";
import type { PauseDetector } from "./pause-detector.js";

export interface Suspicions {
    /** Starts the timer of a row. Replaces the timer for an earlier row of the same member. */
    watch(row: Member, waitMs: number): void;
    isWatched(id: string): boolean;
    cancel(id: string): void;
    cancelAll(): void;
    /** Restarts all timers with the full suspicion time. */
    restartAll(): void;
}

export interface SuspicionOptions {
    clock: Clock;
    pauseDetector: PauseDetector;
    suspicionMs: number;
    /** Whether this member may declare one dead that it suspects since a clock time. If not, the timer is restarted. */
    mayDeclareDead: (suspectedAt: number) => boolean;
    onExpired: (row: Member) => void;
}

export function createSuspicions(options: SuspicionOptions): Suspicions {
    const { clock, pauseDetector, suspicionMs } = options;
    const watched = new Map<string, { row: Member; timer: Timer }>();

    const cancel = (id: string) => {
        watched.get(id)?.timer.cancel();
        watched.delete(id);
    };

    const expire = (row: Member, since: number) => {
        const before = pauseDetector.pauses();
        pauseDetector.check();
        if (pauseDetector.pauses() !== before || !options.mayDeclareDead(since)) {
            watch(row, suspicionMs);
            return;
        }
        watched.delete(row.id);
        options.onExpired(row);
    };

    const watch = (row: Member, waitMs: number) => {
        cancel(row.id);
        const since = clock.now();
        watched.set(row.id, { row, timer: clock.setTimer(waitMs, () => expire(row, since)) });
    };

    return {
        watch,
        isWatched: id => watched.has(id),
        cancel,
        cancelAll: () => [...watched.keys()].forEach(cancel),
        restartAll: () => [...watched.values()].forEach(({ row }) => watch(row, suspicionMs)),
    };
}
