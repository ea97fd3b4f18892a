/** Claim records, in memory and as stored. */
import type { RecordedResponse } from "@waxwingdale/core";

export enum RecordState {
    Running = "running",
    Finished = "finished",
    Unknown = "unknown",
    /** The attempt is known not to have run, so the key can be claimed again. */
    Released = "released",
}

export interface ClaimRecord {
    keyHash: string;
    requestHash: string;
    attemptId: string;
    /** Entry that runs the attempt. */
    entryId: string;
    incarnation: number;
    /** Id of the entry's process. `incarnation` cannot serve as one: it also grows when a suspicion is refuted. */
    session: string;
    /** Wall-clock time of the last change, in milliseconds. */
    changedAt: number;
    /** Wall-clock time at which the attempt's caller stops waiting, in milliseconds. */
    expiresAt: number;
    state: RecordState;
    response?: RecordedResponse;
}

/** Stored form of a record: a tuple without field names, to keep the head small. */
export type EncodedRecord = [
    keyHash: string,
    requestHash: string,
    attemptId: string,
    entryId: string,
    incarnation: number,
    session: string,
    changedAt: number,
    expiresAt: number,
    state: RecordState,
    response?: RecordedResponse,
];

export interface ArchiveRef {
    key: string;
    /** Wall-clock time of the newest record, in milliseconds. */
    newestAt: number;
}

/** Value of the object `claims/<shard>`. */
export interface ShardHead {
    formatVersion: 1;
    epoch: number;
    owner: string;
    ownerIncarnation: number;
    /** Id of the commit that wrote this version. Tells the owner if a write whose response was lost took effect. */
    batchId: string;
    records: EncodedRecord[];
    /** Oldest first. A record in a later archive replaces an earlier record of the same key. */
    archives: ArchiveRef[];
}

/** Value of an archive object `claims/<shard>/<epoch>-<n>`, which is immutable. */
export interface ShardArchive {
    records: EncodedRecord[];
}

export function encodeRecord(rec: ClaimRecord): EncodedRecord {
    const fields: EncodedRecord = [
        rec.keyHash,
        rec.requestHash,
        rec.attemptId,
        rec.entryId,
        rec.incarnation,
        rec.session,
        rec.changedAt,
        rec.expiresAt,
        rec.state,
    ];
    if (rec.response) {
        fields.push(rec.response);
    }
    return fields;
}

export function decodeRecord(fields: EncodedRecord): ClaimRecord {
    const [
        keyHash,
        requestHash,
        attemptId,
        entryId,
        incarnation,
        session,
        changedAt,
        expiresAt,
        state,
        response,
    ] = fields;
    return {
        keyHash,
        requestHash,
        attemptId,
        entryId,
        incarnation,
        session,
        changedAt,
        expiresAt,
        state,
        response,
    };
}

/** Size of an encoded record without its response, for ids and hashes of the usual length. */
const fixedRecordBytes = 220;

/** Estimates the size of a stored record, in bytes. */
export function estimateRecordBytes(rec: ClaimRecord): number {
    if (rec.response === undefined) {
        return fixedRecordBytes;
    }
    let bytes = fixedRecordBytes + 40 + (rec.response.body?.length ?? 0);
    for (const [name, value] of Object.entries(rec.response.headers)) {
        bytes += name.length + value.length + 6;
    }
    return bytes;
}
