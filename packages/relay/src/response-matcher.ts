/** Tells whether a response on a connection to a backend server is that to the request in flight. */
import type { ResponseInfo } from "./wire-protocol.js";

/** Why a response, or other bytes, are not taken for the response to the request in flight. */
export enum ResponseMismatch {
    /** It names a request that was sent on the connection before. */
    EarlierRequest = "earlier-request",
    /** It names a request that was not sent on the connection. */
    OtherRequest = "other-request",
    /** It names no request. */
    NoId = "no-id",
    /** It comes behind the response to the request. */
    Surplus = "surplus",
    /** No request was in flight. */
    Unsolicited = "unsolicited",
}

/** A response that was not taken for that to the request in flight. */
export interface SkippedResponse {
    mismatch: ResponseMismatch;
    /** Id of the request in flight; undefined if there was none, or if it has none. */
    requestId: string | undefined;
    /** Id that the response names. */
    responseId: string | undefined;
    /** Undefined for bytes that were not read as a response. */
    status: number | undefined;
    /** Whether an earlier request was sent on the connection. */
    isReused: boolean;
}

/** Follows the requests on one connection. */
export interface ResponseMatcher {
    /** Must be called for each request before its response is read. */
    addRequest(requestId: string | undefined): void;
    /** Whether an earlier request was sent on the connection. */
    isReused(): boolean;
    /** Returns undefined if the response is that to the last request. */
    findMismatch(info: ResponseInfo): ResponseMismatch | undefined;
}

/** Number of ids of earlier requests that a connection keeps. */
const maxEarlierIds = 64;

export function createResponseMatcher(): ResponseMatcher {
    const earlierIds: string[] = [];
    let requests = 0;
    let current: string | undefined;

    const isReused = () => requests > 1;

    return {
        addRequest: requestId => {
            if (current !== undefined) {
                earlierIds.push(current);
                earlierIds.splice(0, earlierIds.length - maxEarlierIds);
            }
            requests += 1;
            current = requestId;
        },
        isReused,
        findMismatch: ({ requestId, isNotRun, isMisdirected }) => {
            if (requestId === undefined) {
                // Later on the connection it may be a copy of an earlier response.
                const isOwn = !isReused() && (current === undefined || isNotRun || isMisdirected);
                return isOwn ? undefined : ResponseMismatch.NoId;
            }
            if (requestId === current) {
                return undefined;
            }
            return earlierIds.includes(requestId)
                ? ResponseMismatch.EarlierRequest
                : ResponseMismatch.OtherRequest;
        },
    };
}
