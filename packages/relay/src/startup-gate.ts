/** Holds requests that arrive during startup, before the instance knows whether it can serve them. */
import { createNotifier } from "@waxwingdale/core";
import type { Clock } from "@waxwingdale/core";

export interface StartupGate {
    /** Lets all requests through; called once the instance is first able to serve. */
    open(): void;
    isOpen(): boolean;
    /** Resolves when the gate opens, or after `maxMs`. */
    wait(maxMs: number): Promise<void>;
}

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
