/** State of one request while it is being forwarded. */
import { RequestKind } from "@waxwingdale/balancing";
import type { RoutedRequest, ServerOutcome } from "@waxwingdale/balancing";
import { createCrashWatch } from "./crash-watch.js";
import type { CrashWatch } from "./crash-watch.js";
import type { ForwardingOptions, RelayedRequest } from "./forwarding-options.js";
import { getCallerDeadlineMs, getDeadline } from "./request-deadline.js";
import { identifyRequest } from "./request-identity.js";
import type { AttemptRecord } from "./request-outcome.js";
import { createAttemptRecord } from "./running-attempt.js";
import type { RunningAttempt } from "./running-attempt.js";
import type { UpstreamResponse } from "./upstream-connection.js";

export interface ForwardedRequest {
    readonly request: RelayedRequest;
    readonly isIdempotent: boolean;
    readonly callerDeadlineMs: number;
    /** Clock time at which the caller gets a response at the latest. */
    readonly deadlineAt: number;
    readonly routed: RoutedRequest;
    readonly crashWatch: CrashWatch;
    readonly running: Set<RunningAttempt>;
    /** Attempts that have ended. */
    readonly attempts: AttemptRecord[];
    /** Ids of the servers to which the request was written. */
    readonly sentTo: Set<string>;
    /** Time in milliseconds that the request has waited for a server. */
    waitedMs: number;
    /** Whether the request has ended. */
    isDone: boolean;
    /** The response that the caller gets, if it is one of a server. */
    forwarded: UpstreamResponse | undefined;
    /** Whether a server may have executed the request although no response can be forwarded. */
    mayHaveExecuted: boolean;
    /** Why the last attempt gave no response to forward. */
    lastFailure: string;
    /** For the record: state of the server that the request waited for, or why it was rejected. */
    detail: string | undefined;
}

export function createForwardedRequest(
    options: ForwardingOptions,
    request: RelayedRequest,
): ForwardedRequest {
    const { req, info, identity, route, service, arrivedAt } = request;
    const callerDeadlineMs = getCallerDeadlineMs(info.deadlineMs);
    const deadlineAt = getDeadline(request, callerDeadlineMs, route);
    // The address is known only as long as the connection is open.
    const callerAddress = req.socket.remoteAddress;
    return {
        request,
        isIdempotent: route.kind !== RequestKind.NonIdempotent,
        callerDeadlineMs,
        deadlineAt,
        routed: {
            route,
            service,
            workspace: identity.workspace,
            bodyBytes: request.body?.length ?? 0,
            objectKey: info.objectKey ?? info.requestId ?? "",
            arrivedAt,
            deadlineAt,
            tried: new Set(),
        },
        crashWatch: createCrashWatch({
            requestId: info.requestId ?? "",
            clock: options.clock,
            observer: options.crashObserver,
            suspects: options.crashSuspects,
            examiner: options.serverExaminer,
            identify: () => identifyRequest(req, callerAddress, info, request.body),
            beginTrial: options.beginTrial,
        }),
        running: new Set(),
        attempts: [],
        sentTo: new Set(),
        waitedMs: 0,
        isDone: false,
        forwarded: undefined,
        mayHaveExecuted: false,
        lastFailure: "",
        detail: undefined,
    };
}

/** Takes an attempt out of those that run, and reports it to the balancer. */
export function endAttempt(
    { balancer, clock }: ForwardingOptions,
    state: ForwardedRequest,
    attempt: RunningAttempt,
    outcome: ServerOutcome,
    result: string,
    response?: UpstreamResponse,
): void {
    state.running.delete(attempt);
    balancer.finish(state.routed, attempt.placement, {
        outcome,
        firstByteMs: response?.firstByteMs,
        load: response?.info.load,
        responseBytes: response?.body.length,
        writtenAt: attempt.writtenAt,
        response: response?.info.isMisdirected ? undefined : response?.info,
    });
    state.attempts.push(createAttemptRecord(attempt, result, state.request.arrivedAt, clock.now()));
}

/** The server may go on with a request that it has received, whether or not anybody waits for the response. */
export function watchAbandoned(state: ForwardedRequest, attempt: RunningAttempt): void {
    if (attempt.writtenAt !== undefined) {
        state.mayHaveExecuted = true;
        state.crashWatch.recordAbandoned(attempt.watched);
    }
}
