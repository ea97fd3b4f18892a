/** Runs non-idempotent requests with a claim on their idempotency key, and replays recorded outcomes. */
import type { ServerResponse } from "node:http";
import {
    ClaimState,
    ClaimsUnavailableError,
    Outcome,
    ReasonCode,
    outcomeHeader,
    reasonHeader,
    requestIdHeader,
} from "@waxwingdale/core";
import type { ClaimOutcome, ClaimRequest, ClaimResult, RecordedResponse } from "@waxwingdale/core";
import { AttemptKind } from "./attempt.js";
import type { AttemptResult } from "./attempt.js";
import type { CarrierOptions } from "./carrier-options.js";
import { createLocalResponse, sendLocalResponse } from "./local-response.js";
import type { LocalResponse } from "./local-response.js";
import type { RequestContext } from "./request-context.js";
import { createResponseCapture } from "./response-capture.js";
import type { RecordingCapture } from "./response-capture.js";

type RunAttempts = (capture: RecordingCapture) => Promise<AttemptResult>;

/** Retry-After while the store is unavailable, in seconds. */
const claimsRetryAfterSeconds = 2;

/** Returns the result of the attempts, or the response to send if the claim is not granted. */
export async function runWithClaim(
    options: CarrierOptions,
    ctx: RequestContext,
    runAttempts: RunAttempts,
): Promise<AttemptResult | LocalResponse | RecordedResponse> {
    const claim: ClaimRequest = {
        service: ctx.service,
        key: ctx.key!,
        attemptId: ctx.id,
        requestHash: ctx.requestHash,
        deadlineAt: ctx.deadlineAt,
    };
    const earlier = await begin(options, claim);
    if (earlier.state !== ClaimState.Granted) {
        return respondToEarlierAttempt(earlier);
    }
    ctx.maySend = () => options.claims.isGrantUsable(claim);
    const capture = createResponseCapture(options.maxOutcomeBytes());
    let outcome: ClaimOutcome = { kind: "unknown" };
    try {
        const result = await runAttempts(capture);
        outcome = toClaimOutcome(result, capture);
        return result;
    } finally {
        options.claims.finish(claim, outcome);
    }
}

async function begin(
    options: CarrierOptions,
    claim: ClaimRequest,
): Promise<ClaimResult | { state: "unavailable"; message: string }> {
    try {
        return await options.claims.begin(claim);
    } catch (err) {
        if (err instanceof ClaimsUnavailableError) {
            return { state: "unavailable", message: err.message };
        }
        throw err;
    }
}

function toClaimOutcome(result: AttemptResult, capture: RecordingCapture): ClaimOutcome {
    const response = capture.getResponse();
    if (result.kind === AttemptKind.Ran && response !== undefined) {
        return { kind: "ran", response };
    }
    return result.kind === AttemptKind.NotRun ? { kind: "not-run" } : { kind: "unknown" };
}

function respondToEarlierAttempt(
    earlier: ClaimResult | { state: "unavailable"; message: string },
): LocalResponse | RecordedResponse {
    switch (earlier.state) {
        case "unavailable":
            return createLocalResponse(
                Outcome.NotRun,
                ReasonCode.ClaimsUnavailable,
                earlier.message,
                claimsRetryAfterSeconds,
            );
        case ClaimState.Finished:
            return (
                earlier.response ??
                createLocalResponse(
                    Outcome.Ran,
                    ReasonCode.Replayed,
                    "the request of this key ran before; its answer was not kept",
                )
            );
        case ClaimState.Running:
            return createLocalResponse(
                Outcome.Unknown,
                ReasonCode.InProgress,
                "an earlier attempt of this key is still running; ask /v1/outcomes later",
                1,
            );
        case ClaimState.KeyReused:
            return createLocalResponse(
                Outcome.NotRun,
                ReasonCode.KeyReused,
                "this idempotency key was used for another request; use a new key",
            );
        case ClaimState.Unknown:
        case ClaimState.Absent:
        case ClaimState.Granted:
            return createLocalResponse(
                Outcome.Unknown,
                ReasonCode.EntryLost,
                "an earlier attempt of this key was interrupted; it may have run",
            );
    }
}

/** Replays the recorded response of an idempotency key. */
export function sendRecordedResponse(
    res: ServerResponse,
    requestId: string,
    recorded: RecordedResponse,
): void {
    if (recorded.body === undefined) {
        const message = `the request of this key ran before with status ${recorded.status}; its body was too large to keep`;
        sendLocalResponse(res, requestId, createLocalResponse(Outcome.Ran, ReasonCode.Replayed, message));
        return;
    }
    const body = Buffer.from(recorded.body, "base64");
    res.writeHead(recorded.status, {
        ...recorded.headers,
        "content-length": String(body.length),
        [outcomeHeader]: Outcome.Ran,
        [reasonHeader]: ReasonCode.Replayed,
        [requestIdHeader]: requestId,
    });
    res.end(body);
}
