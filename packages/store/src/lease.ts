/** Lease stored in one object: at most one holder at a time, with an epoch that increases with each acquisition. */
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
    /** Key of the lease object, such as lease/planner. */
    key: string;
    /** Id of this process. */
    holder: string;
    clock: Clock;
    random: Random;
    logger: Logger;
    /**
     * Time without a renewal after which another process may take over the lease, in milliseconds.
     * @default 6000
     */
    ttlMs?: number;
    /**
     * Time between renewals, and between checks of another holder's record, in milliseconds.
     * @default a quarter of `ttlMs`
     */
    renewMs?: number;
    /**
     * How long before `ttlMs` has elapsed the holder stops acting as one, in milliseconds. Covers clocks that run at
     * different rates, and the time between a check of `isHeld` and the action that follows it.
     * @default a fifth of `ttlMs`
     */
    safetyMarginMs?: number;
    /**
     * Whether this process should try to acquire the lease. A process that is not a candidate makes no calls to the
     * store; a process that already holds the lease keeps it.
     * @default always
     */
    isCandidate?: () => boolean;
    /**
     * Highest epoch known from other sources, such as the guarded object. Keeps epochs increasing if the lease object
     * is deleted.
     * @default 0
     */
    knownEpoch?: () => number;
}

export interface Lease {
    /** Returns whether this process may act as the holder now. */
    isHeld(): boolean;
    /** Returns the epoch of the current holding period, or undefined while the lease is not held. */
    epoch(): number | undefined;
    /** Acquires and renews the lease until the signal aborts, then releases it. */
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
    /** Distinguishes processes with the same id; empty after the holder released the lease. */
    session: v.string(),
    epoch: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
    /** Sequence number of the write within its session. */
    renewal: v.pipe(v.number(), v.safeInteger(), v.minValue(0)),
});
type LeaseRecord = v.InferOutput<typeof recordSchema>;

interface Holding {
    record: LeaseRecord;
    version: number;
    /** Time at which the last successful write was sent. */
    sentAt: number;
    /** Era of the store that has the record. */
    era: number | undefined;
}

interface Observation {
    record: LeaseRecord;
    version: number;
    /** Time at which this version was first seen, on this process's clock. */
    firstSeenAt: number;
}

const releaseTimeoutMs = 1000;

/** Creates a lease that is not held until `run` acquires it. */
export function createLease(options: LeaseOptions): Lease {
    const { store, key, holder, clock, random, logger } = options;
    const ttlMs = options.ttlMs ?? 6000;
    const renewMs = options.renewMs ?? ttlMs / 4;
    const usableMs = ttlMs - (options.safetyMarginMs ?? ttlMs / 5);
    const session = `${holder}/${Math.floor(random() * 2 ** 30)}`;
    let holding: Holding | undefined;
    let observation: Observation | undefined;
    let highestEpoch = 0;
    /** Numbers the writes, so that one read back from the store is never mistaken for a later, equal one. */
    let writeCount = 0;

    /** Era of the store at the last step. */
    let knownEra = store.era();
    /**
     * Clock time before which the lease is not acquired: the store may come back without the record of another holder, which
     * goes on until it hears of the new era or its lease ends.
     */
    let acquireFrom = -Infinity;

    const isHeld = () =>
        holding !== undefined && holding.era === store.era() && clock.now() < holding.sentAt + usableMs;

    const markLost = (reason: string) => {
        if (holding !== undefined) {
            logger.warn("lease-lost", { key, epoch: holding.record.epoch, reason });
            holding = undefined;
        }
    };

    /** Voids what is known of the lease object if the store is in another era. A first era may be a new one as well. */
    const followEra = () => {
        const era = store.era();
        if (era === knownEra) {
            return;
        }
        knownEra = era;
        markLost("the store came back from an older copy");
        observation = undefined;
        acquireFrom = clock.now() + ttlMs;
    };

    /** Records the current state of the lease object. */
    const observe = (object: StoredObject | undefined) => {
        if (object === undefined) {
            observation = undefined;
            return;
        }
        if (observation !== undefined && object.version <= observation.version) {
            return;
        }
        const parsed = v.safeParse(recordSchema, object.value);
        // Treat an unreadable record as that of an unknown holder, so that it expires like any other.
        const record = parsed.success ? parsed.output : { holder: "", session: "?", epoch: 0, renewal: 0 };
        highestEpoch = Math.max(highestEpoch, record.epoch);
        observation = { record, version: object.version, firstSeenAt: clock.now() };
    };

    const canAcquire = () => {
        if (observation === undefined) {
            return true;
        }
        const owner = observation.record.session;
        return owner === "" || owner === session || clock.now() >= observation.firstSeenAt + ttlMs;
    };

    /** Writes a record and returns whether it took effect. If the response was lost, reads the object back. */
    const writeRecord = async (
        record: LeaseRecord,
        expectedVersion: number,
        signal?: AbortSignal,
    ): Promise<boolean> => {
        const sentAt = clock.now();
        const era = store.era();
        let version: number;
        try {
            version = await store.put(key, record, expectedVersion, signal, era);
        } catch (err) {
            if (!(err instanceof StoreConflictError) && !(err instanceof StoreOutcomeUnknownError)) {
                throw err;
            }
            // The conflict may be with an earlier write of this process whose response was lost.
            const object = await store.get(key, signal);
            if (store.era() !== era) {
                followEra();
                return false;
            }
            observe(object);
            if (object === undefined || !isSameRecord(object.value, record)) {
                return false;
            }
            version = object.version;
        }
        highestEpoch = Math.max(highestEpoch, record.epoch);
        holding = { record, version, sentAt, era };
        observation = { record, version, firstSeenAt: clock.now() };
        return true;
    };

    const renew = async (current: Holding, signal: AbortSignal) => {
        const record = { ...current.record, renewal: ++writeCount };
        if (!(await writeRecord(record, current.version, signal)) && !resumeFromObservation(current.record)) {
            markLost("another process overwrote the record");
        }
    };

    /** Continues from the observed record if it belongs to this holding period, such as one from before the renewal. */
    const resumeFromObservation = ({ epoch }: LeaseRecord) => {
        const seen = observation?.record;
        if (holding === undefined || seen === undefined || seen.session !== session || seen.epoch !== epoch) {
            return false;
        }
        holding = { ...holding, record: seen, version: observation!.version };
        return true;
    };

    const tryAcquire = async (signal: AbortSignal) => {
        const object = await store.get(key, signal);
        followEra();
        observe(object);
        if (clock.now() < acquireFrom || !canAcquire()) {
            return;
        }
        const epoch = Math.max(highestEpoch, options.knownEpoch?.() ?? 0) + 1;
        const expectedVersion = observation?.version ?? 0;
        if (await writeRecord({ holder, session, epoch, renewal: ++writeCount }, expectedVersion, signal)) {
            logger.info("lease-taken", { key, epoch });
        }
    };

    const step = async (signal: AbortSignal) => {
        followEra();
        if (holding !== undefined && !isHeld()) {
            markLost("not renewed in time");
        }
        if (holding !== undefined) {
            await renew(holding, signal);
        } else if (options.isCandidate?.() ?? true) {
            await tryAcquire(signal);
        } else {
            observation = undefined;
        }
    };

    /** Releases the lease, so that another process need not wait for it to expire. */
    const release = async () => {
        if (holding === undefined || !isHeld()) {
            return;
        }
        const { record, version, era } = holding;
        holding = undefined;
        const controller = new AbortController();
        const timer = clock.setTimer(releaseTimeoutMs, () => controller.abort());
        try {
            await store.put(key, { ...record, session: "" }, version, controller.signal, era);
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
