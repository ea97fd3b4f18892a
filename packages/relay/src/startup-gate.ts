/** Holds requests of callers that reach an instance while it starts: it cannot tell yet whether it can serve them. */
import { createNotifier } from "@waxwingdale/core";
import type { Clock } from "@waxwingdale/core";

export interface StartupGate {
    /** Lets all requests through, from the first time that the instance can serve. */
    open(): void;
    isOpen(): boolean;
    /** Resolves when the gate opens, or after `maxMs`. */
    wait(maxMs: number): Promise<void>;
}

/** Creates a closed gate. */
export function createStartupGate(clock: Clock): StartupGate {
    const opening = createNotifier(clock);
    let isOpen = false;
    return {
        open: () => {
            isOpen = true;
            opening.notify();
        },
        isOpen: () => isOpen,
        wait: maxMs => opening.wait(maxMs),
    };
}
