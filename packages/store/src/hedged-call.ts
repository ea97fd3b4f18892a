/** Hedged call: sends further calls while there is no response yet, and uses the first result. */
import { StoreUnavailableError } from "@waxwingdale/core";
import type { Clock, Timer } from "@waxwingdale/core";

export interface HedgedCallOptions<Result> {
    clock: Clock;
    /** Cancels all calls. */
    signal: AbortSignal;
    /** Makes the first call. */
    first: (signal: AbortSignal) => Promise<Result>;
    /** Makes a further call. */
    hedge: (signal: AbortSignal) => Promise<Result>;
    /** Returns the clock time at which to make the next call, or Infinity for none. Evaluated after each call. */
    dueAt: () => number;
    /** Calls `listener` when the result of `dueAt` has changed. Returns a function that removes the listener. */
    onDueChanged?: ((listener: () => void) => () => void) | undefined;
}

/**
 * Returns the first result and cancels the other calls.
 * @throws StoreUnavailableError as soon as the calls are canceled, also if one of them cannot be interrupted
 * @throws the error of the last call to fail, if all calls made so far have failed
 */
export async function callHedged<Result>(options: HedgedCallOptions<Result>): Promise<Result> {
    const { clock, first, hedge, dueAt } = options;
    const controller = new AbortController();
    const abort = () => controller.abort();
    options.signal.addEventListener("abort", abort, { once: true });
    if (options.signal.aborted) {
        abort();
    }
    let timer: Timer | undefined;
    let removeListener: (() => void) | undefined;
    try {
        return await new Promise<Result>((resolve, reject) => {
            let pending = 0;
            controller.signal.addEventListener("abort", () =>
                reject(new StoreUnavailableError("the calls to the store were canceled")),
            );
            const send = (call: HedgedCallOptions<Result>["first"]) => {
                pending += 1;
                call(controller.signal).then(resolve, (err: Error) => {
                    pending -= 1;
                    if (pending === 0) {
                        reject(err);
                    }
                });
                scheduleHedge();
            };
            const scheduleHedge = () => {
                timer?.cancel();
                const due = dueAt();
                timer = due === Infinity ? undefined : clock.setTimer(due - clock.now(), () => send(hedge));
            };
            removeListener = options.onDueChanged?.(scheduleHedge);
            send(first);
        });
    } finally {
        timer?.cancel();
        removeListener?.();
        options.signal.removeEventListener("abort", abort);
        abort();
    }
}
