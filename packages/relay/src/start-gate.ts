/** Holds requests of callers that reach an instance while it starts: it cannot tell yet whether it can serve them. */
import type { Clock } from "@waxwingdale/core";

export interface StartGate {
    /** Lets all requests through, from the first time that the instance can serve. */
    open(): void;
    isOpen(): boolean;
    /** Resolves when the gate opens, or after `maxMs`. */
    wait(maxMs: number): Promise<void>;
}

/** Creates a closed gate. */
export function createStartGate(clock: Clock): StartGate {
    let isOpen = false;
    const waiting = new Set<() => void>();
    return {
        open: () => {
            isOpen = true;
            [...waiting].forEach(letThrough => letThrough());
        },
        isOpen: () => isOpen,
        wait: maxMs =>
            new Promise(resolve => {
                const letThrough = () => {
                    timer.cancel();
                    waiting.delete(letThrough);
                    resolve();
                };
                const timer = clock.setTimer(maxMs, letThrough);
                waiting.add(letThrough);
            }),
    };
}
