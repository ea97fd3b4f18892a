/**
 * Owner of one shard. Operations are queued; a single task applies all queued operations to the records and commits the
 * changes in one write, so that at most one write to a shard is in progress.
 */
import { ClaimState, getErrorMessage } from "@waxwingdale/core";
import type { ClaimResult, Clock, Logger, Random } from "@waxwingdale/core";
import { NotShardOwnerError, ShardUnavailableError } from "./claim-errors.js";
import type { AttemptOutcome, AttemptRef, BeginMessage } from "./claim-messages.js";
import { RecordState } from "./claim-record.js";
import type { ClaimRecord } from "./claim-record.js";
import { retentionMarginMs } from "./shard-storage.js";
import type { OwnedShard, ShardStorage } from "./shard-storage.js";
import type { WriteBudget } from "./write-budget.js";

/** Operations are rejected when the queue is full. */
const maxQueuedOperations = 5000;
/** Memory limit for the records of one shard. New claims are rejected above it, as records must not be evicted. */
export const maxShardBytes = 16 * 1024 * 1024;
/** Maximum size of the outcomes in one commit. */
const maxBatchBytes = 256 * 1024;
/** Limit for remembered attempts whose release arrived before their claim. */
const maxEarlyReleases = 1000;
/** Maximum clock skew between two entries. */
const clockSkewMs = 5000;
const minBackoffMs = 250;
const maxBackoffMs = 8000;
/** A shard owned for longer than this was not lost through contention between entries, so the backoff starts over. */
const stableOwnershipMs = 30_000;
/** Minimum interval between two reads of the head to verify the ownership. */
const verifyIntervalMs = 50;
/** How long new claims are rejected without an attempt to write, after a write has failed. */
const storeBackoffMs = 250;

export interface ShardOwnerOptions {
    shard: number;
    storage: ShardStorage;
    clock: Clock;
    random: Random;
    logger: Logger;
    budget: WriteBudget;
    retentionMs: () => number;
    /** Whether the records of all shards of this entry have reached the memory limit. */
    isMemoryFull: () => boolean;
}

export interface ShardOwnerState {
    shard: number;
    held: boolean;
    epoch: number | undefined;
    records: number;
    recordBytes: number;
    archives: number;
    queued: number;
    inDoubt: boolean;
}

/** Asynchronous methods reject with `NotShardOwnerError` or `ShardUnavailableError`. */
export interface ShardOwner {
    /** Commits a claim, or returns the recorded state of the key. */
    begin(msg: BeginMessage): Promise<ClaimResult>;
    /** Resolves when the outcome of an attempt has been stored. */
    finish(msg: AttemptOutcome): Promise<void>;
    find(keyHash: string): Promise<ClaimResult>;
    /** Estimated size of the records in memory. */
    getRecordBytes(): number;
    /** Returns the record of a key from memory, without reading the store. */
    peek(keyHash: string): ClaimRecord | undefined;
    /** Drops the shard's records once the queue is empty. Called when the view assigns the shard to another entry. */
    release(): void;
    state(): ShardOwnerState;
    close(): void;
}

type Changes = Map<string, ClaimRecord>;

interface Operation {
    id: string;
    apply(changes: Changes): ClaimResult;
    promise: Promise<ClaimResult>;
    resolve(result: ClaimResult): void;
    reject(err: Error): void;
    /** Size of the outcome that the operation may store, or undefined if it never writes. */
    bytes: number | undefined;
}

export function createShardOwner(options: ShardOwnerOptions): ShardOwner {
    const { shard, storage, clock, random, logger, budget } = options;
    const operations = new Map<string, Operation>();
    const earlyReleases = new Set<string>();
    let queue: Operation[] = [];
    let owned: OwnedShard | undefined;
    let ownedSince = 0;
    let isProcessing = false;
    let isReleased = false;
    let isClosed = false;
    let inDoubt = false;
    let newOwnerId: string | undefined;
    let backoffUntil = -Infinity;
    let backoffMs = minBackoffMs;
    let rejectUntil = -Infinity;
    let pendingVerification: Promise<boolean> | undefined;
    let verifiedAt = -Infinity;

    const getRecord = (keyHash: string, changes?: Changes): ClaimRecord | undefined => {
        const rec = changes?.get(keyHash) ?? owned?.records.get(keyHash);
        const isExpired =
            rec !== undefined && rec.changedAt + options.retentionMs() + retentionMarginMs < clock.wallTime();
        return isExpired ? undefined : rec;
    };

    const rejectAll = (batch: Operation[], err: Error) => {
        for (const op of batch) {
            operations.delete(op.id);
            op.reject(err);
        }
    };

    const drainQueue = () => {
        const batch = queue;
        queue = [];
        return batch;
    };

    const handleOwnershipLoss = (err: NotShardOwnerError) => {
        if (owned === undefined && clock.now() < backoffUntil) {
            return;
        }
        const wasStable = owned !== undefined && clock.now() - ownedSince > stableOwnershipMs;
        backoffMs = wasStable ? minBackoffMs : Math.min(2 * backoffMs, maxBackoffMs);
        backoffUntil = clock.now() + backoffMs * (0.5 + random());
        newOwnerId = err.ownerId;
        owned = undefined;
        logger.warn("claims-shard-lost", { shard, to: err.ownerId, waitMs: Math.round(backoffMs) });
    };

    const handleFailure = (err: unknown, batch: Operation[]) => {
        if (err instanceof NotShardOwnerError) {
            handleOwnershipLoss(err);
            rejectAll([...batch, ...drainQueue()], err);
            return;
        }
        rejectUntil = clock.now() + storeBackoffMs;
        logger.warn("claims-commit-failed", { shard, error: getErrorMessage(err) });
        const rejection = new ShardUnavailableError(false, `shard ${shard} cannot be written`, {
            cause: err,
        });
        rejectAll(batch, err instanceof ShardUnavailableError ? err : rejection);
        rejectAll(drainQueue(), rejection);
    };

    const takeBatch = () => {
        let bytes = 0;
        let count = 0;
        while (count < queue.length && (count === 0 || bytes + (queue[count]!.bytes ?? 0) <= maxBatchBytes)) {
            bytes += queue[count]!.bytes ?? 0;
            count++;
        }
        return queue.splice(0, count);
    };

    /** Rejects operations while it is unknown whether the current write took effect. */
    const rejectInDoubt = (batch: Operation[]) => {
        inDoubt = true;
        rejectAll(
            batch,
            new ShardUnavailableError(true, `the outcome of a write to shard ${shard} is unknown`),
        );
        rejectAll(
            drainQueue(),
            new ShardUnavailableError(false, `the outcome of a write to shard ${shard} is unknown`),
        );
    };

    const commitBatch = async () => {
        owned ??= await takeOver();
        if (queue.some(op => op.bytes !== undefined)) {
            await budget.acquire();
        }
        const current = owned as OwnedShard | undefined;
        if (current === undefined) {
            // A check of the stored head found another owner meanwhile. Without records, any claim would be granted.
            throw new NotShardOwnerError(newOwnerId, `shard ${shard} was taken over by another entry`);
        }
        const batch = takeBatch();
        const changes: Changes = new Map();
        const results = batch.map(op => op.apply(changes));
        try {
            if (changes.size > 0) {
                await storage.commit(current, changes, () => rejectInDoubt(batch));
            } else {
                await requireOwnership();
            }
        } catch (err) {
            handleFailure(err, batch);
            return;
        }
        for (const [index, op] of batch.entries()) {
            operations.delete(op.id);
            op.resolve(results[index]!);
        }
    };

    /**
     * Checks that this entry still owns the shard. Returns false if the store cannot be read. Checks within one
     * interval share a read that starts after all of them, so that many repeats of running requests cause few reads.
     */
    const verifyOwnership = (): Promise<boolean> => {
        pendingVerification ??= readStoredOwner();
        return pendingVerification;
    };

    const readStoredOwner = async (): Promise<boolean> => {
        await clock.sleep(Math.max(0, verifiedAt + verifyIntervalMs - clock.now()));
        pendingVerification = undefined;
        verifiedAt = clock.now();
        const checked = owned;
        if (checked === undefined) {
            return false;
        }
        try {
            await storage.verify(checked);
            return true;
        } catch (err) {
            if (!(err instanceof NotShardOwnerError)) {
                return false;
            }
            if (owned === checked) {
                handleOwnershipLoss(err);
            }
            throw err;
        }
    };

    /**
     * Replaces the conditional write for a batch that changes nothing. Without this check, a former owner would
     * acknowledge the outcome of an attempt that is missing from its records.
     */
    const requireOwnership = async () => {
        if (!(await verifyOwnership())) {
            throw new ShardUnavailableError(false, `the ownership of shard ${shard} cannot be verified`);
        }
    };

    const takeOver = async () => {
        const taken = await storage.takeOver(() => rejectInDoubt([]));
        ownedSince = clock.now();
        return taken;
    };

    const processQueue = async () => {
        isProcessing = true;
        while (queue.length > 0 && !isClosed) {
            try {
                await commitBatch();
            } catch (err) {
                handleFailure(err, []);
            }
            inDoubt = false;
        }
        isProcessing = false;
        if (isReleased) {
            owned = undefined;
        }
    };

    const enqueue = (
        id: string,
        bytes: number | undefined,
        apply: Operation["apply"],
    ): Promise<ClaimResult> => {
        const existing = operations.get(id);
        if (existing !== undefined) {
            return existing.promise;
        }
        checkAvailable();
        let resolve!: Operation["resolve"];
        let reject!: Operation["reject"];
        const promise = new Promise<ClaimResult>((onResolve, onReject) => {
            resolve = onResolve;
            reject = onReject;
        });
        const op = { id, apply, promise, resolve, reject, bytes };
        operations.set(id, op);
        queue.push(op);
        isReleased = false;
        if (!isProcessing) {
            void processQueue();
        }
        return promise;
    };

    const checkAvailable = () => {
        if (isClosed || inDoubt || clock.now() < rejectUntil || queue.length >= maxQueuedOperations) {
            throw new ShardUnavailableError(false, `shard ${shard} cannot be written at the moment`);
        }
        if (owned === undefined && clock.now() < backoffUntil) {
            throw new NotShardOwnerError(
                newOwnerId,
                `shard ${shard} was just taken over by ${newOwnerId ?? "another entry"}`,
            );
        }
    };

    const checkNewClaim = (msg: BeginMessage) => {
        if (msg.expiresAt + clockSkewMs < clock.wallTime() || earlyReleases.has(msg.attemptId)) {
            throw new ShardUnavailableError(false, `attempt ${msg.attemptId} has already ended`);
        }
        if (options.isMemoryFull() || (owned !== undefined && owned.recordBytes > maxShardBytes)) {
            throw new ShardUnavailableError(
                false,
                "the memory limit for claims is reached; reduce retentionSeconds",
            );
        }
    };

    const applyBegin = (msg: BeginMessage, changes: Changes): ClaimResult => {
        const rec = getRecord(msg.keyHash, changes);
        if (rec !== undefined && rec.state !== RecordState.Released) {
            return toAttemptResult(msg, rec);
        }
        if (rec?.attemptId === msg.attemptId || earlyReleases.has(msg.attemptId)) {
            return { state: ClaimState.Absent };
        }
        changes.set(msg.keyHash, createRecord(msg, RecordState.Running, clock.wallTime()));
        return { state: ClaimState.Granted };
    };

    const applyFinish = (msg: AttemptOutcome, changes: Changes): ClaimResult => {
        const rec = getRecord(msg.keyHash, changes);
        const done = { state: ClaimState.Absent };
        if (rec === undefined && msg.end.kind === "not-run") {
            recordEarlyRelease(msg.attemptId);
            return done;
        }
        if (rec !== undefined && rec.attemptId !== msg.attemptId) {
            if (msg.end.kind === "not-run") {
                recordEarlyRelease(msg.attemptId);
            } else {
                logger.error("claims-end-of-other-attempt", {
                    shard,
                    attempt: msg.attemptId,
                    kind: msg.end.kind,
                });
            }
            return done;
        }
        // Only "ran" adds information to "unknown". A release may be based on a response that the entry sent before the
        // record became unknown, and would then allow the request to run again.
        const isFinal = rec?.state === RecordState.Finished || rec?.state === RecordState.Released;
        if (isFinal || (rec?.state === RecordState.Unknown && msg.end.kind !== "ran")) {
            return done;
        }
        const state = {
            "not-run": RecordState.Released,
            unknown: RecordState.Unknown,
            ran: RecordState.Finished,
        };
        const next = createRecord(msg, state[msg.end.kind], clock.wallTime());
        if (msg.end.kind === "ran") {
            next.response = msg.end.response;
        }
        changes.set(msg.keyHash, next);
        return done;
    };

    const recordEarlyRelease = (attemptId: string) => {
        earlyReleases.add(attemptId);
        if (earlyReleases.size > maxEarlyReleases) {
            earlyReleases.delete(earlyReleases.values().next().value!);
        }
    };

    return {
        begin: async msg => {
            let rec = getRecord(msg.keyHash);
            // A finished record never changes; any other may be out of date.
            if (
                rec !== undefined &&
                rec.state !== RecordState.Released &&
                rec.state !== RecordState.Finished
            ) {
                await verifyOwnership();
                rec = getRecord(msg.keyHash);
            }
            if (rec === undefined || rec.state === RecordState.Released) {
                checkNewClaim(msg);
                return enqueue(`begin ${msg.attemptId}`, 0, changes => applyBegin(msg, changes));
            }
            return toAttemptResult(msg, rec);
        },
        finish: async msg => {
            const bytes = msg.end.kind === "ran" ? (msg.end.response.body?.length ?? 0) : 0;
            await enqueue(`finish ${msg.attemptId} ${msg.end.kind}`, bytes, changes =>
                applyFinish(msg, changes),
            );
        },
        find: async keyHash => {
            const recorded = toClaimResult(getRecord(keyHash));
            if (recorded.state === ClaimState.Finished) {
                return recorded;
            }
            return enqueue(`find ${keyHash}`, undefined, changes =>
                toClaimResult(getRecord(keyHash, changes)),
            );
        },
        getRecordBytes: () => owned?.recordBytes ?? 0,
        peek: keyHash => getRecord(keyHash),
        release: () => {
            isReleased = true;
            if (!isProcessing) {
                owned = undefined;
            }
        },
        state: () => ({
            shard,
            held: owned !== undefined,
            epoch: owned?.epoch,
            records: owned?.records.size ?? 0,
            recordBytes: owned?.recordBytes ?? 0,
            archives: owned?.archives.length ?? 0,
            queued: queue.length,
            inDoubt,
        }),
        close: () => {
            isClosed = true;
            storage.close();
            rejectAll([...operations.values()], new ShardUnavailableError(true, `shard ${shard} was closed`));
            queue = [];
        },
    };
}

function createRecord(ref: AttemptRef, state: RecordState, changedAt: number): ClaimRecord {
    const { keyHash, requestHash, attemptId, entryId, incarnation, session, expiresAt } = ref;
    return { keyHash, requestHash, attemptId, entryId, incarnation, session, changedAt, expiresAt, state };
}

function toClaimResult(rec: ClaimRecord | undefined): ClaimResult {
    switch (rec?.state) {
        case RecordState.Running:
            return { state: ClaimState.Running };
        case RecordState.Finished:
            return { state: ClaimState.Finished, response: rec.response };
        case RecordState.Unknown:
            return { state: ClaimState.Unknown };
        case RecordState.Released:
        case undefined:
            return { state: ClaimState.Absent };
    }
}

/** Returns the result for an attempt whose key has a record. */
function toAttemptResult(msg: BeginMessage, rec: ClaimRecord): ClaimResult {
    if (rec.requestHash !== msg.requestHash) {
        return { state: ClaimState.KeyReused };
    }
    if (rec.state === RecordState.Running && rec.attemptId === msg.attemptId) {
        return { state: ClaimState.Granted };
    }
    return toClaimResult(rec);
}
