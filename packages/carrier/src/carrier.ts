/** Handles requests from their arrival to the end of the response. */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
    Outcome,
    ReasonCode,
    SteeringReason,
    getErrorMessage,
    idempotencyKeyHeader,
    requestIdHeader,
} from "@waxwingdale/core";
import type { RecordedResponse } from "@waxwingdale/core";
import { AttemptKind } from "./attempt.js";
import type { AttemptResult, ResponseCapture, Upstream } from "./attempt.js";
import { BackendUpstream } from "./backend-upstream.js";
import { createDisconnectSignal } from "./disconnect-signal.js";
import type { CarrierOptions } from "./carrier-options.js";
import { runWithClaim, sendRecordedResponse } from "./claimed-request.js";
import { getHeader } from "./headers.js";
import { createLocalResponse, sendLocalResponse } from "./local-response.js";
import type { LocalResponse } from "./local-response.js";
import { PeerUpstream, callerAuthorizationHeader } from "./peer-upstream.js";
import { RequestBodyError, readRequestBody } from "./request-body.js";
import { RequestOrigin, createRequestContext, getClientAddress, getDeadline } from "./request-context.js";
import type { RequestContext } from "./request-context.js";

/** Maximum number of attempts, including the first. */
const maxAttempts = 4;
/** Maximum length of an idempotency key, in characters. */
const maxKeyLength = 255;

/** Result if the cap on shifted traffic leaves no region for the request. */
const shiftCapReached: AttemptResult = {
    kind: AttemptKind.NotRun,
    reason: ReasonCode.ShiftCapReached,
    message: "the home region cannot take the request and the cap on shifted traffic is reached",
    retryAfterSeconds: 1,
    isRetryable: false,
};

export interface Carrier {
    /** Handles a caller's request. Never rejects. */
    handleCaller(req: IncomingMessage, res: ServerResponse): Promise<void>;
    /** Handles a request forwarded by an entry of another region. The first path segment of `url` is the service. */
    handleForwarded(req: IncomingMessage, res: ServerResponse, url: string): Promise<void>;
    /** Number of requests in flight. */
    inFlight(): number;
}

export function createCarrier(options: CarrierOptions): Carrier {
    const { clock, logger } = options;
    const local = new BackendUpstream(options);
    const idPrefix = `${options.id}-${clock.wallTime().toString(16)}`;
    let count = 0;
    let inFlight = 0;

    const createId = (req: IncomingMessage, origin: RequestOrigin): string => {
        const forwardedId =
            origin === RequestOrigin.Peer ? getHeader(req.headers, requestIdHeader) : undefined;
        return forwardedId ?? `${idPrefix}-${(count++).toString(16).padStart(6, "0")}`;
    };

    const handle = async (req: IncomingMessage, res: ServerResponse, url: string, origin: RequestOrigin) => {
        const id = createId(req, origin);
        inFlight++;
        try {
            await forward(req, res, url, origin, id);
        } catch (err) {
            logger.error("carry-failed", { request: id, error: getErrorMessage(err) });
            sendLocalResponse(
                res,
                id,
                createLocalResponse(Outcome.Unknown, ReasonCode.InternalError, "internal error"),
            );
        } finally {
            await waitForEnd(res);
            inFlight--;
        }
    };

    const forward = async (
        req: IncomingMessage,
        res: ServerResponse,
        url: string,
        origin: RequestOrigin,
        id: string,
    ) => {
        const startedAt = clock.now();
        const ctx = await accept(req, res, url, origin, id, startedAt);
        if (!("route" in ctx)) {
            logger.info("request-refused", { request: id, reason: ctx.reason, path: url.slice(0, 200) });
            sendLocalResponse(res, id, ctx);
            return;
        }
        const result = await run(ctx);
        respond(ctx, result);
    };

    /** Matches the route, validates the request and reads the start of its body. */
    const accept = async (
        req: IncomingMessage,
        res: ServerResponse,
        url: string,
        origin: RequestOrigin,
        id: string,
        startedAt: number,
    ): Promise<RequestContext | LocalResponse> => {
        const routes = options.routes();
        if (routes === undefined) {
            return createLocalResponse(Outcome.NotRun, ReasonCode.NotReady, "no manifest is in force yet", 1);
        }
        const match = routes.match(req.method ?? "GET", url);
        if (match === undefined) {
            return createLocalResponse(
                Outcome.NotRun,
                ReasonCode.NoRoute,
                "no route of the manifest matches this method and path",
            );
        }
        const key = getHeader(req.headers, idempotencyKeyHeader);
        if (!match.route.idempotent && (key === undefined || key.length === 0 || key.length > maxKeyLength)) {
            const message = `route ${match.route.name} needs an ${idempotencyKeyHeader} header of 1 to ${maxKeyLength} characters`;
            return createLocalResponse(Outcome.NotRun, ReasonCode.MissingIdempotencyKey, message);
        }
        const disconnectSignal = createDisconnectSignal();
        res.once("close", () => {
            if (!res.writableFinished) {
                disconnectSignal.abort();
            }
        });
        const deadlineAt = getDeadline(req, match, startedAt);
        try {
            const limits = { maxBytes: match.route.maxBodyBytes, timeoutMs: deadlineAt - startedAt };
            const body = await readRequestBody(req, limits);
            return createRequestContext({
                id,
                origin,
                req,
                res,
                match,
                body,
                startedAt,
                deadlineAt,
                disconnectSignal,
                clock,
                region: options.region,
                home: options.findHomeRegion(getClientAddress(req)),
            });
        } catch (err) {
            if (err instanceof RequestBodyError) {
                return createLocalResponse(Outcome.NotRun, err.reason, err.message);
            }
            throw err;
        }
    };

    const run = async (ctx: RequestContext): Promise<AttemptResult | LocalResponse | RecordedResponse> => {
        if (options.crashGuard.isQuarantined(ctx.fingerprint)) {
            const message = "this request crashed the backend servers that ran it and is refused for a while";
            return createLocalResponse(Outcome.NotRun, ReasonCode.Quarantined, message);
        }
        const needsClaim = !ctx.route.idempotent && ctx.origin === RequestOrigin.Caller;
        return needsClaim
            ? runWithClaim(options, ctx, capture => runAttempts(ctx, capture))
            : runAttempts(ctx, undefined);
    };

    const runAttempts = async (
        ctx: RequestContext,
        capture: ResponseCapture | undefined,
    ): Promise<AttemptResult> => {
        const budget = options.retryBudget(ctx.service, ctx.route.name);
        const avoid = new Set<string>();
        budget.countRequest();
        let unknownResult: AttemptResult | undefined;
        for (let attempt = 1; ; attempt++) {
            const upstream = chooseUpstream(ctx);
            const result =
                upstream === undefined ? shiftCapReached : await upstream.send(ctx, avoid, capture);
            if (!mayRetry(ctx, result, attempt) || !budget.tryRetry()) {
                // If an earlier attempt may have run, the outcome is unknown even if the last attempt did not run.
                return result.kind === AttemptKind.NotRun ? (unknownResult ?? result) : result;
            }
            if (result.kind === AttemptKind.Unknown) {
                unknownResult = result;
            }
            options.metrics.recordRetry(ctx.service);
            logger.debug("request-retried", { request: ctx.id, attempt, reason: result.reason });
        }
    };

    /** Returns undefined if the cap on shifted traffic leaves no region for the request. */
    const chooseUpstream = (ctx: RequestContext): Upstream | undefined => {
        if (ctx.origin === RequestOrigin.Peer) {
            return local;
        }
        const decision = options.steering.chooseRegion(ctx.service, ctx.route.class, ctx.record.home);
        ctx.record.region = decision.region;
        ctx.record.regionReason = decision.reason;
        if (decision.reason === SteeringReason.ShiftCap) {
            return undefined;
        }
        return decision.region === options.region ? local : new PeerUpstream(options, decision.region);
    };

    /** A request that did not run may be retried; one that may have run only if its route is idempotent. */
    const mayRetry = (ctx: RequestContext, result: AttemptResult, attempt: number): boolean => {
        const isSafe =
            result.kind === AttemptKind.NotRun ||
            (result.kind === AttemptKind.Unknown && ctx.route.idempotent);
        const isPossible = !ctx.body.isConsumed() && !ctx.disconnectSignal.aborted && !ctx.res.headersSent;
        const isQuarantined = options.crashGuard.isQuarantined(ctx.fingerprint);
        return (
            isSafe &&
            isPossible &&
            !isQuarantined &&
            result.isRetryable &&
            attempt < maxAttempts &&
            clock.now() < ctx.deadlineAt
        );
    };

    const respond = (ctx: RequestContext, result: AttemptResult | LocalResponse | RecordedResponse) => {
        const { res } = ctx;
        if ("headers" in result) {
            sendRecordedResponse(res, ctx.id, result);
            finishRecord(ctx, result.status, Outcome.Ran, ReasonCode.Replayed);
            return;
        }
        if ("outcome" in result) {
            sendLocalResponse(res, ctx.id, result);
            finishRecord(ctx, result.status, result.outcome, result.reason);
            return;
        }
        if (result.kind === AttemptKind.Ran) {
            res.end();
            finishRecord(ctx, result.status ?? 0, Outcome.Ran, undefined);
            return;
        }
        if (result.kind === AttemptKind.Truncated) {
            // The connection is reset so that the caller cannot mistake the truncated response for a complete one.
            res.destroy();
            finishRecord(ctx, result.status ?? 0, Outcome.Unknown, result.reason);
            return;
        }
        const outcome = result.kind === AttemptKind.NotRun ? Outcome.NotRun : Outcome.Unknown;
        const response = createLocalResponse(
            outcome,
            result.reason ?? ReasonCode.InternalError,
            result.message ?? "",
            result.retryAfterSeconds,
        );
        sendLocalResponse(res, ctx.id, response);
        finishRecord(ctx, response.status, outcome, response.reason);
    };

    const finishRecord = (
        ctx: RequestContext,
        status: number,
        outcome: Outcome,
        reason: ReasonCode | undefined,
    ) => {
        const { record } = ctx;
        record.status = status;
        record.outcome = outcome;
        record.reason = reason;
        record.totalMs = clock.now() - ctx.startedAt;
        options.records.add(record);
        if (ctx.origin === RequestOrigin.Caller) {
            options.onFinished(record);
        }
        options.metrics.recordRequest(record.service, record.requestClass, outcome, reason, record.totalMs);
        if (outcome !== Outcome.Ran) {
            logger.info("request-failed", {
                request: ctx.id,
                service: ctx.service,
                route: ctx.route.name,
                outcome,
                reason,
                status,
                attempts: record.attempts.length,
                ms: Math.round(record.totalMs),
            });
        }
    };

    return {
        handleCaller: (req, res) => handle(req, res, req.url ?? "/", RequestOrigin.Caller),
        handleForwarded: (req, res, url) => {
            const caller = getHeader(req.headers, callerAuthorizationHeader);
            delete req.headers.authorization;
            if (caller !== undefined) {
                req.headers.authorization = caller;
            }
            return handle(req, res, url, RequestOrigin.Peer);
        },
        inFlight: () => inFlight,
    };
}

/** Resolves when the response has been flushed or closed: if the process stopped earlier, it would be truncated. */
function waitForEnd(res: ServerResponse): Promise<void> | undefined {
    if (res.writableFinished || res.destroyed) {
        return undefined;
    }
    return new Promise(resolve => {
        res.once("finish", resolve);
        res.once("close", resolve);
    });
}
