/** Records of claims as they are kept in memory and in the store. */
import type { RecordedResponse } from "@waxwingdale/core";

export enum RecordState {
    Running = "running",
    Finished = "finished",
    Unknown = "unknown",
    /** The attempt certainly did not run; the key is free. */
    Released = "released",
}

export interface ClaimRecord {
    keyHash: string;
    requestHash: string;
    attemptId: string;
    /** Entry that runs the attempt. */
    entryId: string;
    incarnation: number;
    /** Id of the entry's process. An incarnation also grows when a live process refutes a suspicion. */
    session: string;
    /** Wall time of the last change in milliseconds. */
    changedAt: number;
    /** Wall time at which the attempt's caller stops waiting, in milliseconds. */
    expiresAt: number;
    state: RecordState;
    response?: RecordedResponse;
}

/** A record as the store holds it; positions instead of names keep the head small. */
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
    /** Wall time of the newest record in milliseconds. */
    newestAt: number;
}

/** Value of the object `claims/<shard>`. */
export interface ShardHead {
    formatVersion: 1;
    epoch: number;
    owner: string;
    ownerIncarnation: number;
    /** Id of the commit that wrote this version; tells an owner whether a write with a lost answer took effect. */
    batchId: string;
    records: EncodedRecord[];
    /** Archives from the oldest to the newest; a later record of a key replaces an earlier one. */
    archives: ArchiveRef[];
}

/** Value of an archive object `claims/<shard>/<epoch>-<n>`; never changed after it is written. */
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

/** Bytes of the fixed fields of an encoded record with the usual lengths of ids and hashes. */
const fixedRecordBytes = 220;

/** Estimates the bytes that a record takes in the store. */
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
