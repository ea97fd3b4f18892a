/**
 * Settings for watching the prefixes of the store. All timings are derived from the bound within which a change to the
 * prefix has to take effect on all instances, so that no individual wait can exceed it.
 */
import { getErrorMessage } from "@waxwingdale/core";
import type { ElapsedClock, Logger } from "@waxwingdale/core";
import { configKey, evacuationsPrefix, serversPrefix } from "@waxwingdale/platform";
import type { WatchSettings } from "@waxwingdale/store";
import type { GatewaySettings } from "./settings.js";

/** Timings of the watch of one prefix in milliseconds. */
export interface WatchTimings {
    /** Maximum wait of one watch call. */
    waitMs: number;
    /** Age of the view at which the store is also polled while a watch call is still pending. */
    refreshAfterMs: number;
    /** Interval between these polls. */
    refreshIntervalMs: number;
    /** Age of its view from which a reader refers its followers to the store. */
    readerMaxAgeMs: number;
    /** Time within which a change has to take effect. */
    boundMs: number;
}

export type WatchBounds = Pick<
    GatewaySettings["bounds"],
    "configApplySeconds" | "drainSeconds" | "evacuateSeconds" | "revokeSeconds"
>;

export interface StoreWatches {
    timings(prefix: string): WatchTimings;
    watch(prefix: string): WatchSettings;
    /** Age in milliseconds of the view of each prefix that has been read. */
    ages(): ReadonlyMap<string, number>;
    /** Returns the clock time up to which the view of a prefix is complete, or undefined before it has been read. */
    asOf(prefix: string): number | undefined;
    /** Records that the view of a prefix is complete up to the clock time `asOf`. */
    advance(prefix: string, asOf: number): void;
}

export interface StoreWatchesOptions {
    bounds: WatchBounds;
    clock: ElapsedClock;
    logger: Logger;
}

/**
 * Maximum bound of the configuration as a fraction of `revokeSeconds`, so that a view that is refreshed in time is not
 * too old for keyed requests.
 */
const revokeFraction = 0.8;
/**
 * Fractions of the bound. In normal operation, the wait and a round trip end before a refresh is due. Three refreshes
 * fit before the bound, so the last one is in time even if two connections have stalled besides that of the watch.
 */
const waitFraction = 0.5;
const refreshFraction = 0.65;
const refreshIntervalFraction = 0.1;
const readerMaxAgeFraction = 0.75;
/** Maximum wait in milliseconds, regardless of the bound. */
const maxWaitMs = 10_000;
/** Delay in milliseconds before the first retry; short, since most failures are a single closed connection. */
const minBackoffMs = 150;
/** Maximum backoff in milliseconds; the recovery of the store may be detected that much later. */
const maxBackoffMs = 1000;
/** Minimum interval in milliseconds between watch calls, since each is billed and many servers start together. */
const minIntervalMs = 200;

/** Creates the watches of an instance. Later changes to the settings do not affect the timings. */
export function createStoreWatches({ bounds, clock, logger }: StoreWatchesOptions): StoreWatches {
    const boundSeconds = new Map([
        [configKey, Math.min(bounds.configApplySeconds, (bounds.revokeSeconds ?? Infinity) * revokeFraction)],
        [serversPrefix, bounds.drainSeconds],
        [evacuationsPrefix, bounds.evacuateSeconds],
    ]);
    const asOfByPrefix = new Map<string, number>();

    const advance = (prefix: string, asOf: number) => {
        asOfByPrefix.set(prefix, Math.max(asOf, asOfByPrefix.get(prefix) ?? -Infinity));
    };

    const timings = (prefix: string): WatchTimings => {
        const seconds = boundSeconds.get(prefix);
        if (seconds === undefined) {
            throw new Error(`no bound is known for the prefix ${prefix}`);
        }
        const boundMs = seconds * 1000;
        return {
            boundMs,
            waitMs: Math.min(maxWaitMs, boundMs * waitFraction),
            refreshAfterMs: boundMs * refreshFraction,
            refreshIntervalMs: boundMs * refreshIntervalFraction,
            readerMaxAgeMs: boundMs * readerMaxAgeFraction,
        };
    };

    return {
        timings,
        watch: prefix => {
            const { waitMs, boundMs, refreshAfterMs, refreshIntervalMs } = timings(prefix);
            return {
                waitMs,
                minIntervalMs,
                minBackoffMs,
                maxBackoffMs,
                refresh: {
                    staleAfterMs: refreshAfterMs,
                    intervalMs: refreshIntervalMs,
                    requiredAsOf: clock.resumedAt,
                    onRequired: clock.onResume,
                },
                onRefresh: ageMs =>
                    logger.warn("store-view-refresh", { prefix, ageMs: Math.round(ageMs), boundMs }),
                onProgress: asOf => advance(prefix, asOf),
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
        advance,
        asOf: prefix => asOfByPrefix.get(prefix),
        ages: () => {
            const now = clock.now();
            return new Map([...asOfByPrefix].map(([prefix, asOf]) => [prefix, now - asOf]));
        },
    };
}
