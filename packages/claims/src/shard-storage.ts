/**
 * The stored part of one shard: a head object that every commit updates conditionally, and archives. Whoever writes the
 * head with a greater epoch owns the shard; each later write of a former owner fails on the head's version.
 */
import { randomUUID } from "node:crypto";
import { StoreConflictError, StoreOutcomeUnknownError, StoreRejectedError } from "@waxwingdale/core";
import { StoreUnavailableError, getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, ObjectStore, Random, StoredObject } from "@waxwingdale/core";
import { NotShardOwnerError, ShardUnavailableError } from "./claim-errors.js";
import { RecordState, decodeRecord, encodeRecord, estimateRecordBytes } from "./claim-record.js";
import type { ArchiveRef, ClaimRecord, ShardArchive, ShardHead } from "./claim-record.js";
import type { WriteBudget } from "./write-budget.js";

/** A head above this size moves records to an archive: each commit rewrites the head, so it stays small. */
export const maxHeadBytes = 64 * 1024;
/** Size of an archive, with room below the store's limit of one megabyte for the estimate's error. */
const maxArchiveBytes = 512 * 1024;
/** Time that one call to the store may take. */
const storeTimeoutMs = 1000;
/** Time that reading the archives of a shard may take. */
const loadTimeoutMs = 10_000;
/** Time added to the retention before records are dropped, for differences between the clocks of owners. */
export const retentionMarginMs = 60_000;
const firstRetryMs = 100;
const maxRetryMs = 2000;

export interface ShardStorageOptions {
    shard: number;
    store: ObjectStore;
    clock: Clock;
    random: Random;
    logger: Logger;
    budget: WriteBudget;
    self: () => { id: string; incarnation: number };
    retentionMs: () => number;
}

/** A shard that this entry owns as far as it knows. */
export interface OwnedShard {
    epoch: number;
    /** Version of the head at the last commit. */
    version: number;
    /** All records, those of archives included, from the least to the most recently changed. */
    records: Map<string, ClaimRecord>;
    recordBytes: number;
    /** Keys whose record is in the head. */
    headKeys: Set<string>;
    archives: ArchiveRef[];
    /** Keys of the newest archive, which the next one replaces while both fit into one object. */
    newestArchiveKeys: Set<string>;
}

export interface ShardStorage {
    /**
     * Takes the shard over by writing its head with a greater epoch. `onDoubt` is that of `commit`.
     * @throws NotShardOwnerError, ShardUnavailableError
     */
    takeOver(onDoubt: () => void): Promise<OwnedShard>;
    /**
     * Writes changed records in one conditional update and then applies them to `held`. `onDoubt` runs when the store
     * cannot say whether the write took effect; the call then goes on until it can.
     * @throws NotShardOwnerError, ShardUnavailableError
     */
    commit(held: OwnedShard, changes: ReadonlyMap<string, ClaimRecord>, onDoubt: () => void): Promise<void>;
    /**
     * Compares the stored head with `held`.
     * @throws NotShardOwnerError, ShardUnavailableError
     */
    verify(held: OwnedShard): Promise<void>;
    close(): void;
}

export function createShardStorage(options: ShardStorageOptions): ShardStorage {
    const { shard, store, clock, random, logger, budget } = options;
    const headKey = `claims/${shard}`;
    let closed = false;
    /** Archives that this process wrote for the shard; their names are never used twice. */
    let archiveCount = 0;

    const readHead = async (): Promise<{ head: ShardHead | undefined; version: number }> => {
        const found = await callStore(clock, storeTimeoutMs, signal => store.get(headKey, signal));
        const head = found?.value as ShardHead | undefined;
        if (head !== undefined && head.formatVersion !== 1) {
            throw new ShardUnavailableError(
                false,
                `object ${headKey} has a format that this release cannot read`,
            );
        }
        return { head, version: found?.version ?? 0 };
    };

    const throwLost = (head: ShardHead | undefined): never => {
        throw new NotShardOwnerError(
            head?.owner,
            `shard ${shard} has another owner: ${head?.owner ?? "none"}`,
        );
    };

    /** Writes the head and returns its new version, whatever answers are lost on the way. */
    const putHead = async (head: ShardHead, expected: number, onDoubt: () => void): Promise<number> => {
        let maybeSent = false;
        for (let retryMs = firstRetryMs; ; retryMs = Math.min(2 * retryMs, maxRetryMs)) {
            try {
                return await callStore(clock, storeTimeoutMs, signal =>
                    store.put(headKey, head, expected, signal),
                );
            } catch (err) {
                if (
                    !maybeSent &&
                    (err instanceof StoreUnavailableError || err instanceof StoreRejectedError)
                ) {
                    throw new ShardUnavailableError(false, `cannot write ${headKey}`, { cause: err });
                }
                maybeSent = true;
            }
            try {
                const current = await readHead();
                if (current.head?.batchId === head.batchId) {
                    return current.version;
                }
                if (current.version !== expected) {
                    return throwLost(current.head);
                }
                // The write is not in the store yet but may still arrive; the same batch is written again, so that
                // either copy counts.
            } catch (err) {
                if (err instanceof NotShardOwnerError) {
                    throw err;
                }
                onDoubt();
                logger.warn("claims-commit-in-doubt", { shard, error: getErrorMessage(err) });
                await clock.sleep(retryMs * (0.5 + random()));
            }
            if (closed) {
                throw new ShardUnavailableError(true, `shard ${shard} was closed during a write`);
            }
            await budget.acquire();
        }
    };

    const load = async (head: ShardHead | undefined): Promise<Omit<OwnedShard, "epoch" | "version">> => {
        const records = new Map<string, ClaimRecord>();
        const refs = head?.archives ?? [];
        const found = await callStore(clock, loadTimeoutMs, signal =>
            refs.length > 0 ? store.list(`${headKey}/`, signal) : Promise.resolve([] as StoredObject[]),
        );
        const byKey = new Map(found.map(object => [object.key, object.value as ShardArchive]));
        let tailKeys = new Set<string>();
        for (const ref of refs) {
            const archive = byKey.get(ref.key);
            if (archive === undefined) {
                // Serving without it could run a request twice. It is missing only while the owner is deleting it, and
                // then the head has changed and the next attempt reads the new one.
                throw new ShardUnavailableError(false, `archive ${ref.key} of shard ${shard} is missing`);
            }
            const archived = archive.records.map(decodeRecord);
            addAll(records, archived);
            tailKeys = new Set(archived.map(rec => rec.keyHash));
        }
        const inHead = (head?.records ?? []).map(decodeRecord);
        addAll(records, inHead);
        let recordBytes = 0;
        for (const rec of records.values()) {
            recordBytes += estimateRecordBytes(rec);
        }
        const headKeys = new Set(inHead.map(rec => rec.keyHash));
        return { records, recordBytes, headKeys, archives: refs, newestArchiveKeys: tailKeys };
    };

    const takeOver = async (onDoubt: () => void): Promise<OwnedShard> => {
        try {
            const { head, version: expected } = await readHead();
            const loaded = await load(head);
            const epoch = (head?.epoch ?? 0) + 1;
            await budget.acquire();
            const next = createHead(epoch, head?.records ?? [], loaded.archives);
            const version = await putHead(next, expected, onDoubt);
            logger.info("claims-shard-taken", {
                shard,
                epoch,
                from: head?.owner,
                records: loaded.records.size,
            });
            const held = { ...loaded, epoch, version };
            deleteOrphans(held).catch((err: unknown) =>
                logger.warn("claims-archive-cleanup-failed", { shard, error: getErrorMessage(err) }),
            );
            return held;
        } catch (err) {
            throw translate(err, false);
        }
    };

    const createHead = (epoch: number, records: ShardHead["records"], archives: ArchiveRef[]): ShardHead => {
        const { id, incarnation } = options.self();
        return {
            formatVersion: 1,
            epoch,
            owner: id,
            ownerIncarnation: incarnation,
            batchId: randomUUID(),
            records,
            archives,
        };
    };

    /** Deletes archives of former owners that no head refers to: the owner died between two writes. */
    const deleteOrphans = async (held: OwnedShard) => {
        const known = new Set(held.archives.map(ref => ref.key));
        const found = await callStore(clock, loadTimeoutMs, signal => store.list(`${headKey}/`, signal));
        for (const object of found) {
            const epoch = Number(object.key.slice(headKey.length + 1).split("-")[0]);
            if (!known.has(object.key) && epoch < held.epoch) {
                await deleteArchive(object.key, object.version);
            }
        }
    };

    const deleteArchive = async (key: string, version?: number) => {
        await budget.acquire();
        try {
            const found =
                version ??
                (await callStore(clock, storeTimeoutMs, signal => store.get(key, signal)))?.version;
            if (found !== undefined && !closed) {
                await callStore(clock, storeTimeoutMs, signal => store.delete(key, found, signal));
            }
        } catch (err) {
            // The next owner deletes what remains.
            logger.warn("claims-archive-cleanup-failed", { shard, key, error: getErrorMessage(err) });
        }
    };

    /** Writes new archives and returns their references. */
    const writeArchives = async (held: OwnedShard, chunks: ClaimRecord[][]): Promise<ArchiveRef[]> => {
        const refs: ArchiveRef[] = [];
        for (const chunk of chunks) {
            const key = `${headKey}/${held.epoch}-${archiveCount++}`;
            const value: ShardArchive = { records: chunk.map(encodeRecord) };
            try {
                await callStore(clock, storeTimeoutMs, signal => store.put(key, value, 0, signal));
            } catch (err) {
                const isFromOther = err instanceof StoreConflictError;
                const cause = { cause: err };
                // No head refers to the object, so nothing was claimed. The next try uses another name.
                throw new ShardUnavailableError(
                    false,
                    `cannot write archive ${key}${isFromOther ? ": it exists" : ""}`,
                    cause,
                );
            }
            refs.push({ key, newestAt: Math.max(...chunk.map(rec => rec.changedAt)) });
            await budget.acquire();
        }
        return refs;
    };

    /** Writes the records that leave the head to archives. */
    const moveToArchive = async (
        held: OwnedShard,
        inHead: Map<string, ClaimRecord>,
        archives: ArchiveRef[],
        oldestKept: number,
    ) => {
        const moved = pickForArchive([...inHead.values()]);
        const tail = [...held.newestArchiveKeys]
            .filter(key => !inHead.has(key))
            .map(key => held.records.get(key))
            .filter(rec => rec !== undefined && rec.changedAt >= oldestKept) as ClaimRecord[];
        const merges = archives.length > 0 && sumBytes(tail) + sumBytes(moved) <= maxArchiveBytes;
        const replaced = merges ? archives.pop() : undefined;
        const chunks = splitBySize(merges ? [...tail, ...moved] : moved);
        archives.push(...(await writeArchives(held, chunks)));
        for (const rec of moved) {
            inHead.delete(rec.keyHash);
        }
        return { replaced, tailKeys: new Set(chunks.at(-1)?.map(rec => rec.keyHash)) };
    };

    const commit: ShardStorage["commit"] = async (held, changes, onDoubt) => {
        const inHead = new Map<string, ClaimRecord>();
        for (const key of held.headKeys) {
            if (!changes.has(key)) {
                inHead.set(key, held.records.get(key)!);
            }
        }
        for (const [key, rec] of changes) {
            inHead.set(key, rec);
        }
        const oldestKept = clock.wallTime() - options.retentionMs() - retentionMarginMs;
        const dropped = held.archives.filter(ref => ref.newestAt < oldestKept);
        const archives = held.archives.filter(ref => ref.newestAt >= oldestKept);
        let tailKeys = archives.at(-1) === held.archives.at(-1) ? held.newestArchiveKeys : new Set<string>();
        try {
            if (sumBytes(inHead.values()) > maxHeadBytes) {
                const moved = await moveToArchive(
                    { ...held, newestArchiveKeys: tailKeys },
                    inHead,
                    archives,
                    oldestKept,
                );
                tailKeys = moved.tailKeys;
                if (moved.replaced) {
                    dropped.push(moved.replaced);
                }
            }
            const kept = [...inHead.values()].filter(rec => rec.changedAt >= oldestKept);
            const head = createHead(held.epoch, kept.map(encodeRecord), archives);
            held.version = await putHead(head, held.version, onDoubt);
            held.headKeys = new Set(kept.map(rec => rec.keyHash));
        } catch (err) {
            throw translate(err, true);
        }
        held.archives = archives;
        held.newestArchiveKeys = tailKeys;
        applyChanges(held, changes, oldestKept);
        for (const ref of dropped) {
            void deleteArchive(ref.key);
        }
    };

    const verify: ShardStorage["verify"] = async held => {
        try {
            const { head } = await readHead();
            if (head?.epoch !== held.epoch || head.owner !== options.self().id) {
                throwLost(head);
            }
        } catch (err) {
            throw translate(err, false);
        }
    };

    return {
        takeOver,
        commit,
        verify,
        close: () => {
            closed = true;
        },
    };
}

/** Calls the store and gives up after `timeoutMs`, even if the call ignores its signal. */
export async function callStore<Value>(
    clock: Clock,
    timeoutMs: number,
    call: (signal: AbortSignal) => Promise<Value>,
): Promise<Value> {
    const controller = new AbortController();
    let timer: { cancel(): void } | undefined;
    const timeout = new Promise<never>((_resolve, reject) => {
        timer = clock.setTimer(timeoutMs, () => {
            reject(new StoreOutcomeUnknownError(`the store did not answer within ${timeoutMs} ms`));
            controller.abort();
        });
    });
    try {
        return await Promise.race([call(controller.signal), timeout]);
    } finally {
        timer?.cancel();
    }
}

function translate(err: unknown, maybeCommitted: boolean): Error {
    if (err instanceof NotShardOwnerError || err instanceof ShardUnavailableError) {
        return err;
    }
    return new ShardUnavailableError(maybeCommitted, "the store cannot be used", { cause: err });
}

function applyChanges(held: OwnedShard, changes: ReadonlyMap<string, ClaimRecord>, oldestKept: number): void {
    for (const [key, rec] of changes) {
        removeRecord(held, key);
        held.records.set(key, rec);
        held.recordBytes += estimateRecordBytes(rec);
    }
    for (const [key, rec] of held.records) {
        if (rec.changedAt >= oldestKept) {
            return;
        }
        removeRecord(held, key);
    }
}

function removeRecord(held: OwnedShard, key: string): void {
    const old = held.records.get(key);
    if (old !== undefined) {
        held.recordBytes -= estimateRecordBytes(old);
        held.records.delete(key);
    }
}

/** Adds records so that the map's order is that of their last change. */
function addAll(records: Map<string, ClaimRecord>, added: ClaimRecord[]): void {
    for (const rec of added) {
        records.delete(rec.keyHash);
        records.set(rec.keyHash, rec);
    }
}

function sumBytes(records: Iterable<ClaimRecord>): number {
    let bytes = 0;
    for (const rec of records) {
        bytes += estimateRecordBytes(rec);
    }
    return bytes;
}

/** Picks the records that leave the head. Running ones stay if there is room, because they change again soon. */
function pickForArchive(records: ClaimRecord[]): ClaimRecord[] {
    const running = records.filter(rec => rec.state === RecordState.Running);
    if (sumBytes(running) > maxHeadBytes / 2) {
        return records;
    }
    return records.filter(rec => rec.state !== RecordState.Running);
}

function splitBySize(records: ClaimRecord[]): ClaimRecord[][] {
    const chunks: ClaimRecord[][] = [];
    let bytes = Infinity;
    for (const rec of records) {
        const size = estimateRecordBytes(rec);
        if (bytes + size > maxArchiveBytes) {
            chunks.push([]);
            bytes = 0;
        }
        chunks.at(-1)!.push(rec);
        bytes += size;
    }
    return chunks;
}
