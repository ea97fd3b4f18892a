/** Follows the store: the configuration, the backend servers, and the availability zones that get no requests. */
import type { BackendTable } from "@waxwingdale/balancing";
import { getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, ObjectStore, Random } from "@waxwingdale/core";
import {
    configKey,
    decodeConfig,
    decodeServer,
    evacuationsPrefix,
    nameOf,
    serversPrefix,
} from "@waxwingdale/platform";
import { watchPrefix } from "@waxwingdale/store";
import type { ConfigInForce } from "./config-in-force.js";

export interface StoreFollowersOptions {
    store: ObjectStore;
    clock: Clock;
    random: Random;
    logger: Logger;
    signal: AbortSignal;
    config: ConfigInForce;
    table: BackendTable;
}

export interface StoreFollowers {
    run(): Promise<void>;
    /** What has not been read from the store yet, or undefined. */
    missing(): string | undefined;
}

/** Longest wait of a watch for servers in milliseconds. A connection that went silent is noticed after it. */
const serversWaitMs = 2000;
/** The same for objects whose changes have a longer bound. */
const otherWaitMs = 4000;
/** Time in milliseconds after the return of the store in which servers write entries again that lapsed meanwhile. */
const lapsedEntriesMs = 2000;
const minBackoffMs = 150;
/** Longest time in milliseconds between two calls to a store that is away: its return is noticed that much later. */
const maxBackoffMs = 1000;
/** Least time in milliseconds between two watch calls, since each call is charged for and many servers start together. */
const minIntervalMs = 200;

export function createStoreFollowers(options: StoreFollowersOptions): StoreFollowers {
    const { clock, logger, config, table } = options;
    const readPrefixes = new Set<string>();
    const configPrefix = configKey.slice(0, configKey.indexOf("/") + 1);

    const follow = (
        prefix: string,
        waitMs: number,
        onObject: (name: string, value: unknown) => void,
        onDeleted: (name: string) => void,
    ) =>
        watchPrefix({
            store: options.store,
            prefix,
            clock,
            random: options.random,
            logger,
            signal: options.signal,
            waitMs,
            minIntervalMs,
            minBackoffMs,
            maxBackoffMs,
            absentGraceMs: lapsedEntriesMs,
            onObject: ({ key, value }) => onObject(nameOf(key), value),
            onDeleted: key => onDeleted(nameOf(key)),
            onListed: () => {
                if (!readPrefixes.has(prefix)) {
                    readPrefixes.add(prefix);
                    logger.info("store-read", { prefix });
                }
            },
            onLost: err =>
                logger.warn("dependency-lost", { dependency: "store", prefix, error: getErrorMessage(err) }),
            onRegained: awayMs =>
                logger.info("dependency-regained", {
                    dependency: "store",
                    prefix,
                    awayMs: Math.round(awayMs),
                }),
        });

    const applyConfig = (_name: string, value: unknown) => {
        try {
            config.apply(decodeConfig(value), "store");
        } catch (err) {
            logger.error("config-rejected", { error: getErrorMessage(err) });
        }
    };

    const applyServer = (id: string, value: unknown) => {
        const record = decodeServer(id, value);
        if (record === undefined) {
            logger.warn("server-rejected", {
                server: id,
                reason: "the entry does not have the documented shape",
            });
            table.remove(id);
            return;
        }
        table.apply(record, readPrefixes.has(serversPrefix));
    };

    const setEvacuated = (zone: string, isEvacuated: boolean) => {
        logger.info("zone-evacuation", { zone, isEvacuated });
        table.setEvacuated(zone, isEvacuated);
    };

    return {
        run: async () => {
            await Promise.all([
                follow(configPrefix, otherWaitMs, applyConfig, () => undefined),
                follow(serversPrefix, serversWaitMs, applyServer, id => table.remove(id)),
                follow(
                    evacuationsPrefix,
                    otherWaitMs,
                    zone => setEvacuated(zone, true),
                    zone => setEvacuated(zone, false),
                ),
            ]);
        },
        missing: () => {
            if (config.current() === undefined) {
                return "no configuration";
            }
            return readPrefixes.has(serversPrefix) ? undefined : "no list of backend servers";
        },
    };
}
