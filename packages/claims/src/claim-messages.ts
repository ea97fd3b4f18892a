/** RPC messages between the entry that makes an attempt and the owner of the shard. */
import type { ClaimOutcome, ClaimResult } from "@waxwingdale/core";

/** Identifies an attempt and the process that makes it. */
export interface AttemptRef {
    shard: number;
    keyHash: string;
    requestHash: string;
    attemptId: string;
    entryId: string;
    incarnation: number;
    session: string;
    /** Wall-clock time at which the caller stops waiting, in milliseconds. */
    expiresAt: number;
}

export type BeginMessage = AttemptRef;

export interface AttemptOutcome extends AttemptRef {
    end: ClaimOutcome;
}

export interface FinishMessage {
    shard: number;
    ends: AttemptOutcome[];
}

export interface FindMessage {
    shard: number;
    keyHash: string;
}

/** Sent by an owner to ask an entry about one of its attempts. */
export interface AttemptQuery {
    session: string;
    attemptId: string;
}

export interface AttemptStatus {
    /** False if the entry has restarted since the attempt began. */
    sameSession: boolean;
    /** Whether the attempt is still in progress, or its outcome has not been acknowledged yet. */
    active: boolean;
}

/** Response of an owner. Rejections are returned as values, because an RPC error carries no details. */
export type OwnerReply<Value> =
    | { kind: "ok"; value: Value }
    | { kind: "not-owner"; ownerId: string | undefined }
    | { kind: "unavailable"; maybeCommitted: boolean };

export type BeginReply = OwnerReply<ClaimResult>;
export type FinishReply = OwnerReply<{ acknowledged: string[] }>;

export const beginMethod = "claims.begin";
export const finishMethod = "claims.finish";
export const findMethod = "claims.find";
export const attemptMethod = "claims.attempt";
