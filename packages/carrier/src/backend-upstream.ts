/** Sends requests to the backend servers of the local region. */
import {
    AdmissionRefusedError,
    ReasonCode,
    SlotResult,
    backendLoadHeader,
    drainingHeader,
    notStartedHeader,
} from "@waxwingdale/core";
import type { Slot } from "@waxwingdale/core";
import { AttemptKind, Upstream, openResponseSink } from "./attempt.js";
import type { AttemptResult, ResponseCapture } from "./attempt.js";
import { isStillWanted } from "./caller-presence.js";
import type { CarrierOptions } from "./carrier-options.js";
import { DispatchPhase, dispatchRequest, abortedBeforeSending } from "./dispatch-request.js";
import type { DispatchResult } from "./dispatch-request.js";
import { createRequestHeaders, getHeader } from "./headers.js";
import { waitForLink } from "./link-pace.js";
import { RequestBodyError } from "./request-body.js";
import type { RequestContext } from "./request-context.js";

/** HTTP status with which a backend server reports that it did not start a request. */
const notStartedStatus = 503;

export class BackendUpstream extends Upstream {
    constructor(private readonly options: CarrierOptions) {
        super();
    }

    async send(
        ctx: RequestContext,
        avoid: Set<string>,
        capture: ResponseCapture | undefined,
    ): Promise<AttemptResult> {
        const slot = await this.acquire(ctx, avoid);
        if (!("server" in slot)) {
            return slot;
        }
        const attempt = {
            target: slot.server.id,
            region: this.options.region,
            waitedMs: this.options.clock.now() - ctx.startedAt,
            ms: 0,
            result: "running",
        };
        ctx.record.attempts.push(attempt);
        const sentAt = this.options.clock.now();
        const result = await this.dispatch(ctx, slot, capture);
        attempt.ms = this.options.clock.now() - sentAt;
        slot.release(toSlotResult(result), getBusySlots(result));
        if (getHeader(result.headers, drainingHeader) === "1") {
            this.options.markDraining(slot.server.id);
        }
        const outcome = await this.classify(ctx, slot.server.id, result);
        attempt.result = outcome.reason ?? outcome.kind;
        if (outcome.kind !== AttemptKind.Ran) {
            avoid.add(slot.server.id);
        }
        return outcome;
    }

    private async acquire(ctx: RequestContext, avoid: Set<string>): Promise<Slot | AttemptResult> {
        try {
            return await this.options.slots.acquire({
                service: ctx.service,
                requestClass: ctx.route.class,
                deadlineAt: ctx.deadlineAt,
                suspect: this.options.crashGuard.isSuspect(ctx.fingerprint),
                avoid,
                signal: ctx.disconnectSignal,
            });
        } catch (err) {
            if (!(err instanceof AdmissionRefusedError)) {
                throw err;
            }
            const { reason, message, retryAfterSeconds } = err;
            if (reason === ReasonCode.NoBackend) {
                this.options.steering.recordNoLocalBackend(ctx.service);
                return { kind: AttemptKind.NotRun, reason, message, retryAfterSeconds, isRetryable: true };
            }
            return { kind: AttemptKind.NotRun, reason, message, retryAfterSeconds, isRetryable: false };
        }
    }

    private async dispatch(
        ctx: RequestContext,
        slot: Slot,
        capture: ResponseCapture | undefined,
    ): Promise<DispatchResult> {
        const { options } = this;
        const { res, req, body } = ctx;
        const pace = createResponsePacer(options, ctx);
        if (!(await isStillWanted(ctx, options.eventLoop)) || !ctx.maySend()) {
            return abortedBeforeSending;
        }
        return dispatchRequest({
            pool: options.pools.get(slot.server.address, slot.server.slots),
            clock: options.clock,
            method: req.method ?? "GET",
            path: ctx.path,
            headers: createRequestHeaders(req.headers, {
                requestId: ctx.id,
                remainingMs: ctx.deadlineAt - options.clock.now(),
                bodyLength: body.length,
                client: ctx.client,
            }),
            body: body.open(),
            deadlineAt: ctx.deadlineAt,
            // A non-idempotent request is not canceled, so that a retry with its key gets the outcome.
            signal: ctx.route.idempotent ? ctx.disconnectSignal : undefined,
            onResponseHead: (status, headers) =>
                isNotStarted(status, headers)
                    ? undefined
                    : openResponseSink({ res, ctx, status, headers, region: options.region, capture, pace }),
        });
    }

    /** Classifies the result of an attempt and reports it to the crash guard. */
    private async classify(
        ctx: RequestContext,
        serverId: string,
        result: DispatchResult,
    ): Promise<AttemptResult> {
        const { crashGuard, logger } = this.options;
        if (result.phase === DispatchPhase.Complete) {
            crashGuard.reportSuccess(ctx.fingerprint);
            if (isNotStarted(result.status, result.headers)) {
                return {
                    kind: AttemptKind.NotRun,
                    reason: ReasonCode.BackendRefused,
                    message: `backend server ${serverId} did not start the request`,
                    isRetryable: true,
                };
            }
            return { kind: AttemptKind.Ran, status: result.status, isRetryable: false };
        }
        if (result.phase === DispatchPhase.NotSent) {
            return classifyNotSent(ctx, serverId, result);
        }
        if (!result.aborted && !isBodyError(result)) {
            logger.warn("backend-connection-lost", {
                request: ctx.id,
                server: serverId,
                phase: result.phase,
                error: result.err?.message,
            });
            await crashGuard.reportCrash(ctx.fingerprint, serverId);
        }
        return classifyInterrupted(ctx, serverId, result);
    }
}

/** Returns a function that paces a response to another region, or undefined for a local caller. */
function createResponsePacer(options: CarrierOptions, ctx: RequestContext) {
    const { fromRegion } = ctx;
    if (fromRegion === undefined || fromRegion === options.region) {
        return undefined;
    }
    return (bytes: number) => waitForLink(options.links, ctx, fromRegion, bytes);
}

export function isNotStarted(status: number, headers: DispatchResult["headers"]): boolean {
    return status === notStartedStatus && getHeader(headers, notStartedHeader) === "1";
}

function isBodyError(result: DispatchResult): boolean {
    return result.err instanceof RequestBodyError;
}

function classifyNotSent(ctx: RequestContext, serverId: string, result: DispatchResult): AttemptResult {
    if (result.aborted) {
        const reason = ctx.disconnectSignal.aborted ? ReasonCode.CallerAborted : ReasonCode.DeadlineExceeded;
        return {
            kind: AttemptKind.NotRun,
            reason,
            message: "the deadline passed before the request was sent",
            isRetryable: false,
        };
    }
    return {
        kind: AttemptKind.NotRun,
        reason: ReasonCode.BackendUnreachable,
        message: `no connection to backend server ${serverId}`,
        isRetryable: true,
    };
}

/** Classifies an attempt that was sent at least partially and got no complete response. */
export function classifyInterrupted(
    ctx: RequestContext,
    target: string,
    result: DispatchResult,
): AttemptResult {
    if (result.phase === DispatchPhase.Truncated && ctx.res.headersSent) {
        return {
            kind: AttemptKind.Truncated,
            reason: ReasonCode.BackendConnectionLost,
            status: result.status,
            isRetryable: false,
        };
    }
    if (result.aborted) {
        const reason = ctx.disconnectSignal.aborted ? ReasonCode.CallerAborted : ReasonCode.DeadlineExceeded;
        return {
            kind: AttemptKind.Unknown,
            reason,
            message: `no answer from ${target} within the deadline`,
            isRetryable: false,
        };
    }
    if (result.err instanceof RequestBodyError) {
        return {
            kind: AttemptKind.Unknown,
            reason: result.err.reason,
            message: result.err.message,
            isRetryable: false,
        };
    }
    return {
        kind: AttemptKind.Unknown,
        reason: ReasonCode.BackendConnectionLost,
        message: `the connection to ${target} broke after the request was sent`,
        isRetryable: true,
    };
}

function toSlotResult(result: DispatchResult): SlotResult {
    switch (result.phase) {
        case DispatchPhase.NotSent:
            return result.aborted ? SlotResult.Unused : SlotResult.Unreachable;
        case DispatchPhase.Sent:
        case DispatchPhase.Truncated:
            return SlotResult.Broken;
        case DispatchPhase.Complete:
            return isNotStarted(result.status, result.headers) ? SlotResult.Refused : SlotResult.Completed;
    }
}

function getBusySlots(result: DispatchResult): number | undefined {
    const value = Number(getHeader(result.headers, backendLoadHeader));
    return Number.isFinite(value) ? value : undefined;
}
