/** Condition variable with a timeout: wakes up waiting tasks. */
import type { Clock } from "./clock.js";

export interface Notifier {
    /** Wakes up all tasks that are currently waiting. */
    notify(): void;
    /** Resolves at the next call of `notify`, or after `maxMs`. */
    wait(maxMs: number): Promise<void>;
}

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
