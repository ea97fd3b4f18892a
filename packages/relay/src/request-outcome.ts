/** Outcomes of requests, for logs and metrics. */
import type { RequestKind } from "@waxwingdale/balancing";
import type { AccessDenial } from "./workspace-access.js";

export enum RequestOutcome {
    /** The backend server's response was forwarded. */
    Answered = "answered",
    /** The request was not executed, and the response states it. */
    Refused = "refused",
    /** The request may have been executed, but there is no response to forward. */
    Failed = "failed",
    TimedOut = "timed-out",
    CallerLeft = "caller-left",
    NoRoute = "no-route",
    /** The caller's key is unknown. */
    Unauthorized = "unauthorized",
    /** The workspace has used up its quota. */
    QuotaExceeded = "quota-exceeded",
}

/** One attempt to forward a request. Times are in milliseconds. */
export interface AttemptRecord {
    server: string;
    zone: string;
    result: string;
    expectedMs: number;
    tookMs: number;
    /** Time from the arrival of the request until it was written to the connection; undefined if it never was. */
    writtenAfterMs: number | undefined;
    /** Whether the caller's connection was not being read at that time, so that a disconnect could not be seen. */
    wasCallerPaused: boolean;
    isReused: boolean;
}

/** How a request was handled. Times are in milliseconds. */
export interface RequestRecord {
    requestId: string;
    route: string;
    /** Undefined for a request without a route. */
    kind: RequestKind | undefined;
    service: string;
    /** Name of the caller's workspace, if it is known. */
    workspace: string | undefined;
    /** Key of the requested object. */
    object: string;
    outcome: RequestOutcome;
    status: number;
    reason: string;
    /** Set if the request was rejected for its key. */
    denial?: AccessDenial | undefined;
    /** State of the server that a rejected request waited for. */
    detail?: string;
    configVersion: number;
    /** Maximum time for which the request may have been pending before it was read; 0 if the process was on time. */
    unreadMs: number;
    waitedMs: number;
    tookMs: number;
    deadlineMs: number;
    attempts: readonly AttemptRecord[];
}
