/** How a request of a caller ended, for logs and metrics. */
import type { RequestKind } from "@waxwingdale/balancing";

export enum RequestOutcome {
    /** The backend server's answer was passed on. */
    Answered = "answered",
    /** The request did not run and the caller was told so. */
    Refused = "refused",
    /** The request may have run and there is no answer. */
    Failed = "failed",
    TimedOut = "timed-out",
    CallerLeft = "caller-left",
    NoRoute = "no-route",
}

/** One send of a request to a backend server. */
export interface AttemptRecord {
    server: string;
    zone: string;
    result: string;
    expectedMs: number;
    tookMs: number;
    isReused: boolean;
}

/** Everything that decided about a request. Times are in milliseconds. */
export interface RequestRecord {
    requestId: string;
    route: string;
    /** Undefined for a request without a route. */
    kind: RequestKind | undefined;
    service: string;
    /** Object that the request concerns. */
    object: string;
    outcome: RequestOutcome;
    status: number;
    reason: string;
    /** What was known of the server for which a refused request waited. */
    detail?: string;
    configVersion: number;
    waitedMs: number;
    tookMs: number;
    deadlineMs: number;
    attempts: readonly AttemptRecord[];
}
