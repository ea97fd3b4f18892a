/** State of a request in an entry. */
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
    /** Region of the forwarding entry, if the request comes from a peer. */
    fromRegion: string | undefined;
    req: IncomingMessage;
    res: ServerResponse;
    service: string;
    route: RouteSpec;
    /** Path and query for the backend server. */
    path: string;
    key: string | undefined;
    client: string;
    startedAt: number;
    deadlineAt: number;
    /** Aborted if the caller closes the connection before the response is complete. */
    disconnectSignal: DisconnectSignal;
    body: RequestBody;
    fingerprint: string;
    requestHash: string;
    record: RequestRecord;
    /** Called right before the request is sent. Returns false if its claim may no longer be used. */
    maySend: () => boolean;
}

/** Returns the deadline: the route's timeout, or the caller's if that is shorter. */
export function getDeadline(req: IncomingMessage, match: RouteMatch, now: number): number {
    const requestedMs = Number(getHeader(req.headers, deadlineHeader));
    const limitMs = match.route.timeoutMs;
    return now + (Number.isFinite(requestedMs) && requestedMs > 0 ? Math.min(requestedMs, limitMs) : limitMs);
}

/** Returns the caller's address; an IPv4-mapped IPv6 address as plain IPv4. */
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
