/** Sends requests to the entries of another region, which forward them to the backend servers there. */
import {
    MemberStatus,
    Outcome,
    ReasonCode,
    outcomeHeader,
    reasonHeader,
    requestIdHeader,
} from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";
import { AttemptKind, Upstream, openResponseSink } from "./attempt.js";
import type { AttemptResult, ResponseCapture } from "./attempt.js";
import { classifyInterrupted } from "./backend-upstream.js";
import { isStillWanted } from "./caller-presence.js";
import type { CarrierOptions } from "./carrier-options.js";
import { DispatchPhase, dispatchRequest, abortedBeforeSending } from "./dispatch-request.js";
import type { DispatchResult, ResponseHeaders } from "./dispatch-request.js";
import {
    clientHeader,
    createRequestHeaders,
    fingerprintHeader,
    fromRegionHeader,
    getHeader,
} from "./headers.js";
import { waitForLink } from "./link-pace.js";
import type { RequestContext } from "./request-context.js";

/** Maximum number of connections to one entry, and thus of concurrent requests. */
const maxConnectionsPerPeer = 32;

/** Retry-After in seconds: by then the region responds again, or membership has detected its failure. */
const regionRetryAfterSeconds = 2;

const reasons = new Set<string>(Object.values(ReasonCode));

export class PeerUpstream extends Upstream {
    constructor(
        private readonly options: CarrierOptions,
        private readonly region: string,
    ) {
        super();
    }

    async send(
        ctx: RequestContext,
        avoid: Set<string>,
        capture: ResponseCapture | undefined,
    ): Promise<AttemptResult> {
        const peer = this.pickPeer(ctx, avoid);
        if (peer === undefined) {
            return {
                kind: AttemptKind.NotRun,
                reason: ReasonCode.RegionUnreachable,
                message: `no entry of region ${this.region} is live`,
                retryAfterSeconds: regionRetryAfterSeconds,
                isRetryable: true,
            };
        }
        avoid.add(peer.id);
        const waitedMs = this.options.clock.now() - ctx.startedAt;
        const attempt = { target: peer.id, region: this.region, waitedMs, ms: 0, result: "running" };
        ctx.record.attempts.push(attempt);
        const result = await this.dispatch(ctx, peer, capture);
        attempt.ms = this.options.clock.now() - ctx.startedAt - waitedMs;
        const outcome = this.classify(ctx, peer, result);
        attempt.result = outcome.reason ?? outcome.kind;
        return outcome;
    }

    /** Picks one of the region's live entries by the request id. */
    private pickPeer(ctx: RequestContext, avoid: Set<string>): Member | undefined {
        const live = this.options.view
            .liveInRegion(this.region)
            .filter(peer => peer.status === MemberStatus.Live && !avoid.has(peer.id));
        const ready = live.filter(peer => peer.ready);
        // Gossip reports readiness with a delay, and an entry that is not ready rejects requests itself.
        const peers = ready.length > 0 ? ready : live;
        return peers[Number.parseInt(ctx.id.slice(-6), 16) % peers.length];
    }

    private async dispatch(
        ctx: RequestContext,
        peer: Member,
        capture: ResponseCapture | undefined,
    ): Promise<DispatchResult> {
        const { options, region } = this;
        const { res, req, body } = ctx;
        if (!(await isStillWanted(ctx, options.eventLoop)) || !ctx.maySend()) {
            return abortedBeforeSending;
        }
        const remainingMs = ctx.deadlineAt - options.clock.now();
        const fields = { requestId: ctx.id, remainingMs, bodyLength: body.length, client: ctx.client };
        const headers = createRequestHeaders(req.headers, fields);
        headers.authorization = `Bearer ${options.fleetKey}`;
        headers[fromRegionHeader] = options.region;
        headers[fingerprintHeader] = ctx.fingerprint;
        headers[clientHeader] = ctx.client;
        const caller = getHeader(req.headers, "authorization");
        if (caller !== undefined) {
            headers[callerAuthorizationHeader] = caller;
        }
        return dispatchRequest({
            pool: options.pools.get(peer.peerAddress, maxConnectionsPerPeer),
            clock: options.clock,
            method: req.method ?? "GET",
            path: `/forward/${ctx.service}${ctx.path}`,
            headers,
            body: this.paceBody(ctx, body.open()),
            deadlineAt: ctx.deadlineAt,
            signal: ctx.route.idempotent ? ctx.disconnectSignal : undefined,
            findMismatch: resHeaders => this.findMismatch(ctx, peer, resHeaders),
            onResponseHead: (status, resHeaders) =>
                getOutcome(resHeaders) === Outcome.Ran
                    ? openResponseSink({
                          res,
                          ctx,
                          status,
                          headers: resHeaders,
                          region,
                          capture,
                          pace: undefined,
                      })
                    : undefined,
        });
    }

    /** Entries repeat the id of a request in each response to it. */
    private findMismatch(ctx: RequestContext, peer: Member, headers: ResponseHeaders): string | undefined {
        const responseId = getHeader(headers, requestIdHeader);
        if (responseId === ctx.id) {
            return undefined;
        }
        this.options.logger.warn("response-skipped", {
            request: ctx.id,
            response: responseId,
            server: peer.id,
        });
        return `entry ${peer.id} answered another request`;
    }

    private paceBody(ctx: RequestContext, body: Buffer | AsyncIterable<Buffer> | undefined) {
        if (body === undefined) {
            return undefined;
        }
        const { links } = this.options;
        const { region } = this;
        const chunks = Buffer.isBuffer(body) ? [body] : body;
        return (async function* () {
            for await (const chunk of chunks) {
                await waitForLink(links, ctx, region, chunk.length);
                yield chunk;
            }
        })();
    }

    private classify(ctx: RequestContext, peer: Member, result: DispatchResult): AttemptResult {
        if (result.phase === DispatchPhase.NotSent) {
            const reason = result.aborted ? ReasonCode.DeadlineExceeded : ReasonCode.RegionUnreachable;
            return {
                kind: AttemptKind.NotRun,
                reason,
                message: `no connection to entry ${peer.id}`,
                retryAfterSeconds: regionRetryAfterSeconds,
                isRetryable: !result.aborted,
            };
        }
        if (result.phase !== DispatchPhase.Complete) {
            return classifyInterrupted(ctx, `entry ${peer.id}`, result);
        }
        return classifyResponse(peer, result);
    }
}

/** The caller's authorization header; `authorization` itself holds the fleet key between entries. */
export const callerAuthorizationHeader = "waxwingdale-caller-authorization";

function getOutcome(headers: ResponseHeaders): string | undefined {
    return getHeader(headers, outcomeHeader);
}

/** Reads the outcome from the peer's response. Without one, it is unknown whether the request ran. */
function classifyResponse(peer: Member, result: DispatchResult): AttemptResult {
    const outcome = getOutcome(result.headers);
    if (outcome === Outcome.Ran) {
        return { kind: AttemptKind.Ran, status: result.status, isRetryable: false };
    }
    const reportedReason = getHeader(result.headers, reasonHeader) ?? "";
    const reason = reasons.has(reportedReason) ? (reportedReason as ReasonCode) : ReasonCode.InternalError;
    const retryAfter = Number(getHeader(result.headers, "retry-after"));
    return {
        kind: outcome === Outcome.NotRun ? AttemptKind.NotRun : AttemptKind.Unknown,
        reason,
        message: `entry ${peer.id} answered ${result.status}`,
        retryAfterSeconds: Number.isFinite(retryAfter) ? retryAfter : undefined,
        isRetryable: outcome === Outcome.NotRun || reason === ReasonCode.BackendConnectionLost,
    };
}
