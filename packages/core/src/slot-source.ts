/** Contract of the limiter that decides which backend server runs a request, and when. */
import type { BackendServer } from "./backend-server.js";
import type { RequestClass } from "./request-class.js";
import type { ReasonCode } from "./outcome.js";
import { WaxwingdaleError } from "./errors.js";

/** How a request left its slot. */
export enum SlotResult {
    /** The server answered in full. */
    Completed = "completed",
    /** The server said that it did not start the request. */
    Refused = "refused",
    /** No connection to the server could be made. */
    Unreachable = "unreachable",
    /** The connection broke while the request ran; the server may still run it. */
    Broken = "broken",
    /** The entry gave the slot back without using it. */
    Unused = "unused",
}

/** The right to run one request on one backend server. */
export interface Slot {
    readonly server: BackendServer;
    /** Gives the slot back; later calls do nothing. `busySlots` is the server's own load report, if it sent one. */
    release(result: SlotResult, busySlots?: number): void;
}

/** Tells that nobody waits for a request any more. An AbortSignal is one. */
export interface AbortSignalLike {
    readonly aborted: boolean;
    addEventListener(type: "abort", listener: () => void, options?: { once?: boolean }): void;
    removeEventListener(type: "abort", listener: () => void): void;
}

export interface SlotRequest {
    service: string;
    requestClass: RequestClass;
    /** Time of the clock at which the caller stops waiting, in milliseconds. */
    deadlineAt: number;
    /** A request that was running when a server's connection broke; it shares no server with another suspect. */
    suspect: boolean;
    /** Ids of servers that have already refused this request. */
    avoid: ReadonlySet<string>;
    signal?: AbortSignalLike;
}

/** The request was refused before anything was sent: it did not run. */
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
     * Waits for a slot.
     * @throws AdmissionRefusedError
     */
    acquire(req: SlotRequest): Promise<Slot>;
}
