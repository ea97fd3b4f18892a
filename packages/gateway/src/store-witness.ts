/**
 * Lets instances find each other, and learn who misses them, through the store. Each instance writes one object: its address,
 * and the instances that it could not reach lately. Objects are read only by an instance that has no contact with any other.
 */
import { StoreConflictError, getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, Member, ObjectStore, Random, StoredObject } from "@waxwingdale/core";
import type { Witness } from "@waxwingdale/membership";
import { instancesPrefix } from "@waxwingdale/platform";
import { createOwnObject, getBackoff } from "@waxwingdale/store";
import * as v from "valibot";
import { createWakeUp } from "./wake-up.js";

export interface StoreWitness extends Witness {
    /**
     * Returns the peer addresses of the other instances in the store, the latest first, once this instance is there itself. Of
     * two instances that call it at the same time, at least one finds the other.
     * @throws StoreUnavailableError
     */
    findPeers(): Promise<string[]>;
    /** Announces this instance, and writes its reports until the signal is aborted. */
    run(signal: AbortSignal): Promise<void>;
}

export interface StoreWitnessOptions {
    self: Pick<Member, "id" | "peerAddress">;
    store: ObjectStore;
    clock: Clock;
    random: Random;
    logger: Logger;
}

/** Time in milliseconds after which an instance announces itself, with as much again at random: none waits for it. */
const announceDelayMs = 4000;
/** Minimum time in milliseconds between two writes. */
const minIntervalMs = 1000;
/** Time in milliseconds in which the reports of one moment are collected. */
const collectMs = 20;
/** Time in milliseconds for which a report stays in the object, longer than a cut lasts, and most reports in it. */
const reportMs = 600_000;
const maxReports = 256;
/** Longest time in milliseconds for which a loop waits for a change at once. */
const maxWaitMs = 60_000;
const backoff = { minMs: 200, maxMs: 5000 };

const instanceSchema = v.object({
    peerAddress: v.string(),
    /** Ids of members and the incarnations at which they could not be reached. */
    missing: v.array(v.tuple([v.string(), v.number()])),
});

type InstanceObject = v.InferOutput<typeof instanceSchema>;

interface Report {
    incarnation: number;
    reportedAt: number;
}

export function createStoreWitness(options: StoreWitnessOptions): StoreWitness {
    const { self, store, clock, logger } = options;
    const key = `${instancesPrefix}${self.id}`;
    const missing = new Map<string, Report>();
    const ownObject = createOwnObject(store, key);
    let isWritten = false;
    let isChanged = false;
    const wakeUp = createWakeUp(clock);

    const encode = (): InstanceObject => ({
        peerAddress: self.peerAddress,
        missing: [...missing].map(([id, { incarnation }]) => [id, incarnation]),
    });

    const write = async (): Promise<void> => {
        isChanged = false;
        try {
            await ownObject.write(encode());
            isWritten = true;
        } catch (err) {
            isChanged = true;
            throw err;
        }
    };

    /** Repeats a write once after a conflict, which tells the version to expect. */
    const writeTwice = async (): Promise<void> => {
        try {
            await write();
        } catch (err) {
            if (!(err instanceof StoreConflictError)) {
                throw err;
            }
            await write();
        }
    };

    const markChanged = () => {
        isChanged = true;
        wakeUp.wake();
    };

    const removeExpired = () => {
        const before = clock.now() - reportMs;
        missing.forEach(({ reportedAt }, id) => {
            if (reportedAt < before) {
                missing.delete(id);
            }
        });
    };

    const listOthers = async (): Promise<InstanceObject[]> => {
        const { objects } = await store.listWithVersion(instancesPrefix);
        return objects
            .filter(object => object.key !== key)
            .sort((a, b) => b.version - a.version)
            .map(decodeInstance)
            .filter(instance => instance !== undefined);
    };

    const waitForChange = async (signal: AbortSignal) => {
        while (!isChanged && !signal.aborted) {
            await wakeUp.wait(signal, maxWaitMs);
        }
    };

    const writeChanges = async (signal: AbortSignal) => {
        for (let failures = 1; isChanged && !signal.aborted; failures++) {
            try {
                await writeTwice();
            } catch (err) {
                logger.warn("instance-report-failed", { failures, error: getErrorMessage(err) });
                await clock.sleep(getBackoff(failures, backoff, options.random), signal);
            }
        }
    };

    return {
        reportMissing: members => {
            removeExpired();
            const news = members.filter(
                ({ id, incarnation }) => missing.get(id)?.incarnation !== incarnation,
            );
            for (const { id, incarnation } of news.slice(0, maxReports - missing.size)) {
                missing.set(id, { incarnation, reportedAt: clock.now() });
            }
            if (news.length > 0) {
                markChanged();
            }
        },
        withdrawReports: () => {
            if (missing.size > 0) {
                missing.clear();
                markChanged();
            }
        },
        isMissed: async incarnation => {
            const others = await listOthers();
            return others.some(other =>
                other.missing.some(([id, missedAt]) => id === self.id && missedAt >= incarnation),
            );
        },
        findPeers: async () => {
            if (!isWritten) {
                await writeTwice();
            }
            return (await listOthers()).map(({ peerAddress }) => peerAddress);
        },
        run: async signal => {
            if (!isChanged) {
                await wakeUp.wait(signal, announceDelayMs * (1 + options.random()));
            }
            isChanged ||= !isWritten;
            while (!signal.aborted) {
                await writeChanges(signal);
                await clock.sleep(minIntervalMs, signal);
                await waitForChange(signal);
                await clock.sleep(collectMs, signal);
            }
        },
    };
}

/** Returns undefined for an object of another writer or release. */
function decodeInstance({ value }: StoredObject): InstanceObject | undefined {
    const parsed = v.safeParse(instanceSchema, value);
    return parsed.success ? parsed.output : undefined;
}
