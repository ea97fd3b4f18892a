/** Ends a forwarded request: with exactly one response, or when its caller disconnects. */
import { ServerOutcome } from "@waxwingdale/balancing";
import type { Refusal } from "@waxwingdale/balancing";
import {
    closeIfStalled,
    onceResponseCloses,
    sendLocalResponse,
    sendUpstreamResponse,
} from "./caller-response.js";
import { endAttempt, watchAbandoned } from "./forwarded-request.js";
import type { ForwardedRequest } from "./forwarded-request.js";
import type { ForwardingOptions } from "./forwarding-options.js";
import { RequestOutcome } from "./request-outcome.js";
import type { UpstreamResponse } from "./upstream-connection.js";

export interface RequestEnd {
    /** Sends a server's response to the caller. */
    forward(response: UpstreamResponse): void;
    /** Sends a failure, after which the caller does not know whether the request was executed. */
    fail(reason: string): void;
    /** States that the request was not executed, unless a server may have executed it. */
    refuse(refusal: Pick<Refusal, "retryAfterMs"> & { reason: string }): void;
    /** Calls `cleanUp` when the request ends. */
    onEnded(cleanUp: () => void): void;
}

const badGatewayStatus = 502;
const unavailableStatus = 503;
const timeoutStatus = 504;

/** Creates the end of a request, and ends it at its deadline and when its caller disconnects. */
export function createRequestEnd(options: ForwardingOptions, state: ForwardedRequest): RequestEnd {
    const { clock, protocol, balancer } = options;
    const { request, running, deadlineAt } = state;
    const { req, res } = request;
    const cleanUps: (() => void)[] = [];

    const settle = (outcome: RequestOutcome, status: number, reason: string) => {
        state.isDone = true;
        cleanUps.forEach(cleanUp => cleanUp());
        if (state.sentTo.size === 0) {
            request.refundQuota();
        }
        for (const attempt of running) {
            attempt.connection.destroy();
            endAttempt(options, state, attempt, ServerOutcome.Cancelled, outcome);
            if (outcome !== RequestOutcome.Answered) {
                watchAbandoned(state, attempt);
            }
        }
        state.crashWatch.end(state.mayHaveExecuted || state.forwarded !== undefined);
        reportRequest(options, state, outcome, status, reason);
        options.admission.retryWaiting();
    };

    const respond = (
        outcome: RequestOutcome,
        status: number,
        reason: string,
        headers?: Record<string, string>,
    ) => {
        settle(outcome, status, reason);
        sendLocalResponse(res, status, reason, headers);
    };

    const fail = (reason: string) => respond(RequestOutcome.Failed, badGatewayStatus, reason);

    const refuse: RequestEnd["refuse"] = ({ reason, retryAfterMs }) => {
        if (state.mayHaveExecuted) {
            fail(state.lastFailure);
        } else {
            respond(
                RequestOutcome.Refused,
                unavailableStatus,
                reason,
                protocol.formatRetryAfter(retryAfterMs),
            );
        }
    };

    const onDeadline = () => {
        if (state.sentTo.size === 0) {
            refuse({ reason: "no server had room in time", retryAfterMs: 0 });
            return;
        }
        for (const attempt of running) {
            balancer.recordNoResponse(attempt.placement);
        }
        respond(RequestOutcome.TimedOut, timeoutStatus, "no answer in time");
    };

    const onCallerDisconnect = () => {
        if (!state.isDone) {
            settle(RequestOutcome.CallerLeft, 0, "the caller closed its connection");
        }
    };

    const deadlineTimer = clock.setTimer(deadlineAt - clock.now(), onDeadline);
    // The response of a pipelined request emits no "close" event while it is queued behind others, so watch the socket.
    // Its "end" event comes some turns of the event loop before "close".
    req.socket.once("end", onCallerDisconnect);
    req.socket.once("close", onCallerDisconnect);
    cleanUps.push(() => {
        deadlineTimer.cancel();
        req.socket.off("end", onCallerDisconnect);
        req.socket.off("close", onCallerDisconnect);
    });

    return {
        forward: response => {
            state.forwarded = response;
            settle(RequestOutcome.Answered, response.head.status, "");
            response.memory.startSending(() => req.socket.destroy());
            sendUpstreamResponse(res, response);
            closeIfStalled(req, res);
            onceResponseCloses(req, res, () => response.memory.release());
        },
        fail,
        refuse,
        onEnded: cleanUp => void cleanUps.push(cleanUp),
    };
}

function reportRequest(
    { clock, onRequest }: ForwardingOptions,
    { request, callerDeadlineMs, waitedMs, detail, attempts }: ForwardedRequest,
    outcome: RequestOutcome,
    status: number,
    reason: string,
): void {
    const { info, identity, route, service, arrivedAt, unreadMs, queuedMs } = request;
    onRequest({
        requestId: info.requestId ?? "",
        route: route.name,
        kind: route.kind,
        service,
        workspace: identity.workspace?.name,
        object: info.objectKey ?? "",
        outcome,
        status,
        reason,
        detail,
        configVersion: request.configVersion,
        unreadMs: Math.max(unreadMs, queuedMs),
        waitedMs,
        tookMs: clock.now() - arrivedAt,
        deadlineMs: callerDeadlineMs,
        attempts,
    });
}
