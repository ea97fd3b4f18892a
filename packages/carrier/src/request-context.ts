/** One request on its way through an entry. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { fingerprintRequest } from "@waxwingdale/claims";
import type { RouteSpec } from "@waxwingdale/manifest";
import { Outcome, deadlineHeader, hash64Hex, idempotencyKeyHeader } from "@waxwingdale/core";
import type { Clock } from "@waxwingdale/core";
import type { DisconnectSignal } from "./disconnect-signal.js";
import { clientHeader, fingerprintHeader, fromRegionHeader, getHeader } from "./headers.js";
import type { RequestBody } from "./request-body.js";
import type { RequestRecord } from "./request-record.js";
import type { RouteMatch } from "./route-table.js";

export enum RequestOrigin {
    Caller = "caller",
    /** Forwarded by an entry of another region. */
    Peer = "peer",
}

export interface RequestContext {
    id: string;
    origin: RequestOrigin;
    /** Region of the forwarding entry, for a forwarded request. */
    fromRegion: string | undefined;
    req: IncomingMessage;
    res: ServerResponse;
    service: string;
    route: RouteSpec;
    /** Path at the backend server, with query. */
    path: string;
    key: string | undefined;
    client: string;
    startedAt: number;
    deadlineAt: number;
    /** Aborts when the caller closes the connection before the answer is complete. */
    disconnectSignal: DisconnectSignal;
    body: RequestBody;
    fingerprint: string;
    requestHash: string;
    record: RequestRecord;
    /** Checked right before anything is sent; false when the claim of the request may not be used any more. */
    maySend: () => boolean;
}

/** Returns the time at which the caller stops waiting: the route's limit or the caller's own shorter one. */
export function getDeadline(req: IncomingMessage, match: RouteMatch, now: number): number {
    const wanted = Number(getHeader(req.headers, deadlineHeader));
    const limit = match.route.timeoutMs;
    return now + (Number.isFinite(wanted) && wanted > 0 ? Math.min(wanted, limit) : limit);
}

/** Returns the caller's address without the prefix of IPv4 addresses on an IPv6 socket. */
export function getClientAddress(req: IncomingMessage): string {
    return (req.socket.remoteAddress ?? "").replace(/^::ffff:/, "");
}

export interface RequestContextOptions {
    id: string;
    origin: RequestOrigin;
    req: IncomingMessage;
    res: ServerResponse;
    match: RouteMatch;
    body: RequestBody;
    startedAt: number;
    deadlineAt: number;
    disconnectSignal: DisconnectSignal;
    clock: Clock;
    region: string;
    home: string;
}

/** Creates the context of a request whose body's start has been read. */
export function createRequestContext(fields: RequestContextOptions): RequestContext {
    const { id, origin, req, res, match, body } = fields;
    const method = req.method ?? "GET";
    const key = getHeader(req.headers, idempotencyKeyHeader);
    const isForwarded = origin === RequestOrigin.Peer;
    const client = (isForwarded ? getHeader(req.headers, clientHeader) : undefined) ?? getClientAddress(req);
    const fingerprint =
        (isForwarded ? getHeader(req.headers, fingerprintHeader) : undefined) ??
        fingerprintRequest({
            service: match.service.name,
            method,
            ...splitQuery(match.path),
            idempotencyKey: key,
            bodyPrefix: body.prefix,
        });
    return {
        id,
        origin,
        fromRegion: isForwarded ? getHeader(req.headers, fromRegionHeader) : undefined,
        req,
        res,
        service: match.service.name,
        route: match.route,
        path: match.path,
        key,
        client,
        startedAt: fields.startedAt,
        deadlineAt: fields.deadlineAt,
        disconnectSignal: fields.disconnectSignal,
        body,
        fingerprint,
        requestHash: hash64Hex(`${method} ${match.path}`),
        record: {
            id,
            startedAt: new Date(fields.clock.wallTime()).toISOString(),
            client,
            service: match.service.name,
            route: match.route.name,
            requestClass: match.route.class,
            home: fields.home,
            region: fields.region,
            regionReason: undefined,
            attempts: [],
            status: 0,
            outcome: Outcome.NotRun,
            reason: undefined,
            totalMs: 0,
            requestBytes: body.length ?? body.prefix.length,
            responseBytes: 0,
        },
        maySend: () => true,
    };
}

function splitQuery(target: string): { path: string; query: string } {
    const start = target.indexOf("?");
    return start < 0
        ? { path: target, query: "" }
        : { path: target.slice(0, start), query: target.slice(start + 1) };
}
