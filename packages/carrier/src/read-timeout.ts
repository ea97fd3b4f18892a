/** Timeout for reading a body, with one timer for all of its chunks. */

export interface ReadTimeout {
    /** Settles like `promise`, or rejects if the timeout expires first. */
    race<T>(promise: Promise<T>): Promise<T>;
    stop(): void;
}

/**
 * Starts a timeout. A timer per chunk would leave thousands of timers behind during a fast upload.
 * @param restarts whether each read restarts the timeout; otherwise it covers all reads together
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
