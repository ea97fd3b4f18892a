/** Wakes up tasks that wait for something to happen, or for a time to pass. */
import type { Clock } from "./clock.js";

export interface Notifier {
    /** Wakes up all tasks that wait now. */
    notify(): void;
    /** Resolves at the next `notify`, or after `maxMs`. */
    wait(maxMs: number): Promise<void>;
}

/** Creates a notifier for which no task waits. */
export function createNotifier(clock: Clock): Notifier {
    const waiting = new Set<() => void>();
    return {
        notify: () => [...waiting].forEach(wake => wake()),
        wait: maxMs =>
            new Promise(resolve => {
                const wake = () => {
                    timer.cancel();
                    waiting.delete(wake);
                    resolve();
                };
                const timer = clock.setTimer(maxMs, wake);
                waiting.add(wake);
            }),
    };
}
