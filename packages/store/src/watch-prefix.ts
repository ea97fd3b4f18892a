/** Watches all objects under a prefix: lists them once, then waits for changes. */
import { StoreUnavailableError, getErrorMessage } from "@waxwingdale/core";
import type {
    Clock,
    Logger,
    ObjectList,
    ObjectStore,
    Random,
    StoredObject,
    WatchResult,
} from "@waxwingdale/core";
import { getBackoff } from "./backoff.js";
import type { RefreshOptions } from "./refresh-schedule.js";
import { createVersionFilter } from "./version-filter.js";
import { createViewCalls } from "./view-calls.js";

export interface WatchPrefixOptions {
    store: ObjectStore;
    prefix: string;
    clock: Clock;
    random: Random;
    logger: Logger;
    /** Stops the watch. */
    signal: AbortSignal;
    /** Called with each value that is newer than all previous ones for its key. */
    onObject: (object: StoredObject) => void;
    /** Called when an object was deleted. */
    onDeleted?: (key: string) => void;
    /**
     * Maximum wait of a watch call in milliseconds.
     * @default 10_000
     */
    waitMs?: number;
    /**
     * Time between lists in milliseconds. A list finds changes that a lagging store left out of a watch.
     * @default 60_000
     */
    relistMs?: number;
    /**
     * Minimum time between watch calls in milliseconds. Limits the call rate if the store responds immediately.
     * @default 100
     */
    minIntervalMs?: number;
    /**
     * Set if lists of this store are always current, so that a single list without an object proves its deletion. If
     * many objects are missing after the store was unavailable, a second list has to confirm it after this many
     * milliseconds: the owners of the objects may not have reached the store either, and need time to write them again.
     * Without this option, a deletion always needs two lists.
     *
     * Once the store has come back from an older copy, no missing object is removed for this time, regardless of its share.
     */
    removalGraceMs?: number;
    /**
     * The same time if the watch reports that many objects were deleted, and the store was not unavailable.
     * @default removalGraceMs
     */
    massRemovalGraceMs?: number;
    /**
     * Set if an object that was deleted, and that an older copy of the store has again, is not reported during
     * `removalGraceMs`, unless it is written again or a large share of all objects is in the same state.
     */
    holdsReappearing?: boolean;
    /** When to hedge a pending call because the view is stale. Without it, calls are not hedged. */
    refresh?: RefreshOptions;
    /** Called when a hedged call is sent, with the age of the view in milliseconds. */
    onRefresh?: (ageMs: number) => void;
    /** Called after each response, with the clock time up to which the view is complete. */
    onProgress?: (asOf: number) => void;
    /** Called after each complete list. */
    onListed?: () => void;
    /** Called once when the store becomes unavailable, with the time in milliseconds since its last response. */
    onUnavailable?: (error: unknown, silentMs: number) => void;
    /** Called when the store responds again, with the duration of the outage in milliseconds. */
    onRecovered?: (awayMs: number) => void;
    /**
     * Delay after the first failure, in milliseconds.
     * @default 200
     */
    minBackoffMs?: number;
    /**
     * Maximum delay after a failure, in milliseconds.
     * @default 3000
     */
    maxBackoffMs?: number;
}

/** Timing and status callbacks of a watch. */
export type WatchSettings = Pick<
    WatchPrefixOptions,
    | "waitMs"
    | "minIntervalMs"
    | "minBackoffMs"
    | "maxBackoffMs"
    | "refresh"
    | "onRefresh"
    | "onProgress"
    | "onUnavailable"
    | "onRecovered"
>;

/** Fraction of a retry delay for which a peer may wait for changes. The rest is left for its response. */
const peerWaitFraction = 0.5;
/** Removing at least this many objects, and more than this fraction of all, requires confirmation by a list. */
const massRemovalCount = 3;
const massRemovalFraction = 0.34;

/** Runs until the signal aborts. Retries a failing store with exponential backoff. */
export async function watchPrefix(options: WatchPrefixOptions): Promise<void> {
    const { store, prefix, clock, random, logger, signal } = options;
    const backoff = { minMs: options.minBackoffMs ?? 200, maxMs: options.maxBackoffMs ?? 3000 };
    const waitMs = options.waitMs ?? 10_000;
    const minIntervalMs = options.minIntervalMs ?? 100;
    const seen = createVersionFilter();
    let position = 0;
    let failures = 0;
    let hasListed = false;
    /** Whether the store has failed since the view was last known to be complete. */
    let wasUnavailable = false;
    let unavailableSince: number | undefined;
    /** Time in milliseconds after which another list confirms deletions. */
    let confirmAfterMs = options.removalGraceMs;
    let lastResponseAt = clock.now();
    /** Clock time at which the next list is due. */
    let nextListAt = 0;
    /** Era of the store that the view and its position belong to. */
    let viewEra: number | undefined;
    /** Clock time until which no missing object is removed: the store has come back from an older copy. */
    let graceUntil = -Infinity;
    /** Aborted when the watch is stopped, and when the store has come back from an older copy. */
    let scope = new AbortController();
    const endScope = () => scope.abort();
    const { refresh, onRefresh } = options;
    const calls = createViewCalls({
        store,
        prefix,
        clock,
        getSignal: () => scope.signal,
        refresh,
        onRefresh,
    });

    const applyObject = (object: StoredObject) => {
        if (seen.acceptValue(object.key, object.version)) {
            options.onObject(object);
        }
    };

    const recordResponse = () => {
        lastResponseAt = clock.now();
        options.onProgress?.(calls.getAsOf());
        if (unavailableSince !== undefined) {
            options.onRecovered?.(clock.now() - unavailableSince);
            unavailableSince = undefined;
        }
    };

    const markUnavailable = () => {
        wasUnavailable = true;
        confirmAfterMs = options.removalGraceMs;
    };

    const recordFailure = (err: unknown) => {
        if (unavailableSince === undefined) {
            options.onUnavailable?.(err, clock.now() - lastResponseAt);
            unavailableSince = clock.now();
        }
        markUnavailable();
    };

    /** Returns the maximum wait of the next watch in milliseconds: it ends when the view is `waitMs` old. */
    const nextWaitMs = () =>
        refresh === undefined
            ? waitMs
            : Math.max(0, Math.min(waitMs, calls.getAsOf() + waitMs - clock.now()));

    /** Owners that cannot reach the store lose their objects together, and write them again once they can. */
    const isLargeShare = (removed: number) => removed > seen.size() * massRemovalFraction;

    /** Returns whether another list has to confirm that the objects missing from the last one are deleted. */
    const isConfirming = () => options.removalGraceMs !== undefined && seen.hasUnconfirmed();

    /** Whether the view is not complete beyond the grace time after the store's return from an older copy. */
    const isInGrace = () => calls.getAsOf() < graceUntil;

    /** Voids the versions of the previous era. What is known stays until the store has something newer. */
    const startEra = (era: number | undefined) => {
        viewEra = era;
        if (!hasListed) {
            return;
        }
        seen.startEra();
        position = 0;
        markUnavailable();
        graceUntil = clock.now() + (options.removalGraceMs ?? -Infinity);
    };

    /** Returns the objects of a list that are not reported yet: an older copy has them again. */
    const findHeld = (objects: readonly StoredObject[]): Set<string> => {
        if (options.holdsReappearing !== true || !isInGrace()) {
            return new Set();
        }
        const reappearing = objects.filter(({ key }) => seen.wasDeletedBefore(key));
        const isLarge = reappearing.length > objects.length * massRemovalFraction;
        const isMass = isLarge && reappearing.length >= massRemovalCount;
        return new Set(isMass ? [] : reappearing.map(({ key }) => key));
    };

    const removeMissing = (listed: ReadonlySet<string>): string[] => {
        if (isInGrace()) {
            seen.keepMissing(listed);
            return [];
        }
        const mayReappear = wasUnavailable && isLargeShare(seen.countMissing(listed));
        const isTrusted = options.removalGraceMs !== undefined && !mayReappear;
        return isTrusted ? seen.removeMissing(listed) : seen.removeMissingTwice(listed);
    };

    /** Returns the time in milliseconds until the next list. Jitter spreads those of instances that started together. */
    const getRelistMs = (): number => {
        if (isInGrace()) {
            return graceUntil - clock.now();
        }
        return isConfirming() ? confirmAfterMs! : (options.relistMs ?? 60_000) * (0.75 + random() / 2);
    };

    const applyList = ({ objects, version }: ObjectList) => {
        const held = findHeld(objects);
        objects.filter(({ key }) => !held.has(key)).forEach(applyObject);
        removeMissing(new Set(objects.map(({ key }) => key))).forEach(key => options.onDeleted?.(key));
        position = Math.max(position, version, seen.highestVersion());
        nextListAt = clock.now() + getRelistMs();
        hasListed = true;
        options.onListed?.();
    };

    const isMassRemoval = ({ changes }: WatchResult) => {
        const removed = changes.filter(({ deleted }) => deleted).length;
        return options.removalGraceMs !== undefined && removed >= massRemovalCount && isLargeShare(removed);
    };

    /** Applies changes. Returns whether a new list is required. */
    const applyChanges = (result: WatchResult): boolean => {
        if (isMassRemoval(result)) {
            logger.warn("store-mass-removal", { prefix, changes: result.changes.length });
            if (!wasUnavailable) {
                wasUnavailable = true;
                confirmAfterMs = options.massRemovalGraceMs ?? options.removalGraceMs;
            }
            return true;
        }
        for (const { key, version, value, deleted } of result.changes) {
            if (!deleted) {
                applyObject({ key, version, value });
            } else if (seen.acceptDeletion(key, version)) {
                options.onDeleted?.(key);
            }
        }
        return false;
    };

    /** Watches for changes until a new list is required. Returns whether the position has expired. */
    const watchChanges = async (): Promise<boolean> => {
        while (!scope.signal.aborted && clock.now() < nextListAt) {
            const nextCallAt = clock.now() + minIntervalMs;
            const maxWaitMs = isConfirming() || isInGrace() ? nextListAt - clock.now() : Infinity;
            const result = await calls.changes(position, Math.min(nextWaitMs(), maxWaitMs), viewEra);
            recordResponse();
            if ("list" in result) {
                applyList(result.list);
                continue;
            }
            const { changes } = result;
            position = Math.max(position, changes.version);
            if (changes.expired) {
                return true;
            }
            failures = 0;
            if (applyChanges(changes)) {
                return false;
            }
            wasUnavailable &&= isConfirming();
            await clock.sleep(Math.max(0, nextCallAt - clock.now()), scope.signal);
        }
        return false;
    };

    /** Applies changes from a peer, within `timeoutMs`. Returns whether a peer had a result. */
    const applyPeerChanges = async (timeoutMs: number): Promise<boolean> => {
        // A stalled call to a peer must not delay the next call to the store. Its late response is ignored.
        const changes = await Promise.race([
            store.watchPeers(prefix, position, timeoutMs * peerWaitFraction),
            clock.sleep(timeoutMs, scope.signal),
        ]);
        if (!changes || scope.signal.aborted || changes.era !== viewEra) {
            return false;
        }
        calls.advanceAsOf(changes.asOf ?? -Infinity);
        options.onProgress?.(calls.getAsOf());
        position = Math.max(position, changes.version);
        applyChanges(changes);
        return true;
    };

    /** Waits before the store is retried. Gets changes from peers meanwhile. */
    const waitForRetry = async () => {
        const endAt = clock.now() + getBackoff(failures, backoff, random);
        let canUsePeers = hasListed;
        while (canUsePeers && clock.now() < endAt) {
            canUsePeers = await applyPeerChanges(endAt - clock.now());
            await clock.sleep(Math.min(minIntervalMs, Math.max(0, endAt - clock.now())), scope.signal);
        }
        await clock.sleep(Math.max(0, endAt - clock.now()), scope.signal);
    };

    const listAll = async () => {
        const list = await calls.list();
        if (list.era !== store.era()) {
            throw new StoreUnavailableError("the list is of an earlier era of the store");
        }
        recordResponse();
        if (list.era !== viewEra) {
            startEra(list.era);
        }
        applyList(list);
    };

    /** Lists the objects, then watches them. Returns whether to wait before the next attempt. */
    const followStore = async (): Promise<boolean> => {
        scope = new AbortController();
        try {
            await listAll();
            return await watchChanges();
        } catch (err) {
            if (scope.signal.aborted) {
                return false;
            }
            recordFailure(err);
            logger.warn("store-watch-failed", { prefix, failures, error: getErrorMessage(err) });
            return true;
        }
    };

    const stopListening = store.onEraChange(endScope);
    signal.addEventListener("abort", endScope, { once: true });
    while (!signal.aborted) {
        if (await followStore()) {
            failures++;
            await waitForRetry();
        }
    }
    stopListening();
}
