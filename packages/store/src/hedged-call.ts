/** A call beside which further calls go out while it has no answer. The first answer counts. */
import type { Clock, Timer } from "@waxwingdale/core";

export interface HedgedCallOptions<Result> {
    clock: Clock;
    /** Withdraws all calls. */
    signal: AbortSignal;
    /** Makes the first call. */
    first: (signal: AbortSignal) => Promise<Result>;
    /** Makes a further call. */
    again: (signal: AbortSignal) => Promise<Result>;
    /** Time of the clock at which the next further call is due, asked after each call; infinite for none. */
    dueAt: () => number;
}

/**
 * Returns the first result, and withdraws the other calls.
 * @throws the error of the last call when all calls that were made have failed
 */
export async function callHedged<Result>(options: HedgedCallOptions<Result>): Promise<Result> {
    const { clock, first, again, dueAt } = options;
    const controller = new AbortController();
    const withdraw = () => controller.abort();
    options.signal.addEventListener("abort", withdraw, { once: true });
    if (options.signal.aborted) {
        withdraw();
    }
    let timer: Timer | undefined;
    try {
        return await new Promise<Result>((resolve, reject) => {
            let pending = 0;
            const send = (call: HedgedCallOptions<Result>["first"]) => {
                pending += 1;
                call(controller.signal).then(resolve, (err: Error) => {
                    pending -= 1;
                    if (pending === 0) {
                        reject(err);
                    }
                });
                const due = dueAt();
                timer = due === Infinity ? undefined : clock.setTimer(due - clock.now(), () => send(again));
            };
            send(first);
        });
    } finally {
        timer?.cancel();
        options.signal.removeEventListener("abort", withdraw);
        withdraw();
    }
}
