/** Contract of the claims that make a non-idempotent request run at most once. */
import { WaxwingdaleError } from "./errors.js";
import type { ErrorOptions } from "./errors.js";

/** A finished answer, kept so that a repeat gets it again. */
export interface RecordedResponse {
    status: number;
    headers: Record<string, string>;
    /** Body in base64, or undefined when it was larger than the manifest's limit. */
    body: string | undefined;
}

export enum ClaimState {
    /** The caller of `begin` holds the claim and may run the request. */
    Granted = "granted",
    /** The request ran before; its answer is in `response`. */
    Finished = "finished",
    /** Another attempt of this key is running. */
    Running = "running",
    /** The attempt's entry was lost or its answer was: the request may have run. */
    Unknown = "unknown",
    /** The key was used before with another request. */
    KeyReused = "key-reused",
    /** No record of the key. */
    Absent = "absent",
}

export interface ClaimResult {
    state: ClaimState;
    response?: RecordedResponse;
}

export interface ClaimRequest {
    service: string;
    /** The caller's idempotency key. */
    key: string;
    /** Id of this attempt, unique in the fleet. */
    attemptId: string;
    /** Hash of method, path and query, to tell a repeat from another request with the same key. */
    requestHash: string;
    /** Time of the clock at which the caller stops waiting, in milliseconds. */
    deadlineAt: number;
}

/** How an attempt that held a claim ended. */
export type ClaimOutcome =
    { kind: "not-run" } | { kind: "unknown" } | { kind: "ran"; response: RecordedResponse };

/** No claim could be committed: the request did not run. */
export class ClaimsUnavailableError extends WaxwingdaleError {
    constructor(message: string, options?: ErrorOptions) {
        super("ClaimsUnavailableError", message, options);
    }
}

export interface ClaimService {
    /**
     * Commits a claim to the store, or tells what became of an earlier attempt of the key. A running attempt is waited
     * for until the deadline.
     * @throws ClaimsUnavailableError
     */
    begin(req: ClaimRequest): Promise<ClaimResult>;
    /** Whether the holder of a claim may still send its request; false after a pause past the deadline. */
    isGrantUsable(req: ClaimRequest): boolean;
    /** Records how the attempt ended. Returns at once; the record is kept until the store has it. */
    finish(req: ClaimRequest, end: ClaimOutcome): void;
    /**
     * Tells what became of a key.
     * @throws ClaimsUnavailableError
     */
    find(service: string, key: string): Promise<ClaimResult>;
}
