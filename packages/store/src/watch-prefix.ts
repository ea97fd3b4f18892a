/** Follows all objects under a prefix: reads them once, then waits for changes. */
import { getErrorMessage } from "@waxwingdale/core";
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
     * Lists of this store are current. An object that a list lacks is gone at once. When many are missing after a time
     * without the store, they are gone when a second list lacks them as well, this many milliseconds later, since their
     * owners may have lost the store too and have to write them again.
     * Without it, two lists decide in any case.
     */
    removalGraceMs?: number;
    /**
     * When the store is asked again, by a further call beside the pending one, since the view grows too old. Without it, each
     * call is waited for.
     */
    refresh?: RefreshOptions;
    /** Called when a further call goes out, with the age of the view in milliseconds. */
    onRefresh?: (ageMs: number) => void;
    /** Called after each answer, with the time of the clock up to which the view is complete. */
    onProgress?: (asOf: number) => void;
    /** Called after each complete list. */
    onListed?: () => void;
    /** Called once when the store stops answering, with the time in milliseconds since its last answer. */
    onUnavailable?: (error: unknown, silentMs: number) => void;
    /** Called when the store answers again, with the time in milliseconds that it was away. */
    onRecovered?: (awayMs: number) => void;
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

/** The times of a watch and who hears of its state, apart from what is watched and who takes the objects. */
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

/** Part of a pause that a peer may wait for changes; the rest is for its answer. */
const peerWaitPart = 0.5;
/** Objects that are removed together, as a number and as a part of all, for which a list has to confirm the removal. */
const massRemovalCount = 3;
const massRemovalPart = 0.34;

/** Runs until the signal aborts. A failing store is tried again after a growing waiting time. */
export async function watchPrefix(options: WatchPrefixOptions): Promise<void> {
    const { store, prefix, clock, random, logger, signal } = options;
    const backoff = { minMs: options.minBackoffMs ?? 200, maxMs: options.maxBackoffMs ?? 3000 };
    const waitMs = options.waitMs ?? 10_000;
    const minIntervalMs = options.minIntervalMs ?? 100;
    const seen = createVersionFilter();
    let position = 0;
    let failures = 0;
    let hasRead = false;
    /** Whether the store has failed since the last complete read. */
    let wasLost = false;
    let lostAt: number | undefined;
    let lastAnswerAt = clock.now();
    /** Time of the clock at which all objects are to be read again. */
    let relistAt = 0;
    const { refresh, onRefresh } = options;
    const calls = createViewCalls({ store, prefix, clock, signal, refresh, onRefresh });

    const applyObject = (object: StoredObject) => {
        if (seen.acceptValue(object.key, object.version)) {
            options.onObject(object);
        }
    };

    const noteAnswer = () => {
        lastAnswerAt = clock.now();
        options.onProgress?.(calls.currentAt());
        if (lostAt !== undefined) {
            options.onRecovered?.(clock.now() - lostAt);
            lostAt = undefined;
        }
    };

    const noteLoss = (err: unknown) => {
        if (lostAt === undefined) {
            options.onUnavailable?.(err, clock.now() - lastAnswerAt);
            lostAt = clock.now();
        }
        wasLost = true;
    };

    /** Time in milliseconds that a watch may wait: it ends when the view is as old as the longest wait. */
    const nextWaitMs = () =>
        refresh === undefined
            ? waitMs
            : Math.max(0, Math.min(waitMs, calls.currentAt() + waitMs - clock.now()));

    /** Owners that could not reach the store lose their entries together, and write them again when it is back. */
    const isLargePart = (removed: number) => removed > seen.size() * massRemovalPart;

    /** Whether a list has lacked objects that may come back, so that another one has to decide. */
    const isConfirming = () => options.removalGraceMs !== undefined && seen.hasSuspects();

    const applyList = ({ objects, version }: ObjectList) => {
        objects.forEach(applyObject);
        const listed = new Set(objects.map(({ key }) => key));
        const mayComeBack = wasLost && isLargePart(seen.countAbsent(listed));
        const isTrusted = options.removalGraceMs !== undefined && !mayComeBack;
        const gone = isTrusted ? seen.takeAbsent(listed) : seen.takeMissing(listed);
        gone.forEach(key => options.onDeleted?.(key));
        position = Math.max(position, version, seen.highest());
        // The jitter spreads the reads of a fleet that started together.
        const usualMs = (options.relistMs ?? 60_000) * (0.75 + random() / 2);
        relistAt = clock.now() + (isConfirming() ? options.removalGraceMs! : usualMs);
        hasRead = true;
        options.onListed?.();
    };

    const isMassRemoval = ({ changes }: WatchResult) => {
        const removed = changes.filter(({ deleted }) => deleted).length;
        return options.removalGraceMs !== undefined && removed >= massRemovalCount && isLargePart(removed);
    };

    /** Applies changes. Returns whether all objects have to be read again. */
    const applyChanges = (result: WatchResult): boolean => {
        if (isMassRemoval(result)) {
            logger.warn("store-mass-removal", { prefix, changes: result.changes.length });
            wasLost = true;
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

    /** Waits for changes until all objects have to be read again. Returns whether the position had expired. */
    const follow = async (): Promise<boolean> => {
        while (!signal.aborted && clock.now() < relistAt) {
            const nextCallAt = clock.now() + minIntervalMs;
            const longestMs = isConfirming() ? relistAt - clock.now() : Infinity;
            const answer = await calls.changes(position, Math.min(nextWaitMs(), longestMs));
            noteAnswer();
            if ("list" in answer) {
                applyList(answer.list);
                continue;
            }
            const { changes } = answer;
            position = Math.max(position, changes.version);
            if (changes.expired) {
                return true;
            }
            failures = 0;
            if (applyChanges(changes)) {
                return false;
            }
            wasLost &&= isConfirming();
            await clock.sleep(Math.max(0, nextCallAt - clock.now()), signal);
        }
        return false;
    };

    /** Takes what a peer knows, within a time in milliseconds. Returns whether a peer could tell. */
    const hearPeer = async (longestMs: number): Promise<boolean> => {
        // A peer that hangs must not keep the store from being asked again; what it says afterwards is left out.
        const changes = await Promise.race([
            store.watchPeers(prefix, position, longestMs * peerWaitPart),
            clock.sleep(longestMs, signal),
        ]);
        if (!changes || signal.aborted) {
            return false;
        }
        calls.noteCurrent(changes.asOf ?? -Infinity);
        options.onProgress?.(calls.currentAt());
        position = Math.max(position, changes.version);
        applyChanges(changes);
        return true;
    };

    /** Waits before the store is asked again. Peers may know more meanwhile. */
    const pause = async () => {
        const endAt = clock.now() + getBackoff(failures, backoff, random);
        let canHear = hasRead;
        while (canHear && clock.now() < endAt) {
            canHear = await hearPeer(endAt - clock.now());
            await clock.sleep(Math.min(minIntervalMs, Math.max(0, endAt - clock.now())), signal);
        }
        await clock.sleep(Math.max(0, endAt - clock.now()), signal);
    };

    const readAll = async () => {
        const list = await calls.list();
        noteAnswer();
        applyList(list);
    };

    while (!signal.aborted) {
        let expired: boolean;
        try {
            await readAll();
            expired = await follow();
        } catch (err) {
            expired = true;
            if (!signal.aborted) {
                noteLoss(err);
                logger.warn("store-watch-failed", { prefix, failures, error: getErrorMessage(err) });
            }
        }
        if (expired && !signal.aborted) {
            failures++;
            await pause();
        }
    }
}
