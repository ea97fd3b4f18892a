/**
 * Admission control: sends, queues or rejects requests. Requests are queued at the instance rather than at a backend
 * server, so that the most urgent one gets the next free slot. A request that cannot meet its deadline is rejected
 * immediately.
 */
import type { Clock, Random, Timer } from "@waxwingdale/core";
import { createAdmissionOrder } from "./admission-order.js";
import type { QueuedRequest } from "./admission-order.js";
import type { BackendState } from "./backend-state.js";
import type { Balancer, Choice } from "./balancer.js";
import { createFairShare } from "./fair-share.js";
import { ChoiceKind } from "./placement.js";
import type { Placement, RoutedRequest } from "./placement.js";
import { createRoomForecast } from "./room-forecast.js";
import type { Workspace } from "./traffic-config.js";

export enum RefusalReason {
    /** The response cannot arrive before the deadline. */
    TooLate = "too-late",
    /** More requests are queued than can be served in time. */
    Overloaded = "overloaded",
    NoServer = "no-server",
    /** The servers have a rate limit, or have asked for a pause, that does not allow it in time. */
    Throttled = "throttled",
    CallerLeft = "caller-left",
}

export interface Refusal {
    reason: RefusalReason;
    /** Time in milliseconds after which the caller may retry. */
    retryAfterMs: number;
    waitedMs: number;
    /** State of the server that the request was queued for. */
    detail?: string;
}

export type AdmissionDecision = { placement: Placement } | { refusal: Refusal };

export interface AdmissionControl {
    /**
     * Calls `onDecision` once: synchronously if possible, otherwise when a slot becomes free or the wait times out.
     * Returns a function that cancels the request.
     */
    request(req: RoutedRequest, onDecision: (admission: AdmissionDecision) => void): () => void;
    /** Tries to place queued requests; called when a request has ended or the servers have changed. */
    retryWaiting(): void;
    waiting(): number;
}

export interface AdmissionOptions {
    clock: Clock;
    balancer: Balancer;
    /**
     * Returns the workspaces of the configuration, which compete for the slots; undefined if it has none. Returns a new array
     * when they change.
     */
    workspaces?: () => readonly Workspace[] | undefined;
    /** Spreads the minimum of workspaces with few requests over the instances. */
    random?: Random;
}

/** The server that a request must wait for. */
interface Wait {
    waitFor: BackendState;
    /** Whether the server has a rate limit or has asked for a pause, so that the end of the wait is known. */
    isThrottled: boolean;
}

interface WaitingRequest extends QueuedRequest {
    /** Clock time at which the request stops waiting and is rejected. */
    rejectAt: number;
    settle: (admission: AdmissionDecision) => void;
}

/** Fraction of the target latency that a request may always wait for a slot, even if the target will be missed. */
const minWaitFraction = 0.12;
/** Fraction of the target latency after which a queued request is rejected; the rest is needed for the work itself. */
const maxWaitFraction = 0.6;
/** Retry delay of a rejected request, as a fraction of the time to its deadline; callers honor delays up to a third. */
const retryAfterFraction = 0.3;
/** Interval in milliseconds for retrying queued requests, to pick up changes other than the end of a request. */
const retryIntervalMs = 20;
/** Maximum queue length; retrying a longer queue would take too long. */
const maxQueueLength = 200;
/** Maximum number of waiting requests that are retried before a new one may take a slot that they want. */
const maxRetriedRivals = 8;
/**
 * Multiple of the time left to wait from which the expected wait counts as too long. The margin is for slots that become free
 * faster than of late.
 */
const maxExpectedWaitFactor = 2;

/** Returns the time in milliseconds after which the caller of a rejected request may retry. */
export function getRetryAfterMs({ deadlineAt }: RoutedRequest, now: number): number {
    return Math.max(0, deadlineAt - now) * retryAfterFraction;
}

export function createAdmissionControl({
    clock,
    balancer,
    workspaces = () => undefined,
    random = () => 0.5,
}: AdmissionOptions): AdmissionControl {
    const queue: WaitingRequest[] = [];
    const fairShare = createFairShare(clock.now(), random);
    const order = createAdmissionOrder(fairShare, workspaces);
    const forecast = createRoomForecast();
    let timer: Timer | undefined;
    let isRetrying = false;

    const refuse = (
        req: RoutedRequest,
        reason: RefusalReason,
        detail?: string,
        retryAfterMs = getRetryAfterMs(req, clock.now()),
    ): AdmissionDecision => {
        const now = clock.now();
        return { refusal: { reason, retryAfterMs, waitedMs: now - req.arrivedAt, detail } };
    };

    const describeLoad = ({ record, load }: BackendState): string =>
        `${record.id} has ${load.expected(clock.now()).toFixed(1)} requests for ${record.slots} slots, ${load.inFlight()} from this instance; ${load.waiting()} waiting`;

    const describeThrottling = ({ record, health, rateLimit }: BackendState, now: number): string => {
        const pausedMs = Math.round(health.pausedUntil() - now);
        return pausedMs > 0
            ? `${record.id} has asked for no requests for another ${pausedMs} ms`
            : `${record.id} takes ${rateLimit.requestsPerSecond()} requests per second from all instances`;
    };

    /** Clock time at which a request that waits is rejected. */
    const getRejectAt = ({ route, arrivedAt }: RoutedRequest, now: number): number =>
        Math.max(
            now + route.targetLatencyMs * minWaitFraction,
            arrivedAt + route.targetLatencyMs * maxWaitFraction,
        );

    /** A request waits for a rate limit or the end of a pause only if that comes before the request would be rejected. */
    const decideThrottled = (
        req: RoutedRequest,
        { server, throttledMs }: Choice & { kind: ChoiceKind.Throttled },
        rejectAt: number,
    ): AdmissionDecision | Wait => {
        const now = clock.now();
        if (now + throttledMs <= Math.min(rejectAt, req.deadlineAt)) {
            return { waitFor: server, isThrottled: true };
        }
        const detail = describeThrottling(server, now);
        const isNear = now + throttledMs < req.deadlineAt;
        return refuse(req, RefusalReason.Throttled, detail, isNear ? throttledMs : undefined);
    };

    /** Returns the decision, or the server that the request must wait for. */
    const decide = (req: RoutedRequest, rejectAt: number): AdmissionDecision | Wait => {
        const choice = balancer.choose(req);
        switch (choice.kind) {
            case ChoiceKind.Send:
                return clock.now() + choice.expectedMs > req.deadlineAt
                    ? refuse(req, RefusalReason.TooLate)
                    : { placement: choice };
            case ChoiceKind.NoServer:
                return refuse(req, RefusalReason.NoServer);
            case ChoiceKind.Throttled:
                return decideThrottled(req, choice, rejectAt);
            case ChoiceKind.Full:
                return { waitFor: choice.server, isThrottled: false };
        }
    };

    const isBefore = (a: RoutedRequest, b: RoutedRequest) =>
        a.route.priority < b.route.priority ||
        (a.route.priority === b.route.priority && a.arrivedAt < b.arrivedAt);

    const isCompeting = () => workspaces() !== undefined;

    const recordDecision = ({ workspace, service, tried }: RoutedRequest, decision: AdmissionDecision) => {
        const now = clock.now();
        const isAdmitted = "placement" in decision;
        if (isAdmitted) {
            forecast.recordAdmitted(service, now);
        }
        if (isAdmitted && isCompeting()) {
            fairShare.recordAdmitted(workspace?.name, service, decision.placement.workMs, now);
        } else if (!isAdmitted && isCompeting() && tried.size === 0) {
            // A retry that is rejected has had its slot before.
            fairShare.recordRejected(workspace?.name, now);
        }
    };

    const enqueue = (waiting: WaitingRequest) => {
        let index = queue.length;
        while (index > 0 && isBefore(waiting.req, queue[index - 1]!.req)) {
            index--;
        }
        queue.splice(index, 0, waiting);
        waiting.server.load.addWaiting();
        forecast.addWaiting(waiting.req.service, clock.now());
    };

    const dequeue = (waiting: WaitingRequest): boolean => {
        const index = queue.indexOf(waiting);
        if (index < 0) {
            return false;
        }
        queue.splice(index, 1);
        waiting.server.load.removeWaiting();
        forecast.removeWaiting(waiting.req.service, clock.now());
        return true;
    };

    /** Retries a queued request, without counting it as waiting during the decision. */
    const retryDecision = (waiting: WaitingRequest): AdmissionDecision | undefined => {
        waiting.server.load.removeWaiting();
        const decision = decide(waiting.req, Infinity);
        if ("waitFor" in decision) {
            waiting.server = decision.waitFor;
        }
        waiting.server.load.addWaiting();
        if (!("waitFor" in decision)) {
            return decision;
        }
        return clock.now() >= waiting.rejectAt
            ? refuse(waiting.req, RefusalReason.Overloaded, describeLoad(waiting.server))
            : undefined;
    };

    const settle = (waiting: WaitingRequest, decision: AdmissionDecision) => {
        recordDecision(waiting.req, decision);
        if (dequeue(waiting)) {
            waiting.settle(decision);
        }
    };

    const retry = (waiting: WaitingRequest) => {
        // The callback of an earlier decision may have canceled the request.
        const decision = queue.includes(waiting) ? retryDecision(waiting) : undefined;
        if (decision !== undefined) {
            settle(waiting, decision);
        }
    };

    const retryByRank = () => {
        const ranked = order.sort(queue);
        while (ranked.length > 0) {
            retry(order.takeFirst(ranked));
        }
    };

    /**
     * Not reentrant: a callback may end another request and call this again; the running loop sees the freed slot
     * anyway.
     */
    const retryQueue = () => {
        if (isRetrying) {
            return;
        }
        isRetrying = true;
        timer?.cancel();
        timer = undefined;
        if (isCompeting()) {
            retryByRank();
        } else {
            [...queue].forEach(retry);
        }
        isRetrying = false;
        schedule();
    };

    const schedule = () => {
        if (timer === undefined && queue.length > 0) {
            timer = clock.setTimer(retryIntervalMs, retryQueue);
        }
    };

    /** Decides a new request after those that rank before it and want the same room. */
    const decideNew = (req: RoutedRequest, rejectAt: number): AdmissionDecision | Wait => {
        const decision = decide(req, rejectAt);
        if (!("placement" in decision) || queue.length === 0 || !isCompeting()) {
            return decision;
        }
        const { server } = decision.placement;
        const rivals = order.findRivals(queue, req, server, maxRetriedRivals);
        if (rivals.length === 0) {
            return decision;
        }
        if (isRetrying) {
            // The rivals come first in the running pass, or in the next one.
            return { waitFor: server, isThrottled: false };
        }
        rivals.forEach(retry);
        // Where the rivals cannot use the room, the new request takes it.
        return decide(req, rejectAt);
    };

    /** Rejects a new request that would be rejected later, given those that rank before it and the recent rate of slots. */
    const refuseIfTooLate = (
        req: RoutedRequest,
        { waitFor, isThrottled }: Wait,
        rejectAt: number,
    ): AdmissionDecision | undefined => {
        if (isThrottled || queue.length === 0 || !isCompeting()) {
            return undefined;
        }
        const now = clock.now();
        const ahead = order.countAhead(queue, req, waitFor);
        const expectedMs = forecast.expectedMs(req.service, ahead, now);
        const leftMs = Math.min(rejectAt, req.deadlineAt) - now;
        if (expectedMs === undefined || expectedMs <= leftMs * maxExpectedWaitFactor) {
            return undefined;
        }
        const detail = `${describeLoad(waitFor)}; ${ahead} requests come first, for ${Math.round(expectedMs)} ms`;
        const retryAfterMs = Math.min(expectedMs, getRetryAfterMs(req, now));
        return refuse(req, RefusalReason.Overloaded, detail, retryAfterMs);
    };

    const refuseForFullQueue = (req: RoutedRequest) =>
        refuse(req, RefusalReason.Overloaded, `${maxQueueLength} requests are waiting`);

    /** Queues a new request; returns a decision if the queue is full and no other request gives way. */
    const tryEnqueue = (waiting: WaitingRequest): AdmissionDecision | undefined => {
        if (queue.length < maxQueueLength) {
            enqueue(waiting);
            return undefined;
        }
        const replaced = isCompeting() ? order.findLast(queue, waiting.req) : undefined;
        if (replaced === undefined) {
            return refuseForFullQueue(waiting.req);
        }
        enqueue(waiting);
        settle(replaced, refuseForFullQueue(replaced.req));
        return undefined;
    };

    return {
        request: (req, onDecision) => {
            const rejectAt = getRejectAt(req, clock.now());
            const answer = (decision: AdmissionDecision) => {
                recordDecision(req, decision);
                onDecision(decision);
                return () => undefined;
            };
            const first = decideNew(req, rejectAt);
            if (!("waitFor" in first)) {
                return answer(first);
            }
            const waiting = { req, rejectAt, settle: onDecision, server: first.waitFor };
            const refusal = refuseIfTooLate(req, first, rejectAt) ?? tryEnqueue(waiting);
            if (refusal !== undefined) {
                return answer(refusal);
            }
            schedule();
            return () => void dequeue(waiting);
        },
        retryWaiting: () => {
            if (queue.length > 0) {
                retryQueue();
            }
        },
        waiting: () => queue.length,
    };
}
