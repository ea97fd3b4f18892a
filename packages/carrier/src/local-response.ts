/** Answers that the system itself makes. Each says whether the request ran, and why the system answered. */
import type { ServerResponse } from "node:http";
import type { Outcome } from "@waxwingdale/core";
import { ReasonCode, outcomeHeader, reasonHeader, requestIdHeader } from "@waxwingdale/core";

export interface LocalResponse {
    status: number;
    outcome: Outcome;
    reason: ReasonCode;
    message: string;
    retryAfterSeconds?: number;
}

/** Status for each reason; a reason that is missing here answers 503. */
const statusByReason: Partial<Record<ReasonCode, number>> = {
    [ReasonCode.BadRequest]: 400,
    [ReasonCode.MissingIdempotencyKey]: 400,
    [ReasonCode.NoRoute]: 404,
    [ReasonCode.BodyTooLarge]: 413,
    [ReasonCode.KeyReused]: 422,
    [ReasonCode.InProgress]: 409,
    [ReasonCode.Replayed]: 409,
    [ReasonCode.CallerAborted]: 499,
    [ReasonCode.BackendConnectionLost]: 502,
    [ReasonCode.EntryLost]: 502,
    [ReasonCode.DeadlineExceeded]: 504,
    [ReasonCode.DeadlineTooShort]: 504,
    [ReasonCode.InternalError]: 500,
};

/** Creates an answer with the status that belongs to its reason. */
export function createLocalResponse(
    outcome: Outcome,
    reason: ReasonCode,
    message: string,
    retryAfterSeconds?: number,
): LocalResponse {
    return { status: statusByReason[reason] ?? 503, outcome, reason, message, retryAfterSeconds };
}

/** Sends an answer of the system, or resets the connection when another answer has already begun. */
export function sendLocalResponse(res: ServerResponse, requestId: string, answer: LocalResponse): void {
    if (res.headersSent) {
        res.destroy();
        return;
    }
    const body = JSON.stringify({
        requestId,
        outcome: answer.outcome,
        reason: answer.reason,
        message: answer.message,
        retryAfterSeconds: answer.retryAfterSeconds,
    });
    const headers: Record<string, string> = {
        "content-type": "application/json",
        "content-length": String(Buffer.byteLength(body)),
        [outcomeHeader]: answer.outcome,
        [reasonHeader]: answer.reason,
        [requestIdHeader]: requestId,
    };
    if (answer.retryAfterSeconds !== undefined) {
        headers["retry-after"] = String(Math.ceil(answer.retryAfterSeconds));
    }
    // An unread body would be taken for the next request on this connection.
    if (!res.req.complete) {
        headers.connection = "close";
    }
    res.writeHead(answer.status, headers);
    res.end(body);
}
