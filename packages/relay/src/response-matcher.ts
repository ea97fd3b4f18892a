/** Tells whether a response on a connection to a backend server is that to the request in flight. */
import type { ResponseHead } from "./head-reader.js";
import type { ResponseInfo } from "./wire-protocol.js";

/** Why a response, or other bytes, are not taken for the response to the request in flight. */
export enum ResponseMismatch {
    /** It names a request that was sent on the connection before. */
    EarlierRequest = "earlier-request",
    /** It names a request that was not sent on the connection. */
    OtherRequest = "other-request",
    /** It names no request, and repeats the rejection of the request before. */
    RepeatedRejection = "repeated-rejection",
    /** It names no request. */
    NoId = "no-id",
    /** It names several requests. */
    SeveralIds = "several-ids",
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
    /** Whether the request, or another one with its id, was sent on the connection lately. */
    hasSent(requestId: string): boolean;
    /** Returns undefined if the response is that to the last request. */
    findMismatch(head: ResponseHead, info: ResponseInfo): ResponseMismatch | undefined;
}

/** Number of ids of earlier requests that a connection keeps. */
const maxEarlierIds = 64;

/**
 * Whether the response to the request in flight is lost. A response that cannot be told from it was very likely the one, and
 * a later one would be the server's second word.
 */
export function isResponseLost(mismatch: ResponseMismatch): boolean {
    return mismatch === ResponseMismatch.NoId || mismatch === ResponseMismatch.SeveralIds;
}

export function createResponseMatcher(): ResponseMatcher {
    const earlierIds: string[] = [];
    let requests = 0;
    let current: string | undefined;
    /** Identifies the last rejection; undefined if the response before was none. */
    let lastRejection: string | undefined;

    const isReused = () => requests > 1;

    /** Without an id, a response belongs to the only request of a connection, if that has no id or was not executed. */
    const findMismatchWithoutId = (head: ResponseHead, { isNotRun, isMisdirected }: ResponseInfo) => {
        if (!isReused() && (current === undefined || isNotRun || isMisdirected)) {
            return undefined;
        }
        const isRepeated = isNotRun && describeRejection(head) === lastRejection;
        return isRepeated ? ResponseMismatch.RepeatedRejection : ResponseMismatch.NoId;
    };

    const findMismatch = (head: ResponseHead, info: ResponseInfo): ResponseMismatch | undefined => {
        const { requestId } = info;
        if (info.hasSeveralIds) {
            return ResponseMismatch.SeveralIds;
        }
        if (requestId === undefined) {
            return findMismatchWithoutId(head, info);
        }
        if (requestId === current) {
            return undefined;
        }
        return earlierIds.includes(requestId)
            ? ResponseMismatch.EarlierRequest
            : ResponseMismatch.OtherRequest;
    };

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
        hasSent: requestId => requestId === current || earlierIds.includes(requestId),
        findMismatch: (head, info) => {
            const mismatch = findMismatch(head, info);
            if (mismatch === undefined) {
                lastRejection = info.isNotRun ? describeRejection(head) : undefined;
            }
            return mismatch;
        },
    };
}

function describeRejection({ status, headers }: ResponseHead): string {
    return `${status} ${headers.get("content-length") ?? ""}`;
}
