/** Decides what follows a complete response of a server. */
import { ServerOutcome } from "@waxwingdale/balancing";
import type { AttemptSender } from "./attempt-sender.js";
import { endAttempt } from "./forwarded-request.js";
import type { ForwardedRequest } from "./forwarded-request.js";
import type { ForwardingOptions } from "./forwarding-options.js";
import type { RequestEnd } from "./request-end.js";
import { ResponseVerdict, canForwardFailure, judgeResponse } from "./response-verdict.js";
import type { RunningAttempt } from "./running-attempt.js";
import type { UpstreamResponse } from "./upstream-connection.js";

export type HandleResponse = (attempt: RunningAttempt, response: UpstreamResponse) => void;

export function createResponseHandler(
    options: ForwardingOptions,
    state: ForwardedRequest,
    end: RequestEnd,
    sender: () => AttemptSender,
): HandleResponse {
    const { crashWatch } = state;

    const onNotRun = (attempt: RunningAttempt, response: UpstreamResponse) => {
        const { isMisdirected } = response.info;
        const outcome = isMisdirected ? ServerOutcome.Unreachable : ServerOutcome.Shed;
        endAttempt(options, state, attempt, outcome, `not-run ${response.head.status}`, response);
        if (isMisdirected) {
            options.onMisdirected(attempt.placement.server.record.id);
        }
        const attempts = sender();
        const reason = "the backend server had no room";
        attempts.retry(true, () => end.refuse({ reason, retryAfterMs: attempts.retryDelayMs() }));
    };

    const onServerFailure = (attempt: RunningAttempt, response: UpstreamResponse) => {
        const { status } = response.head;
        endAttempt(options, state, attempt, ServerOutcome.Failure, `status ${status}`, response);
        crashWatch.recordFailure();
        state.mayHaveExecuted = true;
        state.lastFailure = `the backend server answered ${status}`;
        sender().retryIfIdempotent(() => {
            if (canForwardFailure(response)) {
                end.forward(response);
            } else {
                end.fail(state.lastFailure);
            }
        });
    };

    /** The body may be a part of the whole one, so the response must not reach the caller, whatever its status. */
    const onDoubtful = (attempt: RunningAttempt, response: UpstreamResponse) => {
        const result = `malformed: ${response.endDoubt}`;
        endAttempt(options, state, attempt, ServerOutcome.Broken, result, response);
        crashWatch.recordFailure();
        state.mayHaveExecuted = true;
        state.lastFailure = "the backend server's answer was damaged";
        sender().retryWhenAdmitted(() => end.fail(state.lastFailure));
    };

    const onSuccess = (attempt: RunningAttempt, response: UpstreamResponse) => {
        crashWatch.recordSuccess();
        const result = `status ${response.head.status}`;
        endAttempt(options, state, attempt, ServerOutcome.Success, result, response);
        end.forward(response);
    };

    const handleVerdict = {
        [ResponseVerdict.NotExecuted]: onNotRun,
        [ResponseVerdict.Failure]: onServerFailure,
        [ResponseVerdict.Doubtful]: onDoubtful,
        [ResponseVerdict.Success]: onSuccess,
    };

    return (attempt, response) => {
        if (response.info.isLeaving && !response.info.isMisdirected) {
            options.onLeaving(attempt.placement.server.record.id);
        }
        handleVerdict[judgeResponse(response)](attempt, response);
        if (state.forwarded !== response) {
            response.memory.release();
        }
    };
}
