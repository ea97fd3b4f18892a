/** Follows all objects under a prefix: reads them once, then waits for changes. */
import { getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, ObjectStore, Random, StoredObject, WatchResult } from "@waxwingdale/core";
import { getBackoff } from "./backoff.js";
import { createVersionFilter } from "./version-filter.js";

export interface WatchPrefixOptions {
    store: ObjectStore;
    prefix: string;
    clock: Clock;
    random: Random;
    logger: Logger;
    /** Ends the loop. */
    signal: AbortSignal;
    /** Called with each value that is newer than all seen of its key. */
    onObject: (object: StoredObject) => void;
    /** Called when an object is gone. */
    onDeleted?: (key: string) => void;
    /**
     * Time for which one watch call waits, in milliseconds.
     * @default 10_000
     */
    waitMs?: number;
    /**
     * Time after which all objects are read again, in milliseconds. Finds changes that a lagging store left out.
     * @default 60_000
     */
    relistMs?: number;
    /**
     * Least time from one watch call to the next, in milliseconds. Bounds the calls when the store answers at once.
     * @default 100
     */
    minIntervalMs?: number;
    /**
     * Waiting time after the first failure, in milliseconds.
     * @default 200
     */
    minBackoffMs?: number;
    /**
     * Longest waiting time after a failure, in milliseconds.
     * @default 3000
     */
    maxBackoffMs?: number;
}

/** Runs until the signal aborts. A failing store is tried again after a growing waiting time. */
export async function watchPrefix(options: WatchPrefixOptions): Promise<void> {
    const { store, prefix, clock, random, logger, signal } = options;
    const backoff = { minMs: options.minBackoffMs ?? 200, maxMs: options.maxBackoffMs ?? 3000 };
    const seen = createVersionFilter();
    let position = 0;
    let failures = 0;

    const applyObject = (object: StoredObject) => {
        if (seen.acceptValue(object.key, object.version)) {
            options.onObject(object);
        }
    };

    const readAll = async () => {
        const objects = await store.list(prefix, signal);
        objects.forEach(applyObject);
        seen.takeMissing(new Set(objects.map(({ key }) => key))).forEach(key => options.onDeleted?.(key));
        position = Math.max(position, seen.highest());
    };

    const applyChanges = ({ changes }: WatchResult) => {
        for (const { key, version, value, deleted } of changes) {
            if (!deleted) {
                applyObject({ key, version, value });
            } else if (seen.acceptDeletion(key, version)) {
                options.onDeleted?.(key);
            }
        }
    };

    /** Waits for changes until all objects have to be read again. Returns whether the position had expired. */
    const follow = async (): Promise<boolean> => {
        // The jitter spreads the reads of a fleet that started together.
        const relistAt = clock.now() + (options.relistMs ?? 60_000) * (0.75 + random() / 2);
        while (!signal.aborted && clock.now() < relistAt) {
            const nextCallAt = clock.now() + (options.minIntervalMs ?? 100);
            const result = await store.watch(prefix, position, options.waitMs ?? 10_000, signal);
            position = Math.max(position, result.version);
            if (result.expired) {
                return true;
            }
            failures = 0;
            applyChanges(result);
            await clock.sleep(Math.max(0, nextCallAt - clock.now()), signal);
        }
        return false;
    };

    while (!signal.aborted) {
        let expired: boolean;
        try {
            await readAll();
            expired = await follow();
        } catch (err) {
            expired = true;
            if (!signal.aborted) {
                logger.warn("store-watch-failed", { prefix, failures, error: getErrorMessage(err) });
            }
        }
        if (expired && !signal.aborted) {
            failures++;
            await clock.sleep(getBackoff(failures, backoff, random), signal);
        }
    }
}
