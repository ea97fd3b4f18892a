/** Lets a loop sleep until something has changed. */
import type { Clock } from "@waxwingdale/core";

export interface WakeUp {
    /** Ends the current wait. */
    wake(): void;
    /** Resolves when it is woken, after the given time in milliseconds, or when the signal is aborted. */
    wait(signal: AbortSignal, timeoutMs: number): Promise<void>;
}

export function createWakeUp(clock: Clock): WakeUp {
    let wake: () => void = () => undefined;

    return {
        wake: () => wake(),
        wait: async (signal, timeoutMs) => {
            const controller = new AbortController();
            wake = () => controller.abort();
            signal.addEventListener("abort", wake, { once: true });
            await clock.sleep(timeoutMs, controller.signal);
            signal.removeEventListener("abort", wake);
        },
    };
}
