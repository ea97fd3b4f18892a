/**
 * Owner of one shard. Operations wait in a queue; one task applies all waiting operations to the records and commits
 * the changes in one write, so that there is at most one write of a shard under way.
 */
import { ClaimState, getErrorMessage } from "@waxwingdale/core";
import type { ClaimResult, Clock, Logger, Random } from "@waxwingdale/core";
import { NotShardOwnerError, ShardUnavailableError } from "./claim-errors.js";
import type { AttemptRef, BeginMessage, AttemptOutcome } from "./claim-messages.js";
import { RecordState } from "./claim-record.js";
import type { ClaimRecord } from "./claim-record.js";
import { retentionMarginMs } from "./shard-storage.js";
import type { OwnedShard, ShardStorage } from "./shard-storage.js";
import type { WriteBudget } from "./write-budget.js";

/** Operations that wait for one shard; more are refused. */
const maxQueuedOperations = 5000;
/** Bytes of records of one shard in memory; new claims are refused above it, because a record may not be forgotten. */
export const maxShardBytes = 16 * 1024 * 1024;
/** Bytes of outcomes in one commit. */
const maxBatchBytes = 256 * 1024;
/** Attempts whose release came before their claim and that are still remembered. */
const maxDroppedAttempts = 1000;
/** Largest difference between the wall clocks of two entries. */
const clockSkewMs = 5000;
const firstBackOffMs = 250;
const maxBackOffMs = 8000;
/** A shard held for this long was not lost in a contest of two owners. */
const stableHoldMs = 30_000;
/** Shortest time between two reads of the head that check the ownership. */
const verifyIntervalMs = 50;
/** Time after a failed write for which new claims are refused without a try. */
const storeBackOffMs = 250;

export interface ShardOwnerOptions {
    shard: number;
    storage: ShardStorage;
    clock: Clock;
    random: Random;
    logger: Logger;
    budget: WriteBudget;
    retentionMs: () => number;
    /** Whether the shards of this entry together hold as many bytes as they may. */
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

/** All methods throw `NotShardOwnerError` and `ShardUnavailableError`. */
export interface ShardOwner {
    /** Commits a claim, or tells what the records say of the key. */
    begin(msg: BeginMessage): Promise<ClaimResult>;
    /** Resolves when the end of an attempt is in the store. */
    finish(msg: AttemptOutcome): Promise<void>;
    find(keyHash: string): Promise<ClaimResult>;
    /** Bytes of the records in memory. */
    getRecordBytes(): number;
    /** The current record of a key, without a look at the store. */
    peek(keyHash: string): ClaimRecord | undefined;
    /** Forgets the shard's records once its queue is empty: the view names another owner. */
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
    /** Bytes of outcome that it may add, or undefined for one that never writes. */
    bytes: number | undefined;
}

export function createShardOwner(options: ShardOwnerOptions): ShardOwner {
    const { shard, storage: log, clock, random, logger, budget } = options;
    const operations = new Map<string, Operation>();
    const droppedAttempts = new Set<string>();
    let queue: Operation[] = [];
    let held: OwnedShard | undefined;
    let heldSince = 0;
    let isRunning = false;
    let isReleased = false;
    let isClosed = false;
    let inDoubt = false;
    let lostTo: string | undefined;
    let contestUntil = -Infinity;
    let backOffMs = firstBackOffMs;
    let refuseUntil = -Infinity;
    let verifying: Promise<boolean> | undefined;
    let verifiedAt = -Infinity;

    const getRecord = (keyHash: string, changes?: Changes): ClaimRecord | undefined => {
        const rec = changes?.get(keyHash) ?? held?.records.get(keyHash);
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

    const loseShard = (err: NotShardOwnerError) => {
        if (held === undefined && clock.now() < contestUntil) {
            return;
        }
        const wasStable = held !== undefined && clock.now() - heldSince > stableHoldMs;
        backOffMs = wasStable ? firstBackOffMs : Math.min(2 * backOffMs, maxBackOffMs);
        contestUntil = clock.now() + backOffMs * (0.5 + random());
        lostTo = err.ownerId;
        held = undefined;
        logger.warn("claims-shard-lost", { shard, to: err.ownerId, waitMs: Math.round(backOffMs) });
    };

    const handleFailure = (err: unknown, batch: Operation[]) => {
        if (err instanceof NotShardOwnerError) {
            loseShard(err);
            rejectAll([...batch, ...drainQueue()], err);
            return;
        }
        refuseUntil = clock.now() + storeBackOffMs;
        logger.warn("claims-commit-failed", { shard, error: getErrorMessage(err) });
        const refused = new ShardUnavailableError(false, `shard ${shard} cannot write`, { cause: err });
        rejectAll(batch, err instanceof ShardUnavailableError ? err : refused);
        rejectAll(drainQueue(), refused);
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

    /** Runs while the store cannot say whether the write under way took effect. */
    const refuseInDoubt = (batch: Operation[]) => {
        inDoubt = true;
        rejectAll(batch, new ShardUnavailableError(true, `a write of shard ${shard} is in doubt`));
        rejectAll(drainQueue(), new ShardUnavailableError(false, `a write of shard ${shard} is in doubt`));
    };

    const commitBatch = async () => {
        held ??= await takeOver();
        if (queue.some(op => op.bytes !== undefined)) {
            await budget.acquire();
        }
        const current = held as OwnedShard | undefined;
        if (current === undefined) {
            // A check of the stored head found another owner meanwhile; applying to no records would grant anything.
            throw new NotShardOwnerError(lostTo, `shard ${shard} was lost`);
        }
        const batch = takeBatch();
        const changes: Changes = new Map();
        const results = batch.map(op => op.apply(changes));
        try {
            if (changes.size > 0) {
                await log.commit(current, changes, () => refuseInDoubt(batch));
            } else {
                await checkOwnership();
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
     * Checks that this entry still owns the shard, and returns false if the store cannot tell. Checks of one interval
     * share one read that starts after all of them, so that many repeats of running requests cost few reads.
     */
    const verify = (): Promise<boolean> => {
        verifying ??= readOwnership();
        return verifying;
    };

    const readOwnership = async (): Promise<boolean> => {
        await clock.sleep(Math.max(0, verifiedAt + verifyIntervalMs - clock.now()));
        verifying = undefined;
        verifiedAt = clock.now();
        const checked = held;
        if (checked === undefined) {
            return false;
        }
        try {
            await log.verify(checked);
            return true;
        } catch (err) {
            if (!(err instanceof NotShardOwnerError)) {
                return false;
            }
            if (held === checked) {
                loseShard(err);
            }
            throw err;
        }
    };

    /**
     * Stands in for the conditional write of a batch that changes nothing. Without it a former owner would acknowledge
     * the end of an attempt that its records do not hold.
     */
    const checkOwnership = async () => {
        if (!(await verify())) {
            throw new ShardUnavailableError(false, `the ownership of shard ${shard} cannot be checked`);
        }
    };

    const takeOver = async () => {
        const taken = await log.takeOver(() => refuseInDoubt([]));
        heldSince = clock.now();
        return taken;
    };

    const run = async () => {
        isRunning = true;
        while (queue.length > 0 && !isClosed) {
            try {
                await commitBatch();
            } catch (err) {
                handleFailure(err, []);
            }
            inDoubt = false;
        }
        isRunning = false;
        if (isReleased) {
            held = undefined;
        }
    };

    const enqueue = (
        id: string,
        bytes: number | undefined,
        apply: Operation["apply"],
    ): Promise<ClaimResult> => {
        const known = operations.get(id);
        if (known !== undefined) {
            return known.promise;
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
        if (!isRunning) {
            void run();
        }
        return promise;
    };

    const checkAvailable = () => {
        if (isClosed || inDoubt || clock.now() < refuseUntil || queue.length >= maxQueuedOperations) {
            throw new ShardUnavailableError(false, `shard ${shard} cannot write now`);
        }
        if (held === undefined && clock.now() < contestUntil) {
            throw new NotShardOwnerError(
                lostTo,
                `shard ${shard} was just taken by ${lostTo ?? "another entry"}`,
            );
        }
    };

    const checkNewClaim = (msg: BeginMessage) => {
        if (msg.expiresAt + clockSkewMs < clock.wallTime() || droppedAttempts.has(msg.attemptId)) {
            throw new ShardUnavailableError(false, `attempt ${msg.attemptId} has already ended`);
        }
        if (options.isMemoryFull() || (held !== undefined && held.recordBytes > maxShardBytes)) {
            throw new ShardUnavailableError(false, "the memory for claims is full; shorten retentionSeconds");
        }
    };

    const applyBegin = (msg: BeginMessage, changes: Changes): ClaimResult => {
        const rec = getRecord(msg.keyHash, changes);
        if (rec !== undefined && rec.state !== RecordState.Released) {
            return describeFor(msg, rec);
        }
        if (rec?.attemptId === msg.attemptId || droppedAttempts.has(msg.attemptId)) {
            return { state: ClaimState.Absent };
        }
        changes.set(msg.keyHash, createRecord(msg, RecordState.Running, clock.wallTime()));
        return { state: ClaimState.Granted };
    };

    const applyFinish = (msg: AttemptOutcome, changes: Changes): ClaimResult => {
        const rec = getRecord(msg.keyHash, changes);
        const done = { state: ClaimState.Absent };
        if (rec === undefined && msg.end.kind === "not-run") {
            rememberDropped(msg.attemptId);
            return done;
        }
        if (rec !== undefined && rec.attemptId !== msg.attemptId) {
            if (msg.end.kind === "not-run") {
                rememberDropped(msg.attemptId);
            } else {
                logger.error("claims-end-of-other-attempt", {
                    shard,
                    attempt: msg.attemptId,
                    kind: msg.end.kind,
                });
            }
            return done;
        }
        // Only "ran" says more than "unknown". A release may rest on an answer of the entry from before the record became
        // unknown, and would then let the request run again.
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

    const rememberDropped = (attemptId: string) => {
        droppedAttempts.add(attemptId);
        if (droppedAttempts.size > maxDroppedAttempts) {
            droppedAttempts.delete(droppedAttempts.values().next().value!);
        }
    };

    return {
        begin: async msg => {
            let rec = getRecord(msg.keyHash);
            // A finished record never changes; another one may be out of date.
            if (
                rec !== undefined &&
                rec.state !== RecordState.Released &&
                rec.state !== RecordState.Finished
            ) {
                await verify();
                rec = getRecord(msg.keyHash);
            }
            if (rec === undefined || rec.state === RecordState.Released) {
                checkNewClaim(msg);
                return enqueue(`begin ${msg.attemptId}`, 0, changes => applyBegin(msg, changes));
            }
            return describeFor(msg, rec);
        },
        finish: async msg => {
            const bytes = msg.end.kind === "ran" ? (msg.end.response.body?.length ?? 0) : 0;
            await enqueue(`finish ${msg.attemptId} ${msg.end.kind}`, bytes, changes =>
                applyFinish(msg, changes),
            );
        },
        find: async keyHash => {
            const known = describe(getRecord(keyHash));
            if (known.state === ClaimState.Finished) {
                return known;
            }
            return enqueue(`find ${keyHash}`, undefined, changes => describe(getRecord(keyHash, changes)));
        },
        getRecordBytes: () => held?.recordBytes ?? 0,
        peek: keyHash => getRecord(keyHash),
        release: () => {
            isReleased = true;
            if (!isRunning) {
                held = undefined;
            }
        },
        state: () => ({
            shard,
            held: held !== undefined,
            epoch: held?.epoch,
            records: held?.records.size ?? 0,
            recordBytes: held?.recordBytes ?? 0,
            archives: held?.archives.length ?? 0,
            queued: queue.length,
            inDoubt,
        }),
        close: () => {
            isClosed = true;
            log.close();
            rejectAll([...operations.values()], new ShardUnavailableError(true, `shard ${shard} was closed`));
            queue = [];
        },
    };
}

function createRecord(ref: AttemptRef, state: RecordState, changedAt: number): ClaimRecord {
    const { keyHash, requestHash, attemptId, entryId, incarnation, session, expiresAt } = ref;
    return { keyHash, requestHash, attemptId, entryId, incarnation, session, changedAt, expiresAt, state };
}

function describe(rec: ClaimRecord | undefined): ClaimResult {
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

/** Answers an attempt whose key has a record. */
function describeFor(msg: BeginMessage, rec: ClaimRecord): ClaimResult {
    if (rec.requestHash !== msg.requestHash) {
        return { state: ClaimState.KeyReused };
    }
    if (rec.state === RecordState.Running && rec.attemptId === msg.attemptId) {
        return { state: ClaimState.Granted };
    }
    return describe(rec);
}
