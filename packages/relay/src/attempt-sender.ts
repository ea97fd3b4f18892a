/** Sends the attempts of a forwarded request: the first one, retries, a hedge, and one on trial. */
import { ChoiceKind, ServerOutcome, getRetryAfterMs } from "@waxwingdale/balancing";
import type { Choice, Placement } from "@waxwingdale/balancing";
import type { Timer } from "@waxwingdale/core";
import { formatRequestHead } from "./end-to-end-headers.js";
import { endAttempt } from "./forwarded-request.js";
import type { ForwardedRequest } from "./forwarded-request.js";
import type { ForwardingOptions } from "./forwarding-options.js";
import type { RequestEnd } from "./request-end.js";
import type { RunningAttempt } from "./running-attempt.js";
import type { ExchangeFailure, UpstreamResponse } from "./upstream-connection.js";

/** How an attempt ended. */
export interface AttemptEvents {
    onResponse(attempt: RunningAttempt, response: UpstreamResponse): void;
    /** @param hasReceived Whether any byte of a response has come. */
    onFailure(attempt: RunningAttempt, failure: ExchangeFailure, detail: string, hasReceived: boolean): void;
}

export interface AttemptSender {
    send(placement: Placement): void;
    /** Sends a request on trial, to a server that lives: the end of one that hangs already would count as a crash. */
    sendOnTrial(first: Placement): Promise<void>;
    /**
     * Retries if the attempt limit, the retry budget and the deadline allow it; otherwise calls `giveUp`. Does nothing while
     * another attempt runs.
     * @param wasSent Whether a server got the request, so that the retry is taken from the budget.
     */
    retry(wasSent: boolean, giveUp: () => void): void;
    /** Retries only idempotent requests, because a server may have executed this one. */
    retryIfIdempotent(giveUp: () => void): void;
    /** The same, but waits in the queue for a free slot, as a first attempt does. */
    retryWhenAdmitted(giveUp: () => void): void;
    /** Time in milliseconds after which the caller is told to retry. */
    retryDelayMs(): number;
}

/** Multiple of the expected response time after which a hedged attempt starts. */
const hedgeFactor = 3;
/** Added to the hedge delay, for the variance of short requests. */
const hedgeSlackMs = 120;
/** A retry starts if this fraction of its expected response time fits before the deadline. */
const retryTimeFraction = 0.9;

export function createAttemptSender(
    options: ForwardingOptions,
    state: ForwardedRequest,
    end: RequestEnd,
    events: AttemptEvents,
): AttemptSender {
    const { clock, protocol, balancer, pool } = options;
    const { request, routed, running, sentTo, crashWatch, deadlineAt, isIdempotent } = state;
    const { req, info, route } = request;
    const retryBudget = options.getRetryBudget(request.service);
    const head = formatRequestHead(req, request.body, protocol, request.identity);
    let delayTimer: Timer | undefined;
    end.onEnded(() => delayTimer?.cancel());

    /** Whether the request may be sent to the server without reaching more servers than the route allows. */
    const isWithinAttempts = ({ server }: Placement): boolean => {
        const servers = new Set(sentTo);
        running.forEach(({ placement }) => servers.add(placement.server.record.id));
        return servers.add(server.record.id).size <= route.maxAttempts;
    };

    const retryDelayMs = () => getRetryAfterMs(routed, clock.now());

    const isOver = () => crashWatch.isExhausted() || clock.now() >= deadlineAt;

    /** Whether a retry at the server is allowed. It is taken from the budget if so. */
    const mayRetry = (placement: Placement, wasSent: boolean): boolean =>
        isWithinAttempts(placement) &&
        clock.now() + placement.expectedMs * retryTimeFraction < deadlineAt &&
        (!wasSent || retryBudget.tryAcquire(clock.now()));

    const retry = (wasSent: boolean, giveUp: () => void) => {
        if (running.size > 0) {
            return;
        }
        const choice = isOver() ? undefined : balancer.choose(routed);
        if (choice?.kind === ChoiceKind.Send && mayRetry(choice, wasSent)) {
            send(choice);
        } else {
            giveUp();
        }
    };

    const retryWhenAdmitted = (giveUp: () => void) => {
        if (running.size > 0) {
            return;
        }
        if (!isIdempotent || isOver()) {
            giveUp();
            return;
        }
        delayTimer?.cancel();
        let cancel: () => void = () => undefined;
        end.onEnded(() => cancel());
        cancel = options.admission.request(routed, admitted => {
            if ("placement" in admitted && !isOver() && mayRetry(admitted.placement, true)) {
                send(admitted.placement);
            } else {
                giveUp();
            }
        });
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
        delayTimer?.cancel();
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
        delayTimer?.cancel();
        delayTimer = clock.setTimer(0, () => {
            if (running.has(attempt)) {
                hedge(attempt.placement);
            }
        });
    };

    const open = (placement: Placement): RunningAttempt => {
        const now = clock.now();
        const { server } = placement;
        const { connection, idleMs } = pool.acquire(server, { isIdempotent, requestId: info.requestId });
        return {
            placement,
            connection,
            sentAt: now,
            watched: { server, sentAt: now },
            idleMs,
            writtenAt: undefined,
            wasCallerPaused: false,
        };
    };

    /** Rejects a request whose key may have been withdrawn while it waited, unless another attempt runs. */
    const refuseWithdrawn = () => {
        if (running.size === 0) {
            end.refuse({ reason: "the key may have been withdrawn", retryAfterMs: 0 });
        }
    };

    const cancelUnwritten = (attempt: RunningAttempt) => {
        attempt.connection.destroy();
        endAttempt(options, state, attempt, ServerOutcome.Cancelled, "key-withdrawn");
        refuseWithdrawn();
    };

    const send = (placement: Placement) => {
        if (!request.mayBeSent()) {
            refuseWithdrawn();
            return;
        }
        balancer.start(routed, placement);
        const attempt = open(placement);
        const serverId = placement.server.record.id;
        running.add(attempt);
        attempt.connection.exchange(
            {
                requestId: info.requestId,
                hasResponseBody: req.method !== "HEAD",
                isLate: request.unreadMs > 0 || request.queuedMs > 0,
                deadlineAt,
                beforeWrite: () => {
                    const mayWrite = request.mayBeSent();
                    if (!mayWrite) {
                        cancelUnwritten(attempt);
                    }
                    return mayWrite;
                },
                formatHead: remainingMs =>
                    `${head}${protocol.formatAttemptHeaders(remainingMs, serverId)}\r\n`,
                body: request.body,
            },
            {
                onWritten: () => {
                    sentTo.add(serverId);
                    attempt.writtenAt = clock.now();
                    attempt.wasCallerPaused = req.socket.isPaused();
                },
                onResponse: response => events.onResponse(attempt, response),
                onMisnamed: () => onMisnamed(attempt),
                onFailure: (...failure) => events.onFailure(attempt, ...failure),
            },
        );
        if (running.has(attempt)) {
            scheduleDelayCheck(attempt);
        }
    };

    const sendOnTrial = async (first: Placement) => {
        let choice: Choice = first;
        while (choice.kind === ChoiceKind.Send && !state.isDone) {
            if (await options.serverExaminer.isResponding(choice.server)) {
                if (!state.isDone) {
                    send(choice);
                }
                return;
            }
            balancer.recordNoResponse(choice);
            routed.tried.add(choice.server.record.id);
            choice = balancer.choose(routed);
        }
        if (!state.isDone) {
            end.refuse({
                reason: "no server has responded to a health check",
                retryAfterMs: retryDelayMs(),
            });
        }
    };

    return {
        send,
        sendOnTrial,
        retry,
        retryIfIdempotent: giveUp => {
            if (isIdempotent) {
                retry(true, giveUp);
            } else {
                giveUp();
            }
        },
        retryWhenAdmitted,
        retryDelayMs,
    };
}
