/** Lease in one store object: at most one holder at a time, with an epoch that grows with each holding period. */
import {
    StoreConflictError,
    StoreOutcomeUnknownError,
    WaxwingdaleError,
    getErrorMessage,
} from "@waxwingdale/core";
import type { Clock, Logger, ObjectStore, Random, StoredObject } from "@waxwingdale/core";
import * as v from "valibot";

export interface LeaseOptions {
    store: ObjectStore;
    /** Key of the lease's object, such as lease/planner. */
    key: string;
    /** Id of this process. */
    holder: string;
    clock: Clock;
    random: Random;
    logger: Logger;
    /**
     * Time without a renewal after which another process may take the lease over, in milliseconds.
     * @default 6000
     */
    ttlMs?: number;
    /**
     * Time from one renewal to the next, and from one look at another holder's record to the next, in milliseconds.
     * @default a quarter of `ttlMs`
     */
    renewMs?: number;
    /**
     * Time by which the holder gives up before `ttlMs` is over, in milliseconds. Covers clocks of different speed and
     * the time from a check of `isHeld` to the action that follows it.
     * @default a fifth of `ttlMs`
     */
    safetyMarginMs?: number;
    /**
     * Whether this process should try to get the lease. One that should not makes no calls to the store; a holder keeps
     * the lease in any case.
     * @default always
     */
    isCandidate?: () => boolean;
    /**
     * Highest epoch known from other sources, such as the guarded object. Keeps epochs growing after the lease's object
     * was deleted.
     * @default 0
     */
    knownEpoch?: () => number;
}

export interface Lease {
    /** Returns whether this process may act as the holder now. */
    isHeld(): boolean;
    /** Epoch of the current holding period; undefined while the lease is not held. */
    epoch(): number | undefined;
    /** Gets and renews the lease until the signal aborts, then gives it back. */
    run(signal: AbortSignal): Promise<void>;
}

/** The lease is not held, or a later holder has written the guarded object. */
export class LeaseLostError extends WaxwingdaleError {
    constructor(message: string) {
        super("LeaseLostError", message);
    }
}

const recordSchema = v.object({
    holder: v.string(),
    /** Tells apart two processes with the same id; empty after the holder gave the lease back. */
    session: v.string(),
    epoch: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
    /** Number of the write within its session. */
    renewal: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
});
type LeaseRecord = v.InferOutput<typeof recordSchema>;

interface Holding {
    record: LeaseRecord;
    version: number;
    /** Time at which the last renewal that took effect was sent. */
    sentAt: number;
}

interface Observation {
    record: LeaseRecord;
    version: number;
    /** Time at which this version was first seen, by this process's clock. */
    firstSeenAt: number;
}

/** Time in milliseconds that giving the lease back may take. */
const releaseTimeoutMs = 1000;

/** Creates a lease that is not held; `run` tries to get it. */
export function createLease(options: LeaseOptions): Lease {
    const { store, key, holder, clock, random, logger } = options;
    const ttlMs = options.ttlMs ?? 6000;
    const renewMs = options.renewMs ?? ttlMs / 4;
    const usableMs = ttlMs - (options.safetyMarginMs ?? ttlMs / 5);
    const session = `${holder}/${Math.floor(random() * 2 ** 30)}`;
    let holding: Holding | undefined;
    let observation: Observation | undefined;
    let highestEpoch = 0;
    /** Numbers each write, so that a write found in the store is never taken for a later one with the same content. */
    let writes = 0;

    const isHeld = () => holding !== undefined && clock.now() < holding.sentAt + usableMs;

    const lose = (reason: string) => {
        if (holding !== undefined) {
            logger.warn("lease-lost", { key, epoch: holding.record.epoch, reason });
            holding = undefined;
        }
    };

    /** Notes what the store holds now. */
    const observe = (object: StoredObject | undefined) => {
        if (object === undefined) {
            observation = undefined;
            return;
        }
        if (observation !== undefined && object.version <= observation.version) {
            return;
        }
        const parsed = v.safeParse(recordSchema, object.value);
        // An unreadable record is treated as one of an unknown holder, so that it expires like any other.
        const record = parsed.success ? parsed.output : { holder: "", session: "?", epoch: 0, renewal: 0 };
        highestEpoch = Math.max(highestEpoch, record.epoch);
        observation = { record, version: object.version, firstSeenAt: clock.now() };
    };

    const mayTakeOver = () => {
        if (observation === undefined) {
            return true;
        }
        const owner = observation.record.session;
        return owner === "" || owner === session || clock.now() >= observation.firstSeenAt + ttlMs;
    };

    /** Writes a record. Returns whether it took effect; a lost answer is resolved by reading the object back. */
    const writeRecord = async (
        record: LeaseRecord,
        expectedVersion: number,
        signal?: AbortSignal,
    ): Promise<boolean> => {
        const sentAt = clock.now();
        let version: number;
        try {
            version = await store.put(key, record, expectedVersion, signal);
        } catch (err) {
            if (!(err instanceof StoreConflictError) && !(err instanceof StoreOutcomeUnknownError)) {
                throw err;
            }
            // A conflict can be with this process's own earlier write whose answer was lost.
            const object = await store.get(key, signal);
            observe(object);
            if (object === undefined || !isSameRecord(object.value, record)) {
                return false;
            }
            version = object.version;
        }
        highestEpoch = Math.max(highestEpoch, record.epoch);
        holding = { record, version, sentAt };
        observation = { record, version, firstSeenAt: clock.now() };
        return true;
    };

    const renew = async (current: Holding, signal: AbortSignal) => {
        const record = { ...current.record, renewal: ++writes };
        if (!(await writeRecord(record, current.version, signal)) && !ownsObserved(current.record)) {
            lose("another process has written the record");
        }
    };

    /** Returns whether the store still holds a record of this holding period, such as before a renewal took effect. */
    const ownsObserved = ({ epoch }: LeaseRecord) => {
        const seen = observation?.record;
        if (seen === undefined || seen.session !== session || seen.epoch !== epoch) {
            return false;
        }
        holding = holding && { ...holding, record: seen, version: observation!.version };
        return true;
    };

    const tryToTake = async (signal: AbortSignal) => {
        observe(await store.get(key, signal));
        if (!mayTakeOver()) {
            return;
        }
        const epoch = Math.max(highestEpoch, options.knownEpoch?.() ?? 0) + 1;
        const expectedVersion = observation?.version ?? 0;
        if (await writeRecord({ holder, session, epoch, renewal: ++writes }, expectedVersion, signal)) {
            logger.info("lease-taken", { key, epoch });
        }
    };

    const step = async (signal: AbortSignal) => {
        if (holding !== undefined && !isHeld()) {
            lose("not renewed in time");
        }
        if (holding !== undefined) {
            await renew(holding, signal);
        } else if (options.isCandidate?.() ?? true) {
            await tryToTake(signal);
        } else {
            observation = undefined;
        }
    };

    /** Gives the lease back, so that another process need not wait for its expiry. */
    const release = async () => {
        if (holding === undefined || !isHeld()) {
            return;
        }
        const { record, version } = holding;
        holding = undefined;
        const controller = new AbortController();
        const timer = clock.setTimer(releaseTimeoutMs, () => controller.abort());
        try {
            await store.put(key, { ...record, session: "" }, version, controller.signal);
            logger.info("lease-released", { key, epoch: record.epoch });
        } catch (err) {
            logger.warn("lease-release-failed", { key, error: getErrorMessage(err) });
        } finally {
            timer.cancel();
        }
    };

    return {
        isHeld,
        epoch: () => (isHeld() ? holding?.record.epoch : undefined),
        run: async signal => {
            while (!signal.aborted) {
                try {
                    await step(signal);
                } catch (err) {
                    if (!signal.aborted) {
                        logger.warn("lease-step-failed", { key, error: getErrorMessage(err) });
                    }
                }
                await clock.sleep(renewMs * (0.9 + random() / 5), signal);
            }
            await release();
        },
    };
}

function isSameRecord(value: unknown, record: LeaseRecord): boolean {
    const parsed = v.safeParse(recordSchema, value);
    return (
        parsed.success &&
        parsed.output.session === record.session &&
        parsed.output.epoch === record.epoch &&
        parsed.output.renewal === record.renewal
    );
}
