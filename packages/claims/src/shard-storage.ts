/**
 * Stores one shard: a head object that every commit updates conditionally, and archives. An entry takes over the shard
 * by writing the head with a higher epoch; writes of the former owner then fail because the head's version has changed.
 */
import { randomUUID } from "node:crypto";
import { StoreConflictError, StoreOutcomeUnknownError, StoreRejectedError } from "@waxwingdale/core";
import { StoreUnavailableError, getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, ObjectStore, Random, StoredObject } from "@waxwingdale/core";
import { NotShardOwnerError, ShardUnavailableError } from "./claim-errors.js";
import { RecordState, decodeRecord, encodeRecord, estimateRecordBytes } from "./claim-record.js";
import type { ArchiveRef, ClaimRecord, ShardArchive, ShardHead } from "./claim-record.js";
import type { WriteBudget } from "./write-budget.js";

/** When the head is larger, records move to an archive: each commit rewrites the head, so it has to stay small. */
export const maxHeadBytes = 64 * 1024;
/** Maximum estimated size of an archive. Below the store's limit of 1 MB, since the estimate may be too low. */
const maxArchiveBytes = 512 * 1024;
/** Timeout for a single call to the store. */
const storeTimeoutMs = 1000;
/** Timeout for reading the archives of a shard. */
const loadTimeoutMs = 10_000;
/** Added to the retention period before records are dropped, to allow for clock skew between owners. */
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

/** A shard that this entry owns, as far as it knows. */
export interface OwnedShard {
    epoch: number;
    /** Version of the head after the last commit. */
    version: number;
    /** All records, including those in archives, from the least to the most recently changed. */
    records: Map<string, ClaimRecord>;
    recordBytes: number;
    /** Keys whose record is in the head. */
    headKeys: Set<string>;
    archives: ArchiveRef[];
    /** Keys of the newest archive. The next archive replaces it if the records of both fit into one object. */
    newestArchiveKeys: Set<string>;
}

export interface ShardStorage {
    /**
     * Takes over the shard by writing its head with a higher epoch. For `onOutcomeUnknown` see `commit`.
     * @throws NotShardOwnerError, ShardUnavailableError
     */
    takeOver(onOutcomeUnknown: () => void): Promise<OwnedShard>;
    /**
     * Writes changed records in one conditional update, then applies them to `owned`. Calls `onOutcomeUnknown` if it is
     * unknown whether the write took effect, and then keeps trying until it is known.
     * @throws NotShardOwnerError, ShardUnavailableError
     */
    commit(
        owned: OwnedShard,
        changes: ReadonlyMap<string, ClaimRecord>,
        onOutcomeUnknown: () => void,
    ): Promise<void>;
    /**
     * Checks that the stored head has the epoch of `owned` and this entry as its owner.
     * @throws NotShardOwnerError, ShardUnavailableError
     */
    verify(owned: OwnedShard): Promise<void>;
    close(): void;
}

export function createShardStorage(options: ShardStorageOptions): ShardStorage {
    const { shard, store, clock, random, logger, budget } = options;
    const headKey = `claims/${shard}`;
    let isClosed = false;
    /** Number of archives that this process has written for the shard. Makes their names unique. */
    let archiveCount = 0;

    const readHead = async (): Promise<{ head: ShardHead | undefined; version: number }> => {
        const found = await callStore(clock, storeTimeoutMs, signal => store.get(headKey, signal));
        const head = found?.value as ShardHead | undefined;
        if (head !== undefined && head.formatVersion !== 1) {
            throw new ShardUnavailableError(
                false,
                `object ${headKey} has a format that this release does not support`,
            );
        }
        return { head, version: found?.version ?? 0 };
    };

    const throwNotOwner = (head: ShardHead | undefined): never => {
        throw new NotShardOwnerError(
            head?.owner,
            `shard ${shard} has another owner: ${head?.owner ?? "none"}`,
        );
    };

    /** Writes the head and returns its new version, even if responses of the store are lost. */
    const putHead = async (
        head: ShardHead,
        expectedVersion: number,
        onOutcomeUnknown: () => void,
    ): Promise<number> => {
        let maybeSent = false;
        for (let retryMs = firstRetryMs; ; retryMs = Math.min(2 * retryMs, maxRetryMs)) {
            try {
                return await callStore(clock, storeTimeoutMs, signal =>
                    store.put(headKey, head, expectedVersion, signal),
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
                if (current.version !== expectedVersion) {
                    return throwNotOwner(current.head);
                }
                // The write has not taken effect yet but still may. The same batch is written again, so that either
                // write counts.
            } catch (err) {
                if (err instanceof NotShardOwnerError) {
                    throw err;
                }
                onOutcomeUnknown();
                logger.warn("claims-commit-in-doubt", { shard, error: getErrorMessage(err) });
                await clock.sleep(retryMs * (0.5 + random()));
            }
            if (isClosed) {
                throw new ShardUnavailableError(true, `shard ${shard} was closed during a write`);
            }
            await budget.acquire();
        }
    };

    const loadRecords = async (
        head: ShardHead | undefined,
    ): Promise<Omit<OwnedShard, "epoch" | "version">> => {
        const records = new Map<string, ClaimRecord>();
        const refs = head?.archives ?? [];
        const found = await callStore(clock, loadTimeoutMs, signal =>
            refs.length > 0 ? store.list(`${headKey}/`, signal) : Promise.resolve([] as StoredObject[]),
        );
        const byKey = new Map(found.map(object => [object.key, object.value as ShardArchive]));
        let newestArchiveKeys = new Set<string>();
        for (const ref of refs) {
            const archive = byKey.get(ref.key);
            if (archive === undefined) {
                // Without the archive, a request could run twice. It is missing only while the owner is deleting it;
                // the head has changed then, and the next attempt reads the new one.
                throw new ShardUnavailableError(false, `archive ${ref.key} of shard ${shard} is missing`);
            }
            const archived = archive.records.map(decodeRecord);
            addRecords(records, archived);
            newestArchiveKeys = new Set(archived.map(rec => rec.keyHash));
        }
        const headRecords = (head?.records ?? []).map(decodeRecord);
        addRecords(records, headRecords);
        let recordBytes = 0;
        for (const rec of records.values()) {
            recordBytes += estimateRecordBytes(rec);
        }
        const headKeys = new Set(headRecords.map(rec => rec.keyHash));
        return { records, recordBytes, headKeys, archives: refs, newestArchiveKeys };
    };

    const takeOver = async (onOutcomeUnknown: () => void): Promise<OwnedShard> => {
        try {
            const { head, version: expectedVersion } = await readHead();
            const loaded = await loadRecords(head);
            const epoch = (head?.epoch ?? 0) + 1;
            await budget.acquire();
            const next = createHead(epoch, head?.records ?? [], loaded.archives);
            const version = await putHead(next, expectedVersion, onOutcomeUnknown);
            logger.info("claims-shard-taken", {
                shard,
                epoch,
                from: head?.owner,
                records: loaded.records.size,
            });
            const owned = { ...loaded, epoch, version };
            deleteOrphans(owned).catch((err: unknown) =>
                logger.warn("claims-archive-cleanup-failed", { shard, error: getErrorMessage(err) }),
            );
            return owned;
        } catch (err) {
            throw toShardError(err, false);
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

    /** Deletes archives that the head does not refer to, left by former owners that crashed between two writes. */
    const deleteOrphans = async (owned: OwnedShard) => {
        const referenced = new Set(owned.archives.map(ref => ref.key));
        const found = await callStore(clock, loadTimeoutMs, signal => store.list(`${headKey}/`, signal));
        for (const object of found) {
            const epoch = Number(object.key.slice(headKey.length + 1).split("-")[0]);
            if (!referenced.has(object.key) && epoch < owned.epoch) {
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
            if (found !== undefined && !isClosed) {
                await callStore(clock, storeTimeoutMs, signal => store.delete(key, found, signal));
            }
        } catch (err) {
            // The next owner deletes the archive.
            logger.warn("claims-archive-cleanup-failed", { shard, key, error: getErrorMessage(err) });
        }
    };

    /** Writes new archives and returns their references. */
    const writeArchives = async (owned: OwnedShard, chunks: ClaimRecord[][]): Promise<ArchiveRef[]> => {
        const refs: ArchiveRef[] = [];
        for (const chunk of chunks) {
            const key = `${headKey}/${owned.epoch}-${archiveCount++}`;
            const value: ShardArchive = { records: chunk.map(encodeRecord) };
            try {
                await callStore(clock, storeTimeoutMs, signal => store.put(key, value, 0, signal));
            } catch (err) {
                const alreadyExists = err instanceof StoreConflictError;
                const cause = { cause: err };
                // The head does not refer to the object, so no claim was committed. The next attempt uses another name.
                throw new ShardUnavailableError(
                    false,
                    `cannot write archive ${key}${alreadyExists ? ": it already exists" : ""}`,
                    cause,
                );
            }
            refs.push({ key, newestAt: Math.max(...chunk.map(rec => rec.changedAt)) });
            await budget.acquire();
        }
        return refs;
    };

    /** Moves records from the head to archives. */
    const moveToArchive = async (
        owned: OwnedShard,
        headRecords: Map<string, ClaimRecord>,
        archives: ArchiveRef[],
        oldestRetainedAt: number,
    ) => {
        const moved = selectForArchive([...headRecords.values()]);
        const newestRecords = [...owned.newestArchiveKeys]
            .filter(key => !headRecords.has(key))
            .map(key => owned.records.get(key))
            .filter(rec => rec !== undefined && rec.changedAt >= oldestRetainedAt) as ClaimRecord[];
        const mergesArchives =
            archives.length > 0 && sumBytes(newestRecords) + sumBytes(moved) <= maxArchiveBytes;
        const replaced = mergesArchives ? archives.pop() : undefined;
        const chunks = splitBySize(mergesArchives ? [...newestRecords, ...moved] : moved);
        archives.push(...(await writeArchives(owned, chunks)));
        for (const rec of moved) {
            headRecords.delete(rec.keyHash);
        }
        return { replaced, newestArchiveKeys: new Set(chunks.at(-1)?.map(rec => rec.keyHash)) };
    };

    const commit: ShardStorage["commit"] = async (owned, changes, onOutcomeUnknown) => {
        const headRecords = new Map<string, ClaimRecord>();
        for (const key of owned.headKeys) {
            if (!changes.has(key)) {
                headRecords.set(key, owned.records.get(key)!);
            }
        }
        for (const [key, rec] of changes) {
            headRecords.set(key, rec);
        }
        const oldestRetainedAt = clock.wallTime() - options.retentionMs() - retentionMarginMs;
        const dropped = owned.archives.filter(ref => ref.newestAt < oldestRetainedAt);
        const archives = owned.archives.filter(ref => ref.newestAt >= oldestRetainedAt);
        let newestArchiveKeys =
            archives.at(-1) === owned.archives.at(-1) ? owned.newestArchiveKeys : new Set<string>();
        try {
            if (sumBytes(headRecords.values()) > maxHeadBytes) {
                const moved = await moveToArchive(
                    { ...owned, newestArchiveKeys },
                    headRecords,
                    archives,
                    oldestRetainedAt,
                );
                newestArchiveKeys = moved.newestArchiveKeys;
                if (moved.replaced) {
                    dropped.push(moved.replaced);
                }
            }
            const kept = [...headRecords.values()].filter(rec => rec.changedAt >= oldestRetainedAt);
            const head = createHead(owned.epoch, kept.map(encodeRecord), archives);
            owned.version = await putHead(head, owned.version, onOutcomeUnknown);
            owned.headKeys = new Set(kept.map(rec => rec.keyHash));
        } catch (err) {
            throw toShardError(err, true);
        }
        owned.archives = archives;
        owned.newestArchiveKeys = newestArchiveKeys;
        applyChanges(owned, changes, oldestRetainedAt);
        for (const ref of dropped) {
            void deleteArchive(ref.key);
        }
    };

    const verify: ShardStorage["verify"] = async owned => {
        try {
            const { head } = await readHead();
            if (head?.epoch !== owned.epoch || head.owner !== options.self().id) {
                throwNotOwner(head);
            }
        } catch (err) {
            throw toShardError(err, false);
        }
    };

    return {
        takeOver,
        commit,
        verify,
        close: () => {
            isClosed = true;
        },
    };
}

/** Calls the store with a timeout, which applies even if the call ignores its signal. */
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

function toShardError(err: unknown, maybeCommitted: boolean): Error {
    if (err instanceof NotShardOwnerError || err instanceof ShardUnavailableError) {
        return err;
    }
    return new ShardUnavailableError(maybeCommitted, "access to the store failed", { cause: err });
}

function applyChanges(
    owned: OwnedShard,
    changes: ReadonlyMap<string, ClaimRecord>,
    oldestRetainedAt: number,
): void {
    for (const [key, rec] of changes) {
        removeRecord(owned, key);
        owned.records.set(key, rec);
        owned.recordBytes += estimateRecordBytes(rec);
    }
    for (const [key, rec] of owned.records) {
        if (rec.changedAt >= oldestRetainedAt) {
            return;
        }
        removeRecord(owned, key);
    }
}

function removeRecord(owned: OwnedShard, key: string): void {
    const previous = owned.records.get(key);
    if (previous !== undefined) {
        owned.recordBytes -= estimateRecordBytes(previous);
        owned.records.delete(key);
    }
}

/** Adds records, keeping the map in the order of the last change. */
function addRecords(records: Map<string, ClaimRecord>, added: ClaimRecord[]): void {
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

/** Selects the records to archive. Running ones stay in the head if they fit, because they change again soon. */
function selectForArchive(records: ClaimRecord[]): ClaimRecord[] {
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
