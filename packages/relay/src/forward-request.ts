/** Forwards one request: admission, attempts with retries and hedging, and the response to the caller. */
import type { Placement } from "@waxwingdale/balancing";
import { createAttemptSender } from "./attempt-sender.js";
import type { AttemptSender } from "./attempt-sender.js";
import { createFailureHandler } from "./failure-handler.js";
import { createForwardedRequest } from "./forwarded-request.js";
import type { ForwardedRequest } from "./forwarded-request.js";
import type { ForwardingOptions, RelayedRequest } from "./forwarding-options.js";
import { createRequestEnd } from "./request-end.js";
import type { RequestEnd } from "./request-end.js";
import { createResponseHandler } from "./response-handler.js";

const crashedServersReason = "the request crashed servers";

/** Forwards one request. It ends with exactly one response, or when the caller disconnects. */
export function forwardRequest(options: ForwardingOptions, request: RelayedRequest): void {
    const { clock, admission } = options;
    const state = createForwardedRequest(options, request);
    const { crashWatch, routed } = state;
    const end = createRequestEnd(options, state);
    if (refuseIfQuarantined(state, end)) {
        return;
    }
    const getSender = (): AttemptSender => sender;
    const sender = createAttemptSender(options, state, end, {
        onResponse: createResponseHandler(options, state, end, getSender),
        onFailure: createFailureHandler(options, state, end, getSender),
    });
    if (crashWatch.isSuspect()) {
        // A suspect goes to servers that its own fingerprint picks. Others that it has taken down with it, of the same
        // object and just as suspect, go elsewhere, so that they are not lost with it again.
        routed.objectKey = crashWatch.fingerprint();
    }
    options.getRetryBudget(request.service).countRequest(request.arrivedAt);
    let cancelAdmission: () => void = () => undefined;
    end.onEnded(() => cancelAdmission());
    cancelAdmission = admission.request(routed, admitted => {
        state.waitedMs = clock.now() - request.arrivedAt;
        if (refuseIfQuarantined(state, end)) {
            return;
        }
        if ("refusal" in admitted) {
            state.detail = admitted.refusal.detail;
            end.refuse(admitted.refusal);
        } else if (crashWatch.needsTrial()) {
            void sendOnTrial(state, end, sender, admitted.placement);
        } else {
            sender.send(admitted.placement);
        }
    });
}

/** Sends the request if it may be on trial, and rejects it otherwise. */
async function sendOnTrial(
    state: ForwardedRequest,
    end: RequestEnd,
    sender: AttemptSender,
    placement: Placement,
): Promise<void> {
    const isAllowed = await state.crashWatch.beginTrial();
    if (state.isDone) {
        return;
    }
    if (isAllowed) {
        await sender.sendOnTrial(placement);
    } else if (!refuseIfQuarantined(state, end)) {
        end.refuse({ reason: crashedServersReason, retryAfterMs: sender.retryDelayMs() });
    }
}

/** Returns whether the request was rejected, since it crashes servers. */
function refuseIfQuarantined(state: ForwardedRequest, end: RequestEnd): boolean {
    const retryAfterMs = state.crashWatch.rejectedMs();
    if (retryAfterMs > 0) {
        state.detail = `fingerprint ${state.crashWatch.fingerprint()}`;
        end.refuse({ reason: crashedServersReason, retryAfterMs });
    }
    return retryAfterMs > 0;
}
