/** What a backend server's response means for the request. */
import { EndDoubt } from "./response-end.js";
import type { UpstreamResponse } from "./upstream-connection.js";

export enum ResponseVerdict {
    /** The response can be forwarded. */
    Success = "success",
    /** The server states that it did not execute the request. */
    NotExecuted = "not-run",
    /** The server may have executed the request, but failed or sent no valid response. */
    Failure = "failure",
    /** The server may have executed the request, and its response may have been broken off. */
    Doubtful = "doubtful",
}

/** Statuses that tell the caller that its request was not executed. */
const notExecutedStatuses = new Set([503, 429, 408, 421]);

export function judgeResponse({ head, info, endDoubt }: UpstreamResponse): ResponseVerdict {
    const isNotExecuted = info.isMisdirected || (info.isNotRun && head.status >= 400);
    // What the head states holds although the body is damaged, unless another response, which may contradict it, follows.
    if (isNotExecuted && endDoubt !== EndDoubt.ContainsResponse) {
        return ResponseVerdict.NotExecuted;
    }
    if (endDoubt !== undefined) {
        return ResponseVerdict.Doubtful;
    }
    // A success that states that the request was not executed contradicts itself.
    const isFailure = info.isNotRun || head.status >= 500 || notExecutedStatuses.has(head.status);
    return isFailure || !info.isSigned ? ResponseVerdict.Failure : ResponseVerdict.Success;
}

/** Whether a failed response may be forwarded: it must not tell the caller what the server did not state. */
export function canForwardFailure({ head, info }: UpstreamResponse): boolean {
    return info.isSigned && !info.isNotRun && !notExecutedStatuses.has(head.status);
}
