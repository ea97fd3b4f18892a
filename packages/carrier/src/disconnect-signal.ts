/** Signals that a caller closed its connection before the response was complete. */
import type { AbortSignalLike } from "@waxwingdale/core";

/** Used instead of an AbortSignal, which costs about 10% of the CPU time of a small request. */
export interface DisconnectSignal extends AbortSignalLike {
    abort(): void;
    /** Returns an AbortSignal that aborts together with this signal. */
    toSignal(): AbortSignal;
}

export function createDisconnectSignal(): DisconnectSignal {
    let aborted = false;
    let listeners: Set<() => void> | undefined;
    let controller: AbortController | undefined;
    return {
        get aborted() {
            return aborted;
        },
        addEventListener: (_type, listener) => {
            listeners ??= new Set();
            listeners.add(listener);
        },
        removeEventListener: (_type, listener) => void listeners?.delete(listener),
        abort: () => {
            if (aborted) {
                return;
            }
            aborted = true;
            controller?.abort();
            const notified = listeners;
            listeners = undefined;
            notified?.forEach(listener => listener());
        },
        toSignal: () => {
            if (controller === undefined) {
                controller = new AbortController();
                if (aborted) {
                    controller.abort();
                }
            }
            return controller.signal;
        },
    };
}
