/** Claims on idempotency keys, which ensure that a non-idempotent request runs at most once. */
import { WaxwingdaleError } from "./errors.js";
import type { ErrorOptions } from "./errors.js";

/** A completed response, stored so that it can be replayed to a repeated request. */
export interface RecordedResponse {
    status: number;
    headers: Record<string, string>;
    /** Body in base64; undefined if it exceeded the limit in the manifest. */
    body: string | undefined;
}

export enum ClaimState {
    /** The caller of `begin` holds the claim and may send the request. */
    Granted = "granted",
    /** An earlier attempt completed; its response is in `response`. */
    Finished = "finished",
    /** Another attempt with this key is running. */
    Running = "running",
    /** The entry of an earlier attempt, or its response, was lost: the request may have run. */
    Unknown = "unknown",
    /** The key was already used for a different request. */
    KeyReused = "key-reused",
    /** There is no record of the key. */
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
    /** Id of this attempt, unique across the fleet. */
    attemptId: string;
    /** Hash of method, path and query, to distinguish a repeated request from a different one with the same key. */
    requestHash: string;
    /** Clock time at which the caller stops waiting, in milliseconds. */
    deadlineAt: number;
}

/** Outcome of an attempt that held a claim. */
export type ClaimOutcome =
    { kind: "not-run" } | { kind: "unknown" } | { kind: "ran"; response: RecordedResponse };

/** The claim could not be committed, so the request did not run. */
export class ClaimsUnavailableError extends WaxwingdaleError {
    constructor(message: string, options?: ErrorOptions) {
        super("ClaimsUnavailableError", message, options);
    }
}

export interface ClaimService {
    /**
     * Commits a claim to the store, or returns the state of an earlier attempt with the same key. Waits for a running
     * attempt until the deadline.
     * @throws ClaimsUnavailableError
     */
    begin(req: ClaimRequest): Promise<ClaimResult>;
    /** Whether the holder of a claim may still send its request; false if the process was paused past the deadline. */
    isGrantUsable(req: ClaimRequest): boolean;
    /** Records the outcome of an attempt. Returns immediately; the outcome is kept until it has been stored. */
    finish(req: ClaimRequest, end: ClaimOutcome): void;
    /**
     * Returns the state of a key.
     * @throws ClaimsUnavailableError
     */
    find(service: string, key: string): Promise<ClaimResult>;
}
