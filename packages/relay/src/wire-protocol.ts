/** Abstracts the headers of a platform that carry request metadata, such as ids, deadlines and load. */
import type { IncomingHttpHeaders } from "node:http";
import type { LoadReport, RateLimitReport } from "@waxwingdale/balancing";

/** Metadata in the headers of a request. */
export interface RequestInfo {
    /** Identifies one attempt by the caller. */
    requestId: string | undefined;
    /** How long the caller waits for a response. */
    deadlineMs: number | undefined;
    /** Identifies the requested object. */
    objectKey: string | undefined;
    /** Identifies the key of the caller's workspace as the configuration does, by a digest. It must not be logged. */
    apiKey?: string | undefined;
}

/** Metadata in the headers of a backend server's response. */
export interface ResponseInfo {
    /** Ids of the requests that the response names: that to which it belongs, unless the server is faulty. */
    requestIds: readonly string[];
    /** Id of the server, if the response names it, as those to health checks do. */
    serverId: string | undefined;
    /** Whether the server states that it did not execute the request. */
    isNotRun: boolean;
    /** Whether the request reached another server, which now uses the address. It was not executed. */
    isMisdirected: boolean;
    /** Whether the response carries the server's signature. */
    isSigned: boolean;
    load: LoadReport | undefined;
    /** Time in milliseconds for which the server wants no requests from this instance, if it rejected one. */
    retryAfterMs: number | undefined;
    /** Whether the server announces that it shuts down and wants no further requests. */
    isLeaving: boolean;
    /** Limit for the requests of all instances together; undefined if the response names none. */
    rateLimit: RateLimitReport | undefined;
}

export abstract class WireProtocol {
    abstract readRequest(headers: IncomingHttpHeaders): RequestInfo;
    /**
     * Whether the relay replaces this request header with its own. The name is in lower case. `needsKeys` is true where the
     * configuration has workspaces.
     */
    abstract replacesRequestHeader(name: string, needsKeys: boolean): boolean;
    /** Formats the headers that tell a backend server whose request it is. */
    abstract formatWorkspaceHeaders(workspaceName: string): string;
    /** Formats the headers of an attempt: the remaining time of the caller, and the id of the intended server. */
    abstract formatAttemptHeaders(deadlineMs: number, serverId: string): string;
    /**
     * Reads the metadata of a response. Header names are in lower case; `contradictory` has the values of those that were
     * received with different ones.
     */
    abstract readResponse(
        status: number,
        headers: ReadonlyMap<string, string>,
        contradictory?: ReadonlyMap<string, readonly string[]>,
    ): ResponseInfo;
    /** Formats the headers that tell the caller when to retry a rejected request. */
    abstract formatRetryAfter(retryAfterMs: number): Record<string, string>;
}
