/** Timers of the members that have a limited time to show that they live. */
import type { Clock, Member, Timer } from "@waxwingdale/core";
import type { PauseDetector } from "./pause-detector.js";

export interface Suspicions {
    /** Starts the timer of a row, in place of the one for an earlier row of this member. */
    watch(row: Member, waitMs: number): void;
    isWatched(id: string): boolean;
    cancel(id: string): void;
    cancelAll(): void;
    /** Gives every suspect the whole time again. */
    restartAll(): void;
}

export interface SuspicionOptions {
    clock: Clock;
    guard: PauseDetector;
    suspicionMs: number;
    /** Whether this entry may declare members dead. While not, timers that end start again. */
    isTrusted: () => boolean;
    onExpired: (row: Member) => void;
}

export function createSuspicions(options: SuspicionOptions): Suspicions {
    const { clock, guard, suspicionMs } = options;
    const watched = new Map<string, { row: Member; timer: Timer }>();

    const cancel = (id: string) => {
        watched.get(id)?.timer.cancel();
        watched.delete(id);
    };

    const expire = (row: Member) => {
        const before = guard.pauses();
        guard.check();
        if (guard.pauses() !== before || !options.isTrusted()) {
            watch(row, suspicionMs);
            return;
        }
        watched.delete(row.id);
        options.onExpired(row);
    };

    const watch = (row: Member, waitMs: number) => {
        cancel(row.id);
        watched.set(row.id, { row, timer: clock.setTimer(waitMs, () => expire(row)) });
    };

    return {
        watch,
        isWatched: id => watched.has(id),
        cancel,
        cancelAll: () => [...watched.keys()].forEach(cancel),
        restartAll: () => [...watched.values()].forEach(({ row }) => watch(row, suspicionMs)),
    };
}
