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
    /** It names the request in flight and others, or several that were not sent on the connection. */
    SeveralIds = "several-ids",
    /** It comes behind the response to the request. */
    Surplus = "surplus",
    /** No request was in flight. */
    Unsolicited = "unsolicited",
}

/** A response that was not taken for that to the request in flight. */
export interface SkippedResponse {
    mismatch: ResponseMismatch;
    /** Id of the last request on the connection; undefined if it has none. */
    requestId: string | undefined;
    /** Ids that the response names. */
    responseIds: readonly string[];
    /** Undefined for bytes that were not read as a response. */
    status: number | undefined;
    /** Whether an earlier request was sent on the connection. */
    isReused: boolean;
}

/** Follows the requests on one connection. */
export interface ResponseMatcher {
    /** Must be called when a request is written. */
    addRequest(requestId: string | undefined): void;
    /** Id of the last request. */
    requestId(): string | undefined;
    /** Whether an earlier request was sent on the connection. */
    isReused(): boolean;
    /** Whether a request with this id was sent on the connection lately. */
    hasSent(requestId: string): boolean;
    /** Returns undefined if the response is that to the last request. */
    findMismatch(info: ResponseInfo): ResponseMismatch | undefined;
    /** Whether the ids of the last request and of its response tell later responses from it. */
    isIdentified(info: ResponseInfo): boolean;
}

/** Number of ids of earlier requests that a connection keeps. */
const maxEarlierIds = 64;

/**
 * Whether the response to the request in flight is lost. A response that cannot be told from it was very likely the one, and
 * the server may send another one.
 */
export function isResponseLost(mismatch: ResponseMismatch): boolean {
    return mismatch === ResponseMismatch.NoId || mismatch === ResponseMismatch.SeveralIds;
}

export function createResponseMatcher(): ResponseMatcher {
    const earlierIds: string[] = [];
    let requests = 0;
    let current: string | undefined;

    const isReused = () => requests > 1;

    /** Without an id, a response belongs to the only request of a connection if that was not executed. */
    const findMismatchWithoutId = ({ isNotRun, isMisdirected }: ResponseInfo) =>
        !isReused() && (isNotRun || isMisdirected) ? undefined : ResponseMismatch.NoId;

    const findMismatchOfIds = (ids: readonly string[]): ResponseMismatch | undefined => {
        if (ids.includes(current!)) {
            return ids.length === 1 ? undefined : ResponseMismatch.SeveralIds;
        }
        if (ids.some(id => earlierIds.includes(id))) {
            return ResponseMismatch.EarlierRequest;
        }
        return ids.length === 1 ? ResponseMismatch.OtherRequest : ResponseMismatch.SeveralIds;
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
        requestId: () => current,
        isReused,
        hasSent: requestId => requestId === current || earlierIds.includes(requestId),
        findMismatch: info => {
            if (current === undefined) {
                return isReused() ? ResponseMismatch.NoId : undefined;
            }
            return info.requestIds.length === 0
                ? findMismatchWithoutId(info)
                : findMismatchOfIds(info.requestIds);
        },
        isIdentified: ({ requestIds }) => current !== undefined && requestIds.length > 0,
    };
}
