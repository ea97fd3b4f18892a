/** Accepts requests of callers: selects route and service, reads the body and forwards the request. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createServiceSplit } from "@waxwingdale/balancing";
import type { Route, RouteIndex, ServiceSplit } from "@waxwingdale/balancing";
import type { Random } from "@waxwingdale/core";
import { createAcceptDelay } from "./accept-delay.js";
import { createBodyMemory } from "./body-memory.js";
import { onceResponseCloses, sendLocalResponse } from "./caller-response.js";
import { forwardRequest } from "./forward-request.js";
import type { ForwardingOptions } from "./forwarding-options.js";
import { BodyRejection, discardBody, readBody } from "./request-body.js";
import { getCallerDeadlineMs } from "./request-deadline.js";
import type { Arrival } from "./request-deadline.js";
import { RequestOutcome } from "./request-outcome.js";
import type { StartupGate } from "./startup-gate.js";
import type { RequestInfo, WireProtocol } from "./wire-protocol.js";

export interface RelayOptions extends ForwardingOptions {
    /** Current routes; undefined until the first configuration is loaded. */
    routes: () => RouteIndex | undefined;
    maxBodyBytes: () => number;
    /** Number of instances that serve traffic. */
    instances: () => number;
    random: Random;
    startupGate: StartupGate;
}

export interface Relay {
    /** Must be called for each connection of a caller when it is accepted. */
    handleConnection(socket: Socket): void;
    handle(req: IncomingMessage, res: ServerResponse): void;
    /** Number of requests in progress, including those whose responses are being sent. */
    active(): number;
    /** From now on, rejects requests that might not be answered before the clock time `endAt`. */
    rejectAfter(endAt: number): void;
    /** Number of bytes of request bodies that are held. */
    requestBytes(): number;
}

/** Retry delay sent to callers while the instance has no configuration. */
const noConfigRetryMs = 300;
/** Retry delay sent to callers while there is no memory for their bodies. */
const noMemoryRetryMs = 500;
/** Limit in bytes for the bodies of all requests together; a body that is alone may exceed it. */
const maxRequestMemoryBytes = 48 * 1024 * 1024;
/** Maximum wait for startup: two round trips to a store in another region, doubled. */
const maxStartupWaitMs = 600;
/** Fraction of the caller's deadline that the wait may use; the rest is left for the request itself. */
const startupWaitFraction = 0.3;

export function createRelay(options: RelayOptions): Relay {
    const { clock, protocol } = options;
    const acceptDelay = createAcceptDelay(clock, options.eventLoop);
    const requestMemory = createBodyMemory(maxRequestMemoryBytes);
    let active = 0;
    /** Clock time at which the instance ends. */
    let endAt = Infinity;
    let splitsVersion = -1;
    const splits = new Map<string, ServiceSplit>();

    const getSplit = (route: Route, version: number): ServiceSplit => {
        if (version !== splitsVersion) {
            splits.clear();
            splitsVersion = version;
        }
        let split = splits.get(route.name);
        if (split === undefined) {
            split = createServiceSplit({
                shares: route.shares,
                instances: options.instances,
                random: options.random,
            });
            splits.set(route.name, split);
        }
        return split;
    };

    /** Rejects a request before a service is selected for it. */
    const reject = (
        res: ServerResponse,
        info: RequestInfo,
        { status, reason, headers, outcome = RequestOutcome.Refused, route, version }: EarlyRejection,
    ) => {
        sendLocalResponse(res, status, reason, headers);
        options.onRequest({
            requestId: info.requestId ?? "",
            route: route?.name ?? "",
            kind: route?.kind,
            service: "",
            object: info.objectKey ?? "",
            outcome,
            status,
            reason,
            configVersion: version ?? 0,
            unreadMs: options.eventLoop.pendingMs(),
            waitedMs: 0,
            tookMs: 0,
            deadlineMs: info.deadlineMs ?? 0,
            attempts: [],
        });
    };

    const handle = (req: IncomingMessage, res: ServerResponse, info: RequestInfo, arrival: Arrival) => {
        const index = options.routes();
        const route = index?.find(req.headers.host ?? "", getPath(req.url ?? "/"));
        if (index === undefined || route === undefined) {
            discardBody(req, options.maxBodyBytes());
            reject(res, info, describeMissingRoute(index, protocol));
            return;
        }
        active += 1;
        const memory = requestMemory.open();
        onceResponseCloses(req, res, () => {
            active -= 1;
            memory.release();
        });
        const callerDeadlineMs = getCallerDeadlineMs(info.deadlineMs);
        if (arrival.arrivedAt + Math.min(callerDeadlineMs, route.timeoutMs) > endAt) {
            discardBody(req, options.maxBodyBytes());
            reject(res, info, { ...describeShutdown(protocol), route, version: index.version });
            return;
        }
        readBody(req, options.maxBodyBytes(), memory, result => {
            if ("rejection" in result) {
                const { version } = index;
                reject(res, info, { ...describeRejection(result.rejection, protocol), route, version });
                return;
            }
            const service = getSplit(route, index.version).next(info.objectKey);
            forwardRequest(options, {
                req,
                res,
                info,
                route,
                service,
                ...arrival,
                configVersion: index.version,
                body: result.body,
            });
        });
    };

    const handleAfterStartup = async (
        req: IncomingMessage,
        res: ServerResponse,
        info: RequestInfo,
        arrival: Arrival,
    ) => {
        await options.startupGate.wait(
            Math.min(maxStartupWaitMs, (info.deadlineMs ?? Infinity) * startupWaitFraction),
        );
        if (!req.socket.destroyed && !req.socket.readableEnded) {
            handle(req, res, info, arrival);
        }
    };

    return {
        active: () => active,
        rejectAfter: at => {
            endAt = at;
        },
        requestBytes: () => requestMemory.heldBytes(),
        handleConnection: socket => acceptDelay.recordConnection(socket),
        handle: (req, res) => {
            const info = protocol.readRequest(req.headers);
            const arrival = {
                arrivedAt: clock.now(),
                unreadMs: options.eventLoop.pendingMs(),
                queuedMs: acceptDelay.pendingMs(req.socket),
            };
            if (options.startupGate.isOpen()) {
                handle(req, res, info, arrival);
            } else {
                void handleAfterStartup(req, res, info, arrival);
            }
        },
    };
}

/** A response to a request that is rejected before a service is selected for it. */
interface EarlyRejection {
    status: number;
    reason: string;
    headers?: Record<string, string>;
    /** @default RequestOutcome.Refused */
    outcome?: RequestOutcome;
    route?: Route;
    /** Version of the configuration. */
    version?: number;
}

function describeMissingRoute(index: RouteIndex | undefined, protocol: WireProtocol): EarlyRejection {
    return index === undefined
        ? {
              status: 503,
              reason: "no configuration yet",
              headers: protocol.formatRetryAfter(noConfigRetryMs),
          }
        : { status: 404, reason: "no route", outcome: RequestOutcome.NoRoute, version: index.version };
}

/** The caller can return to another instance at once. */
function describeShutdown(protocol: WireProtocol): EarlyRejection {
    return {
        status: 503,
        reason: "the instance is shutting down",
        headers: { Connection: "close", ...protocol.formatRetryAfter(0) },
    };
}

function describeRejection(rejection: BodyRejection, protocol: WireProtocol): EarlyRejection {
    const headers = { Connection: "close" };
    return rejection === BodyRejection.TooLarge
        ? { status: 413, reason: "the body is too large", headers }
        : {
              status: 503,
              reason: "no memory for the body",
              headers: { ...headers, ...protocol.formatRetryAfter(noMemoryRetryMs) },
          };
}

function getPath(url: string): string {
    const queryIndex = url.indexOf("?");
    return queryIndex < 0 ? url : url.slice(0, queryIndex);
}
