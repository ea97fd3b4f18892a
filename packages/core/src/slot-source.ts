/** Interface of the concurrency limiter, which decides which backend server runs a request and when. */
import type { BackendServer } from "./backend-server.js";
import type { RequestClass } from "./request-class.js";
import type { ReasonCode } from "./outcome.js";
import { WaxwingdaleError } from "./errors.js";

/** How the use of a slot ended. */
export enum SlotResult {
    /** The server sent a complete response. */
    Completed = "completed",
    /** The server reported that it did not start the request. */
    Refused = "refused",
    /** The connection to the server could not be established. */
    Unreachable = "unreachable",
    /** The connection broke while the request was running; the server may still be running it. */
    Broken = "broken",
    /** The entry released the slot without using it. */
    Unused = "unused",
}

/** Permission to run one request on a backend server. */
export interface Slot {
    readonly server: BackendServer;
    /** Releases the slot; later calls do nothing. `busySlots` is the load that the server reported, if any. */
    release(result: SlotResult, busySlots?: number): void;
}

/** The subset of `AbortSignal` that signals that the caller no longer waits for its request. */
export interface AbortSignalLike {
    readonly aborted: boolean;
    addEventListener(type: "abort", listener: () => void, options?: { once?: boolean }): void;
    removeEventListener(type: "abort", listener: () => void): void;
}

export interface SlotRequest {
    service: string;
    requestClass: RequestClass;
    /** Clock time at which the caller stops waiting, in milliseconds. */
    deadlineAt: number;
    /** Whether the request was running when a connection to a server broke. Two such suspects never share a server. */
    suspect: boolean;
    /** Ids of the servers that already rejected this request. */
    avoid: ReadonlySet<string>;
    signal?: AbortSignalLike;
}

/** The request was rejected before anything was sent, so it did not run. */
export class AdmissionRefusedError extends WaxwingdaleError {
    constructor(
        readonly reason: ReasonCode,
        readonly retryAfterSeconds: number | undefined,
        message: string,
    ) {
        super("AdmissionRefusedError", message);
    }
}

export interface SlotSource {
    /**
     * Waits for a free slot.
     * @throws AdmissionRefusedError
     */
    acquire(req: SlotRequest): Promise<Slot>;
}
