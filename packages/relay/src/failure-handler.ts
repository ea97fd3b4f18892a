/** Decides what follows an attempt that has ended without a response. */
import { ServerOutcome } from "@waxwingdale/balancing";
import type { AttemptSender } from "./attempt-sender.js";
import { endAttempt, watchAbandoned } from "./forwarded-request.js";
import type { ForwardedRequest } from "./forwarded-request.js";
import type { ForwardingOptions } from "./forwarding-options.js";
import type { RequestEnd } from "./request-end.js";
import { isStale } from "./running-attempt.js";
import type { RunningAttempt } from "./running-attempt.js";
import { ExchangeFailure } from "./upstream-connection.js";

export type HandleFailure = (
    attempt: RunningAttempt,
    failure: ExchangeFailure,
    detail: string,
    hasReceived: boolean,
) => void;

export function createFailureHandler(
    options: ForwardingOptions,
    state: ForwardedRequest,
    end: RequestEnd,
    sender: () => AttemptSender,
): HandleFailure {
    const { clock, pool } = options;
    const { routed, crashWatch } = state;

    const allowAgain = ({ placement }: RunningAttempt) => routed.tried.delete(placement.server.record.id);

    /** The server has not got the request. */
    const retryUnsent = (reason: string) => {
        state.lastFailure = reason;
        const attempts = sender();
        attempts.retry(false, () => end.refuse({ reason, retryAfterMs: attempts.retryDelayMs() }));
    };

    const endSent = (
        attempt: RunningAttempt,
        failure: ExchangeFailure,
        detail: string,
        hasReceived: boolean,
    ) => {
        if (failure === ExchangeFailure.ConnectionLost && !hasReceived && isStale(attempt, clock.now())) {
            // The server had very likely closed the connection before the request arrived: it may get the request again.
            pool.recordStale(attempt.idleMs ?? 0);
            endAttempt(options, state, attempt, ServerOutcome.Cancelled, `stale: ${detail}`);
            allowAgain(attempt);
        } else {
            endAttempt(options, state, attempt, ServerOutcome.Broken, `${failure}: ${detail}`);
        }
        state.mayHaveExecuted = true;
        state.lastFailure = "the backend server's answer was lost";
    };

    return (attempt, failure, detail, hasReceived) => {
        if (failure === ExchangeFailure.NotWritten) {
            endAttempt(options, state, attempt, ServerOutcome.Cancelled, failure);
            allowAgain(attempt);
            retryUnsent("the connection to the backend server was closed");
            return;
        }
        if (failure === ExchangeFailure.NotConnected) {
            endAttempt(options, state, attempt, ServerOutcome.Unreachable, failure);
            retryUnsent("no backend server could be reached");
            return;
        }
        endSent(attempt, failure, detail, hasReceived);
        const retryOrFail = () => sender().retryIfIdempotent(() => end.fail(state.lastFailure));
        if (failure !== ExchangeFailure.ConnectionLost) {
            watchAbandoned(state, attempt);
            retryOrFail();
            return;
        }
        crashWatch.recordLoss(attempt.watched, () => {
            if (!state.isDone) {
                retryOrFail();
            }
        });
    };
}
