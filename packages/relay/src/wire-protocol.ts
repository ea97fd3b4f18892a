/** How requests and answers carry what the relay needs to know. The platform's headers are behind this class. */
import type { IncomingHttpHeaders } from "node:http";
import type { LoadReport } from "@waxwingdale/balancing";

/** What a caller says about its request. */
export interface RequestInfo {
    /** Identifies one attempt of a caller. */
    requestId: string | undefined;
    /** Time in milliseconds that the caller waits. */
    deadlineMs: number | undefined;
    /** Identifies the object that the request concerns. */
    objectKey: string | undefined;
}

/** What a backend server says with its answer. */
export interface ResponseInfo {
    /** Id of the request that the answer belongs to. */
    requestId: string | undefined;
    /** The server states that it did not run the request. */
    isNotRun: boolean;
    /** Another server has the address; the request did not run. */
    isMisdirected: boolean;
    /** The answer bears the server's signature. */
    isSigned: boolean;
    load: LoadReport | undefined;
}

export abstract class WireProtocol {
    abstract readRequest(headers: IncomingHttpHeaders): RequestInfo;
    /** Whether the relay replaces a request header by its own. The name is in lower case. */
    abstract replacesRequestHeader(name: string): boolean;
    /** Header lines of an attempt: what is left of the caller's time, and the server that the request is meant for. */
    abstract formatAttemptHeaders(deadlineMs: number, serverId: string): string;
    /** Reads an answer; header names are in lower case. */
    abstract readResponse(status: number, headers: ReadonlyMap<string, string>): ResponseInfo;
    /** Headers of a refusal that ask the caller to come back after a time. */
    abstract formatRetryAfter(retryAfterMs: number): Record<string, string>;
}
