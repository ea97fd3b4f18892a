/** Times and log lines that all watches of the store share. */
import { getErrorMessage } from "@waxwingdale/core";
import type { Logger } from "@waxwingdale/core";

/** Time in milliseconds before the first call after a failure: most failures are one closed connection. */
const minBackoffMs = 150;
/** Longest time in milliseconds between two calls to a store that is away: its return is noticed that much later. */
const maxBackoffMs = 1000;
/** Least time in milliseconds between two watch calls, since each call is charged for and many servers start together. */
const minIntervalMs = 200;

/** Returns the options of the watch of one prefix. */
export function watchTimes(logger: Logger, prefix: string, waitMs: number) {
    return {
        waitMs,
        minIntervalMs,
        minBackoffMs,
        maxBackoffMs,
        onLost: (err: unknown, silentMs: number) =>
            logger.warn("dependency-lost", {
                dependency: "store",
                prefix,
                silentMs: Math.round(silentMs),
                error: getErrorMessage(err),
            }),
        onRegained: (awayMs: number) =>
            logger.info("dependency-regained", { dependency: "store", prefix, awayMs: Math.round(awayMs) }),
    };
}
