/**
 * Keeps what this instance knows of requests that crash servers in the store, for the time after all instances have ended at
 * once. Each instance writes one object after changes, at a bounded rate, and reads those of all when it starts.
 */
import { StoreConflictError, getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, ObjectStore, Random, StoredObject } from "@waxwingdale/core";
import { crashSuspectsPrefix } from "@waxwingdale/platform";
import type { CrashReport, CrashSuspects } from "@waxwingdale/relay";
import { createOwnObject, getBackoff } from "@waxwingdale/store";
import * as v from "valibot";
import { createArchiveChanges } from "./archive-changes.js";
import { crashReportSchema } from "./crash-report-schema.js";

export interface CrashArchiveOptions {
    instanceId: string;
    suspects: CrashSuspects;
    store: ObjectStore;
    clock: Clock;
    random: Random;
    logger: Logger;
    /** Number of instances that write to the store. */
    countInstances: () => number;
}

export interface CrashArchive {
    /** Reads what the instances have kept, then writes changes until the signal is aborted. */
    run(signal: AbortSignal): Promise<void>;
    /** Must be called with reports of peers, so that a suspicion that ended elsewhere ends in this instance's object. */
    recordMerged(reports: readonly CrashReport[]): void;
}

/** Time in milliseconds in which the changes of one moment are collected. */
const collectMs = 10;
/** Interval in milliseconds between two writes, and for each instance, so that all together keep to a rate. */
const minIntervalMs = 500;
const intervalMsPerInstance = 25;
/** Backoff in milliseconds while the store does not respond, or rejects. */
const backoff = { minMs: 200, maxMs: 30_000 };
/**
 * Reports in the objects of all instances together, which an instance reads when it starts, and in one object at most and at
 * least: those with the most crashes, then the latest.
 */
const maxReportsOfAll = 2048;
const maxReports = 256;
const minReports = 4;
/** Objects without any report that still counts which an instance deletes when it starts. */
const maxDeletions = 8;
const ownPrefix = `${crashSuspectsPrefix}of-`;
/** Time in milliseconds after which a report of one crash, or of none, is worth nothing after a restart of all instances. */
const freshMs = 600_000;
/** The same for other reports: longer than any rejection lasts. */
const lifetimeMs = 25 * 3_600_000;

/** What an object holds. Times of reports are relative to `writtenAt`, a Unix time in milliseconds. */
const archiveSchema = v.object({
    writtenAt: v.pipe(v.number(), v.finite()),
    reports: v.array(crashReportSchema),
});

export type StoredReports = v.InferOutput<typeof archiveSchema>;

/** Creates the value of an object. */
export function encodeReports(clock: Clock, reports: readonly CrashReport[]): StoredReports {
    return { writtenAt: Math.round(clock.wallTime()), reports: [...reports] };
}

/** Returns the reports of an object as of now; undefined if it is malformed. A clock that was set back makes none younger. */
export function decodeReports(clock: Clock, { value }: StoredObject): CrashReport[] | undefined {
    const parsed = v.safeParse(archiveSchema, value);
    if (!parsed.success) {
        return undefined;
    }
    const { writtenAt, reports } = parsed.output;
    const sinceMs = Math.max(0, Math.round(clock.wallTime() - writtenAt));
    return reports.map(({ ageMs, crashAgeMs = ageMs, ...report }) => ({
        ...report,
        ageMs: ageMs + sinceMs,
        crashAgeMs: crashAgeMs + sinceMs,
    }));
}

export function createCrashArchive(options: CrashArchiveOptions): CrashArchive {
    const { suspects, store, clock, logger } = options;
    const key = `${ownPrefix}${options.instanceId}`;
    const changes = createArchiveChanges(clock, options.countInstances);
    /** Fingerprints in this instance's object, with their epochs. */
    const kept = new Map<string, number>();
    const ownObject = createOwnObject(store, key);

    suspects.onAnyChange(report => changes.record(report));
    suspects.onChange(({ fingerprint }) => changes.recordUrgent(fingerprint));

    const isKept = ({ crashes, ageMs }: CrashReport) => ageMs < (crashes > 1 ? lifetimeMs : freshMs);

    const collectReports = (): CrashReport[] => {
        const fingerprints = new Set([...kept.keys(), ...changes.take()]);
        const reports = [...fingerprints].map(fingerprint => suspects.report(fingerprint)).filter(isKept);
        reports.sort((a, b) => b.crashes - a.crashes || a.ageMs - b.ageMs);
        reports.length = Math.min(reports.length, getReportLimit(options.countInstances()));
        kept.clear();
        reports.forEach(({ fingerprint, epoch }) => kept.set(fingerprint, epoch));
        return reports;
    };

    const write = () => ownObject.write(encodeReports(clock, collectReports()));

    const applyObject = async (
        object: StoredObject,
        listEra: number | undefined,
        deletions: { left: number },
    ) => {
        const reports = decodeReports(clock, object);
        if (reports === undefined) {
            logger.warn("crash-archive-rejected", { key: object.key });
            return;
        }
        reports.forEach(report => suspects.merge(report));
        if (object.key === key) {
            ownObject.adopt(object.version, listEra);
            reports.forEach(({ fingerprint, epoch }) => kept.set(fingerprint, epoch));
        } else if (!reports.some(isKept) && deletions.left > 0) {
            deletions.left -= 1;
            await store.delete(object.key, object.version, undefined, listEra).catch((err: unknown) => {
                logger.debug("crash-archive-not-deleted", { key: object.key, error: getErrorMessage(err) });
            });
        }
    };

    const load = async (signal: AbortSignal) => {
        const { objects, era: listEra } = await store.listWithVersion(crashSuspectsPrefix, signal);
        ownObject.adopt(0, listEra);
        const deletions = { left: maxDeletions };
        for (const object of objects) {
            await applyObject(object, listEra, deletions);
        }
        logger.info("crash-archive-read", { objects: objects.length, suspects: suspects.rejected().length });
    };

    /** Repeats a call until it succeeds. */
    const persist = async (run: () => Promise<void>, signal: AbortSignal) => {
        for (let failures = 1; !signal.aborted; failures++) {
            try {
                await run();
                return;
            } catch (err) {
                logger.warn("crash-archive-unavailable", { failures, error: getErrorMessage(err) });
                const isConflict = err instanceof StoreConflictError;
                await clock.sleep(isConflict ? 0 : getBackoff(failures, backoff, options.random), signal);
            }
        }
    };

    return {
        recordMerged: reports => {
            reports
                .filter(({ fingerprint, epoch }) => epoch > (kept.get(fingerprint) ?? Infinity))
                .forEach(({ fingerprint }) => changes.recordUrgent(fingerprint));
        },
        run: async signal => {
            const stopListening = store.onEraChange(() =>
                kept.forEach((_, fingerprint) => changes.recordUrgent(fingerprint)),
            );
            await persist(() => load(signal), signal);
            while (!signal.aborted) {
                await changes.waitUntilDue(signal);
                await clock.sleep(collectMs, signal);
                await persist(write, signal);
                const intervalMs = Math.max(minIntervalMs, intervalMsPerInstance * options.countInstances());
                await clock.sleep(intervalMs - collectMs, signal);
            }
            stopListening();
        },
    };
}

function getReportLimit(instances: number): number {
    const share = Math.floor(maxReportsOfAll / Math.max(1, instances));
    return Math.max(minReports, Math.min(maxReports, share));
}
