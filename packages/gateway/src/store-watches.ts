/**
 * How each prefix of the store is watched. All times follow from the bound within which the deployment wants a change of the
 * prefix to take effect everywhere, so that a longer wait in one place cannot break it.
 */
import { getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger } from "@waxwingdale/core";
import { configKey, evacuationsPrefix, serversPrefix } from "@waxwingdale/platform";
import type { WatchSettings } from "@waxwingdale/store";
import type { GatewaySettings } from "./settings.js";

/** Times of the watch of one prefix in milliseconds. */
export interface WatchTimings {
    /** Longest wait of one call. */
    waitMs: number;
    /** Age of the view from which the store is asked again beside a call that still waits. */
    refreshAfterMs: number;
    /** Time between two such calls. */
    refreshIntervalMs: number;
    /** Age of what a reader knows from which it sends its followers to the store. */
    readerMaxAgeMs: number;
    /** Time within which a change is to take effect. */
    boundMs: number;
}

export type WatchBounds = Pick<
    GatewaySettings["bounds"],
    "configApplySeconds" | "drainSeconds" | "evacuateSeconds"
>;

export interface StoreWatches {
    timings(prefix: string): WatchTimings;
    watch(prefix: string): WatchSettings;
    /** Age in milliseconds of the view of each prefix that was read. */
    ages(): ReadonlyMap<string, number>;
}

export interface StoreWatchesOptions {
    bounds: WatchBounds;
    clock: Clock;
    logger: Logger;
}

/**
 * Parts of the bound. The wait and a round trip leave the view younger than the refresh on a usual day; three refreshes fit
 * before the bound, so that the last one is in time when two connections are silent beside the one of the watch.
 */
const waitPart = 0.5;
const refreshPart = 0.65;
const refreshIntervalPart = 0.1;
const readerMaxAgePart = 0.75;
/** Longest wait in milliseconds, however wide the bound is. */
const maxWaitMs = 10_000;
/** Time in milliseconds before the first call after a failure: most failures are one closed connection. */
const minBackoffMs = 150;
/** Longest time in milliseconds between two calls to a store that is away: its return is noticed that much later. */
const maxBackoffMs = 1000;
/** Least time in milliseconds between two watch calls, since each call is charged for and many servers start together. */
const minIntervalMs = 200;

/** Creates the watches of an instance. The times of a prefix stay as they are when the settings change. */
export function createStoreWatches({ bounds, clock, logger }: StoreWatchesOptions): StoreWatches {
    const boundSeconds = new Map([
        [configKey, bounds.configApplySeconds],
        [serversPrefix, bounds.drainSeconds],
        [evacuationsPrefix, bounds.evacuateSeconds],
    ]);
    const currentAt = new Map<string, number>();

    const times = (prefix: string): WatchTimings => {
        const seconds = boundSeconds.get(prefix);
        if (seconds === undefined) {
            throw new Error(`no bound is known for the prefix ${prefix}`);
        }
        const boundMs = seconds * 1000;
        return {
            boundMs,
            waitMs: Math.min(maxWaitMs, boundMs * waitPart),
            refreshAfterMs: boundMs * refreshPart,
            refreshIntervalMs: boundMs * refreshIntervalPart,
            readerMaxAgeMs: boundMs * readerMaxAgePart,
        };
    };

    return {
        timings: times,
        watch: prefix => {
            const { waitMs, boundMs, refreshAfterMs, refreshIntervalMs } = times(prefix);
            return {
                waitMs,
                minIntervalMs,
                minBackoffMs,
                maxBackoffMs,
                refresh: { staleAfterMs: refreshAfterMs, intervalMs: refreshIntervalMs },
                onRefresh: ageMs =>
                    logger.warn("store-view-refresh", { prefix, ageMs: Math.round(ageMs), boundMs }),
                onProgress: asOf => currentAt.set(prefix, asOf),
                onUnavailable: (err, silentMs) =>
                    logger.warn("dependency-lost", {
                        dependency: "store",
                        prefix,
                        silentMs: Math.round(silentMs),
                        error: getErrorMessage(err),
                    }),
                onRecovered: awayMs =>
                    logger.info("dependency-regained", {
                        dependency: "store",
                        prefix,
                        awayMs: Math.round(awayMs),
                    }),
            };
        },
        ages: () => {
            const now = clock.now();
            return new Map([...currentAt].map(([prefix, asOf]) => [prefix, now - asOf]));
        },
    };
}
