/**
 * Decides when a request is sent, waits or is refused. Requests wait at the instance, not at a backend server, so that the
 * most urgent one gets the next free slot. A request that cannot be answered in time is refused at once.
 */
import type { Clock, Timer } from "@waxwingdale/core";
import type { BackendState } from "./backend-state.js";
import type { Balancer } from "./balancer.js";
import { ChoiceKind } from "./placement.js";
import type { Placement, RoutedRequest } from "./placement.js";

export enum RefusalReason {
    /** The answer cannot arrive before the caller stops waiting. */
    TooLate = "too-late",
    /** More requests wait than can be served in time. */
    Overloaded = "overloaded",
    NoServer = "no-server",
    CallerLeft = "caller-left",
}

export interface Refusal {
    reason: RefusalReason;
    /** Time in milliseconds after which the caller may come back. */
    retryAfterMs: number;
    waitedMs: number;
    /** What was known of the server for which the request waited. */
    detail?: string;
}

export type AdmissionDecision = { placement: Placement } | { refusal: Refusal };

export interface AdmissionControl {
    /** Calls back once, at once or when a server has room or the request is given up. Returns a function that withdraws it. */
    request(req: RoutedRequest, onDecision: (admission: AdmissionDecision) => void): () => void;
    /** Looks for room for the requests that wait; called when a request has ended or servers have changed. */
    retryWaiting(): void;
    waiting(): number;
}

export interface AdmissionOptions {
    clock: Clock;
    balancer: Balancer;
}

interface WaitingRequest {
    req: RoutedRequest;
    /** Time of the clock after which waiting is of no use. */
    giveUpAt: number;
    settle: (admission: AdmissionDecision) => void;
    /** The server that the request waits for. */
    server: BackendState;
}

/** Part of the target latency that a request may wait for a slot even when its answer will be late. */
const minWaitPart = 0.12;
/** Part of the target latency after which a waiting request is given up: the work takes the rest. */
const maxWaitPart = 0.6;
/** Part of the time left that a refused caller is asked to stay away; callers follow up to a third. */
const retryAfterPart = 0.3;
/** Time between two looks for room in milliseconds, for changes that no end of a request announces. */
const lookIntervalMs = 20;
/** Requests that wait at most; beyond it a look for room would take too long. */
const maxWaiting = 200;

/** Returns the time in milliseconds after which a refused caller may come back. */
export function getRetryAfterMs({ deadlineAt }: RoutedRequest, now: number): number {
    return Math.max(0, deadlineAt - now) * retryAfterPart;
}

export function createAdmissionControl({ clock, balancer }: AdmissionOptions): AdmissionControl {
    const queue: WaitingRequest[] = [];
    let timer: Timer | undefined;
    let isLooking = false;

    const refuse = (req: RoutedRequest, reason: RefusalReason, detail?: string): AdmissionDecision => {
        const now = clock.now();
        const retryAfterMs = getRetryAfterMs(req, now);
        return { refusal: { reason, retryAfterMs, waitedMs: now - req.arrivedAt, detail } };
    };

    const describeRoom = ({ record, load }: BackendState): string =>
        `${record.id} has ${load.expected(clock.now()).toFixed(1)} requests for ${record.slots} slots, ${load.inFlight()} from here; ${load.waiting()} wait`;

    /** Returns the decision, or the server for which the request has to wait. */
    const decide = (req: RoutedRequest): AdmissionDecision | { waitFor: BackendState } => {
        const choice = balancer.choose(req);
        switch (choice.kind) {
            case ChoiceKind.Send:
                return clock.now() + choice.expectedMs > req.deadlineAt
                    ? refuse(req, RefusalReason.TooLate)
                    : { placement: choice };
            case ChoiceKind.NoServer:
                return refuse(req, RefusalReason.NoServer);
            case ChoiceKind.Full:
                return { waitFor: choice.server };
        }
    };

    const isBefore = (a: RoutedRequest, b: RoutedRequest) =>
        a.route.priority < b.route.priority ||
        (a.route.priority === b.route.priority && a.arrivedAt < b.arrivedAt);

    const insert = (waiting: WaitingRequest) => {
        let index = queue.length;
        while (index > 0 && isBefore(waiting.req, queue[index - 1]!.req)) {
            index--;
        }
        queue.splice(index, 0, waiting);
    };

    const take = (waiting: WaitingRequest): boolean => {
        const index = queue.indexOf(waiting);
        if (index < 0) {
            return false;
        }
        queue.splice(index, 1);
        waiting.server.load.removeWaiting();
        return true;
    };

    /** Decides about a waiting request, which does not count as waiting meanwhile. */
    const decideAgain = (waiting: WaitingRequest): AdmissionDecision | undefined => {
        waiting.server.load.removeWaiting();
        const decision = decide(waiting.req);
        if ("waitFor" in decision) {
            waiting.server = decision.waitFor;
        }
        waiting.server.load.addWaiting();
        if (!("waitFor" in decision)) {
            return decision;
        }
        return clock.now() >= waiting.giveUpAt
            ? refuse(waiting.req, RefusalReason.Overloaded, describeRoom(waiting.server))
            : undefined;
    };

    /** A decision may end another request at once, and so lead back here: the loop in progress sees the new room as well. */
    const look = () => {
        if (isLooking) {
            return;
        }
        isLooking = true;
        timer?.cancel();
        timer = undefined;
        for (const waiting of [...queue]) {
            // The request may have been withdrawn by a decision before it.
            const decision = queue.includes(waiting) ? decideAgain(waiting) : undefined;
            if (decision !== undefined && take(waiting)) {
                waiting.settle(decision);
            }
        }
        isLooking = false;
        schedule();
    };

    const schedule = () => {
        if (timer === undefined && queue.length > 0) {
            timer = clock.setTimer(lookIntervalMs, look);
        }
    };

    return {
        request: (req, onDecision) => {
            const decision = decide(req);
            if (!("waitFor" in decision)) {
                onDecision(decision);
                return () => undefined;
            }
            const now = clock.now();
            const target = req.route.targetLatencyMs;
            const giveUpAt = Math.max(now + target * minWaitPart, req.arrivedAt + target * maxWaitPart);
            if (queue.length >= maxWaiting) {
                onDecision(refuse(req, RefusalReason.Overloaded, `${maxWaiting} requests wait`));
                return () => undefined;
            }
            const waiting = { req, giveUpAt, settle: onDecision, server: decision.waitFor };
            insert(waiting);
            waiting.server.load.addWaiting();
            schedule();
            return () => void take(waiting);
        },
        retryWaiting: () => {
            if (queue.length > 0) {
                look();
            }
        },
        waiting: () => queue.length,
    };
}
