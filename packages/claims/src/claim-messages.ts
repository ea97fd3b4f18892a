/** Messages between an attempting entry and the owner of a shard. */
import type { ClaimOutcome, ClaimResult } from "@waxwingdale/core";

/** Identity of one attempt and of the process that makes it. */
export interface AttemptRef {
    shard: number;
    keyHash: string;
    requestHash: string;
    attemptId: string;
    entryId: string;
    incarnation: number;
    session: string;
    /** Wall time at which the caller stops waiting, in milliseconds. */
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

/** Question of an owner to an entry about one of its attempts. */
export interface AttemptQuery {
    session: string;
    attemptId: string;
}

export interface AttemptStatus {
    /** False when the entry has restarted since the attempt. */
    sameSession: boolean;
    /** Whether the attempt is still held by a request, or its end is not acknowledged yet. */
    active: boolean;
}

/** Answer of an owner. Refusals are data, because an RPC error carries no details. */
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
