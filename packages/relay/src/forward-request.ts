/** Forwards one request: admission, attempts with retries and hedging, and the response to the caller. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { ChoiceKind, RequestKind, ServerOutcome, getRetryAfterMs } from "@waxwingdale/balancing";
import type {
    AdmissionControl,
    Balancer,
    Choice,
    Placement,
    Refusal,
    WindowedRetryBudget,
    RoutedRequest,
    Route,
} from "@waxwingdale/balancing";
import type { Clock, EventLoopMonitor } from "@waxwingdale/core";
import { onceResponseCloses, sendLocalResponse, sendUpstreamResponse } from "./caller-response.js";
import type { CrashSuspects } from "./crash-suspects.js";
import { createCrashWatch } from "./crash-watch.js";
import type { CrashObserver } from "./crash-watch.js";
import { formatRequestHead } from "./end-to-end-headers.js";
import { getCallerDeadlineMs, getDeadline } from "./request-deadline.js";
import type { Arrival } from "./request-deadline.js";
import { identifyRequest } from "./request-identity.js";
import { RequestOutcome } from "./request-outcome.js";
import type { AttemptRecord, RequestRecord } from "./request-outcome.js";
import { ResponseVerdict, canForwardFailure, judgeResponse } from "./response-verdict.js";
import { createAttemptRecord, isStale } from "./running-attempt.js";
import type { RunningAttempt } from "./running-attempt.js";
import type { ServerExaminer } from "./server-examiner.js";
import { ExchangeFailure } from "./upstream-connection.js";
import type { UpstreamResponse } from "./upstream-connection.js";
import type { UpstreamPool } from "./upstream-pool.js";
import type { RequestInfo, WireProtocol } from "./wire-protocol.js";

/** Components that all forwarded requests share. */
export interface ForwardingOptions {
    clock: Clock;
    eventLoop: EventLoopMonitor;
    protocol: WireProtocol;
    balancer: Balancer;
    admission: AdmissionControl;
    pool: UpstreamPool;
    /** Requests that may crash servers. */
    crashSuspects: CrashSuspects;
    crashObserver: CrashObserver;
    serverExaminer: ServerExaminer;
    /** Retry budget of a service. */
    getRetryBudget: (service: string) => WindowedRetryBudget;
    onRequest: (record: RequestRecord) => void;
    /** Called when another server has taken over the address of the given server. */
    onMisdirected: (serverId: string) => void;
    /** Called when a server has announced in a response that it shuts down. */
    onLeaving: (serverId: string) => void;
}

/** Multiple of the expected response time after which a hedged attempt starts. */
const hedgeFactor = 3;
/** Added to the hedge delay, for the variance of short requests. */
const hedgeSlackMs = 120;
/** A retry starts if this fraction of its expected response time fits before the deadline. */
const retryTimeFraction = 0.9;

/** A request with its route and its complete body. */
export interface RelayedRequest extends Arrival {
    req: IncomingMessage;
    res: ServerResponse;
    info: RequestInfo;
    route: Route;
    service: string;
    configVersion: number;
    body: Buffer | undefined;
}

/** Forwards one request. It ends with exactly one response, or when the caller disconnects. */
export function forwardRequest(options: ForwardingOptions, request: RelayedRequest): void {
    const { clock, protocol, balancer, admission, pool } = options;
    const { req, res, info, route, service, arrivedAt } = request;
    const isIdempotent = route.kind !== RequestKind.NonIdempotent;
    const callerDeadlineMs = getCallerDeadlineMs(info.deadlineMs);
    const deadlineAt = getDeadline(request, callerDeadlineMs, route);
    const retryBudget = options.getRetryBudget(service);
    const head = formatRequestHead(req, request.body, protocol);
    const routed: RoutedRequest = {
        route,
        service,
        objectKey: info.objectKey ?? info.requestId ?? "",
        arrivedAt,
        deadlineAt,
        tried: new Set(),
    };
    // The address is known only as long as the connection is open.
    const callerAddress = req.socket.remoteAddress;
    const crashWatch = createCrashWatch({
        requestId: info.requestId ?? "",
        clock,
        observer: options.crashObserver,
        suspects: options.crashSuspects,
        examiner: options.serverExaminer,
        identify: () => identifyRequest(req, callerAddress, info, request.body),
    });
    const running = new Set<RunningAttempt>();
    const attempts: AttemptRecord[] = [];
    /** Ids of the servers to which the request was written. */
    const sentTo = new Set<string>();
    let waitedMs = 0;
    let isDone = false;
    let forwarded: UpstreamResponse | undefined;
    /** Whether a server may have executed the request although no response can be forwarded. */
    let mayHaveExecuted = false;
    let isWritten = false;
    let lastFailure = "";
    let detail: string | undefined;
    let cancelAdmission: () => void = () => undefined;

    const deadlineTimer = clock.setTimer(deadlineAt - clock.now(), () => onDeadline());
    let delayTimer = { cancel: () => undefined as void };

    const onCallerDisconnect = () => {
        if (!isDone) {
            settle(RequestOutcome.CallerLeft, 0, "the caller closed its connection");
        }
    };
    // The response of a pipelined request emits no "close" event while it is queued behind others, so watch the socket.
    // Its "end" event comes some turns of the event loop before "close".
    req.socket.once("end", onCallerDisconnect);
    req.socket.once("close", onCallerDisconnect);

    /**
     * Sends a suspect to servers that its own fingerprint picks. Others that it has taken down with it, of the same object
     * and just as suspect, go elsewhere, so that they are not lost with it again.
     */
    const separateSuspect = () => {
        routed.objectKey = crashWatch.fingerprint();
    };

    /** The server may go on with a request that it has received, whether or not anybody waits for the response. */
    const watchAbandoned = (attempt: RunningAttempt) => {
        if (attempt.writtenAt !== undefined) {
            mayHaveExecuted = true;
            crashWatch.recordAbandoned(attempt.watched);
        }
    };

    const settle = (outcome: RequestOutcome, status: number, reason: string) => {
        isDone = true;
        req.socket.off("end", onCallerDisconnect);
        req.socket.off("close", onCallerDisconnect);
        deadlineTimer.cancel();
        delayTimer.cancel();
        cancelAdmission();
        for (const attempt of running) {
            attempt.connection.destroy();
            endAttempt(attempt, ServerOutcome.Cancelled, outcome);
            if (outcome !== RequestOutcome.Answered) {
                watchAbandoned(attempt);
            }
        }
        crashWatch.end(mayHaveExecuted || forwarded !== undefined);
        options.onRequest({
            requestId: info.requestId ?? "",
            route: route.name,
            kind: route.kind,
            service,
            object: info.objectKey ?? "",
            outcome,
            status,
            reason,
            detail,
            configVersion: request.configVersion,
            unreadMs: Math.max(request.unreadMs, request.queuedMs),
            waitedMs,
            tookMs: clock.now() - arrivedAt,
            deadlineMs: callerDeadlineMs,
            attempts,
        });
        admission.retryWaiting();
    };

    const fail = (
        outcome: RequestOutcome,
        status: number,
        reason: string,
        headers?: Record<string, string>,
    ) => {
        settle(outcome, status, reason);
        sendLocalResponse(res, status, reason, headers);
    };

    const forwardResponse = (response: UpstreamResponse) => {
        forwarded = response;
        settle(RequestOutcome.Answered, response.head.status, "");
        sendUpstreamResponse(res, response);
        onceResponseCloses(req, res, () => response.memory.release());
    };

    const refuse = ({ reason, retryAfterMs }: Pick<Refusal, "retryAfterMs"> & { reason: string }) => {
        if (mayHaveExecuted) {
            fail(RequestOutcome.Failed, 502, lastFailure);
        } else {
            fail(RequestOutcome.Refused, 503, reason, protocol.formatRetryAfter(retryAfterMs));
        }
    };

    const onDeadline = () => {
        if (!isWritten) {
            refuse({ reason: "no server had room in time", retryAfterMs: 0 });
            return;
        }
        for (const attempt of running) {
            balancer.recordNoResponse(attempt.placement);
        }
        fail(RequestOutcome.TimedOut, 504, "no answer in time");
    };

    const endAttempt = (
        attempt: RunningAttempt,
        outcome: ServerOutcome,
        result: string,
        response?: UpstreamResponse,
    ) => {
        running.delete(attempt);
        const { placement } = attempt;
        balancer.finish(routed, placement, {
            outcome,
            firstByteMs: response?.firstByteMs,
            load: response?.info.load,
            responseBytes: response?.body.length,
            writtenAt: attempt.writtenAt,
            response: response?.info.isMisdirected ? undefined : response?.info,
        });
        attempts.push(createAttemptRecord(attempt, result, arrivedAt, clock.now()));
    };

    /** Whether the request may be sent to the server without reaching more servers than the route allows. */
    const isWithinAttempts = ({ server }: Placement): boolean => {
        const servers = new Set(sentTo);
        running.forEach(({ placement }) => servers.add(placement.server.record.id));
        return servers.add(server.record.id).size <= route.maxAttempts;
    };

    /** Retries if the attempt limit, the retry budget and the deadline allow it; otherwise calls `giveUp`. */
    const retry = (wasSent: boolean, giveUp: () => void) => {
        if (running.size > 0) {
            return;
        }
        if (crashWatch.isExhausted() || clock.now() >= deadlineAt) {
            giveUp();
            return;
        }
        const choice = balancer.choose(routed);
        const fits =
            choice.kind === ChoiceKind.Send &&
            isWithinAttempts(choice) &&
            clock.now() + choice.expectedMs * retryTimeFraction < deadlineAt &&
            (!wasSent || retryBudget.tryAcquire(clock.now()));
        if (fits) {
            send(choice);
        } else {
            giveUp();
        }
    };

    /** Retries only idempotent requests, because the server may have executed this one. */
    const retryIfIdempotent = (giveUp: () => void) => {
        if (isIdempotent) {
            retry(true, giveUp);
        } else {
            giveUp();
        }
    };

    const onFailure = (
        attempt: RunningAttempt,
        failure: ExchangeFailure,
        detail: string,
        hasReceived: boolean,
    ) => {
        if (failure === ExchangeFailure.NotWritten) {
            endAttempt(attempt, ServerOutcome.Cancelled, failure);
            routed.tried.delete(attempt.placement.server.record.id);
            lastFailure = "the connection to the backend server was closed";
            retry(false, () => refuse({ reason: lastFailure, retryAfterMs: getRetryDelayMs() }));
            return;
        }
        if (failure === ExchangeFailure.NotConnected) {
            endAttempt(attempt, ServerOutcome.Unreachable, failure);
            lastFailure = "no backend server could be reached";
            retry(false, () => refuse({ reason: lastFailure, retryAfterMs: getRetryDelayMs() }));
            return;
        }
        if (failure === ExchangeFailure.ConnectionLost && !hasReceived && isStale(attempt, clock.now())) {
            // The server had very likely closed the connection before the request arrived: it may get the request again.
            pool.recordStale(attempt.idleMs ?? 0);
            endAttempt(attempt, ServerOutcome.Cancelled, `stale: ${detail}`);
            routed.tried.delete(attempt.placement.server.record.id);
        } else {
            endAttempt(attempt, ServerOutcome.Broken, `${failure}: ${detail}`);
        }
        mayHaveExecuted = true;
        lastFailure = "the backend server's answer was lost";
        const giveUp = () => fail(RequestOutcome.Failed, 502, lastFailure);
        if (failure !== ExchangeFailure.ConnectionLost) {
            watchAbandoned(attempt);
            retryIfIdempotent(giveUp);
            return;
        }
        crashWatch.recordLoss(attempt.watched, () => {
            if (!isDone) {
                retryIfIdempotent(giveUp);
            }
        });
    };

    const getRetryDelayMs = () => getRetryAfterMs(routed, clock.now());

    const onNotRun = (attempt: RunningAttempt, response: UpstreamResponse) => {
        const isMisdirected = response.info.isMisdirected;
        endAttempt(
            attempt,
            isMisdirected ? ServerOutcome.Unreachable : ServerOutcome.Shed,
            `not-run ${response.head.status}`,
            response,
        );
        if (isMisdirected) {
            options.onMisdirected(attempt.placement.server.record.id);
        }
        retry(true, () =>
            refuse({ reason: "the backend server had no room", retryAfterMs: getRetryDelayMs() }),
        );
    };

    const onServerFailure = (attempt: RunningAttempt, response: UpstreamResponse) => {
        const { status } = response.head;
        endAttempt(attempt, ServerOutcome.Failure, `status ${status}`, response);
        crashWatch.recordFailure();
        mayHaveExecuted = true;
        lastFailure = `the backend server answered ${status}`;
        const giveUp = () => {
            if (canForwardFailure(response)) {
                forwardResponse(response);
            } else {
                fail(RequestOutcome.Failed, 502, lastFailure);
            }
        };
        retryIfIdempotent(giveUp);
    };

    /** The body may be a part of the whole: an idempotent request is retried, and the response forwarded if it cannot be. */
    const onDoubtfulResponse = (attempt: RunningAttempt, response: UpstreamResponse) => {
        endAttempt(attempt, ServerOutcome.Broken, "malformed: bytes behind the response", response);
        mayHaveExecuted = true;
        lastFailure = "the backend server's answer was damaged";
        retry(true, () => forwardResponse(response));
    };

    const onResponse = (attempt: RunningAttempt, response: UpstreamResponse) => {
        if (response.info.isLeaving && !response.info.isMisdirected) {
            options.onLeaving(attempt.placement.server.record.id);
        }
        const verdict = judgeResponse(response);
        if (verdict === ResponseVerdict.Success) {
            crashWatch.recordSuccess();
        }
        switch (verdict) {
            case ResponseVerdict.NotExecuted:
                onNotRun(attempt, response);
                break;
            case ResponseVerdict.Failure:
                onServerFailure(attempt, response);
                break;
            case ResponseVerdict.Success:
                if (isIdempotent && response.isFollowedByOther) {
                    onDoubtfulResponse(attempt, response);
                    break;
                }
                endAttempt(attempt, ServerOutcome.Success, `status ${response.head.status}`, response);
                forwardResponse(response);
                break;
        }
        if (forwarded !== response) {
            response.memory.release();
        }
    };

    /** Sends an idempotent request to a second server, if no response has come in the time that was expected. */
    const hedge = (placement: Placement) => {
        if (!isIdempotent || sentTo.size >= route.maxAttempts || crashWatch.isSuspect()) {
            return;
        }
        const choice = balancer.choose(routed);
        const fits =
            choice.kind === ChoiceKind.Send &&
            isWithinAttempts(choice) &&
            choice.waitMs === 0 &&
            clock.now() + choice.expectedMs < deadlineAt &&
            retryBudget.tryAcquire(clock.now());
        if (fits) {
            balancer.recordNoResponse(placement);
            send(choice);
        }
    };

    const scheduleDelayCheck = (attempt: RunningAttempt) => {
        delayTimer.cancel();
        const { placement } = attempt;
        delayTimer = clock.setTimer(placement.expectedMs * hedgeFactor + hedgeSlackMs, () => {
            if (running.has(attempt) && attempt.writtenAt !== undefined) {
                crashWatch.recordDelay(attempt.watched);
            }
            hedge(placement);
        });
    };

    /** Hedges at once, as the response may have gone to another request, unless it comes with the same bytes. */
    const onMisnamed = (attempt: RunningAttempt) => {
        delayTimer.cancel();
        delayTimer = clock.setTimer(0, () => {
            if (running.has(attempt)) {
                hedge(attempt.placement);
            }
        });
    };

    const send = (placement: Placement) => {
        const now = clock.now();
        balancer.start(routed, placement);
        const { server } = placement;
        const { connection, idleMs } = pool.acquire(server, {
            isIdempotent,
            requestId: info.requestId,
        });
        const attempt: RunningAttempt = {
            placement,
            connection,
            sentAt: now,
            watched: { server, sentAt: now },
            idleMs,
            writtenAt: undefined,
            wasCallerPaused: false,
        };
        running.add(attempt);
        connection.exchange(
            {
                requestId: info.requestId,
                hasResponseBody: req.method !== "HEAD",
                isLate: request.unreadMs > 0 || request.queuedMs > 0,
                deadlineAt,
                formatHead: remainingMs =>
                    `${head}${protocol.formatAttemptHeaders(remainingMs, server.record.id)}\r\n`,
                body: request.body,
            },
            {
                onWritten: () => {
                    isWritten = true;
                    sentTo.add(server.record.id);
                    attempt.writtenAt = clock.now();
                    attempt.wasCallerPaused = req.socket.isPaused();
                },
                onResponse: response => onResponse(attempt, response),
                onMisnamed: () => onMisnamed(attempt),
                onFailure: (...failure) => onFailure(attempt, ...failure),
            },
        );
        scheduleDelayCheck(attempt);
    };

    /** Sends a request on trial, to a server that lives: the end of one that hangs already would count as a crash. */
    const sendOnTrial = async (first: Placement) => {
        let choice: Choice = first;
        while (choice.kind === ChoiceKind.Send && !isDone) {
            if (await options.serverExaminer.isResponding(choice.server)) {
                if (!isDone) {
                    send(choice);
                }
                return;
            }
            balancer.recordNoResponse(choice);
            routed.tried.add(choice.server.record.id);
            choice = balancer.choose(routed);
        }
        if (!isDone) {
            refuse({ reason: "no server has responded to a health check", retryAfterMs: getRetryDelayMs() });
        }
    };

    /** Returns whether the request was rejected, since it crashes servers. */
    const refuseIfQuarantined = (): boolean => {
        const retryAfterMs = crashWatch.rejectedMs();
        if (retryAfterMs > 0) {
            detail = `fingerprint ${crashWatch.fingerprint()}`;
            refuse({ reason: "the request crashed servers", retryAfterMs });
        }
        return retryAfterMs > 0;
    };

    if (refuseIfQuarantined()) {
        return;
    }
    if (crashWatch.isSuspect()) {
        separateSuspect();
    }
    retryBudget.countRequest(arrivedAt);
    cancelAdmission = admission.request(routed, admitted => {
        waitedMs = clock.now() - arrivedAt;
        if (refuseIfQuarantined()) {
            return;
        }
        if ("refusal" in admitted) {
            detail = admitted.refusal.detail;
            refuse(admitted.refusal);
        } else {
            const { placement } = admitted;
            if (crashWatch.begin()) {
                void sendOnTrial(placement);
            } else {
                send(placement);
            }
        }
    });
}
