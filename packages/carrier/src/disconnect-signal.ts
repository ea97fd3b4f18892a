/** Tells that a caller closed its connection before its answer was complete. */
import type { AbortSignalLike } from "@waxwingdale/core";

/** Stands in for an AbortSignal, which costs about a tenth of the processor time of a small request. */
export interface DisconnectSignal extends AbortSignalLike {
    abort(): void;
    /** Returns an AbortSignal that aborts with this one, for interfaces that need one. */
    toSignal(): AbortSignal;
}

/** Creates the signal of one request. */
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
            const called = listeners;
            listeners = undefined;
            called?.forEach(listener => listener());
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
