/** Limits the time for which a sender may stay silent, with one timer for a whole body. */

export interface ReadTimeout {
    /** Settles as `promise` does, or rejects with the error of the limit when that takes too long. */
    race<T>(promise: Promise<T>): Promise<T>;
    stop(): void;
}

/**
 * Creates a limit. A timer for each chunk would leave thousands of them behind during a fast upload.
 * @param restarts whether the time begins anew with each guarded promise, or counts for all of them together
 */
export function createReadTimeout(
    timeoutMs: number,
    restarts: boolean,
    createError: () => Error,
): ReadTimeout {
    let expired = false;
    let expire: () => void = () => undefined;
    const timer = setTimeout(() => {
        expired = true;
        expire();
    }, timeoutMs);
    return {
        race: promise =>
            new Promise((resolve, reject) => {
                if (expired) {
                    promise.catch(() => undefined);
                    reject(createError());
                    return;
                }
                expire = () => reject(createError());
                if (restarts) {
                    timer.refresh();
                }
                promise.then(resolve, reject);
            }),
        stop: () => clearTimeout(timer),
    };
}
