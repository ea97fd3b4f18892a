/** Accepts requests of callers: selects route and service, reads the body and forwards the request. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createServiceSplit } from "@waxwingdale/balancing";
import type { Route, RouteIndex, ServiceSplit } from "@waxwingdale/balancing";
import type { Random } from "@waxwingdale/core";
import { createAcceptDelay } from "./accept-delay.js";
import { sendLocalResponse } from "./caller-response.js";
import { forwardRequest } from "./forward-request.js";
import type { ForwardingOptions } from "./forward-request.js";
import { readBody } from "./request-body.js";
import type { Arrival } from "./request-deadline.js";
import { RequestOutcome } from "./request-outcome.js";
import type { StartupGate } from "./startup-gate.js";
import type { RequestInfo } from "./wire-protocol.js";

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
    /** Number of requests in progress. */
    active(): number;
}

/** Retry delay sent to callers while the instance has no configuration. */
const noConfigRetryMs = 300;
/** Maximum wait for startup: two round trips to a store in another region, doubled. */
const maxStartupWaitMs = 600;
/** Fraction of the caller's deadline that the wait may use; the rest is left for the request itself. */
const startupWaitFraction = 0.3;

export function createRelay(options: RelayOptions): Relay {
    const { clock, protocol } = options;
    const acceptDelay = createAcceptDelay(clock, options.eventLoop);
    let active = 0;
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

    const refuseWithoutRoute = (res: ServerResponse, info: RequestInfo, index: RouteIndex | undefined) => {
        const hasConfig = index !== undefined;
        const headers = hasConfig ? {} : protocol.formatRetryAfter(noConfigRetryMs);
        const reason = hasConfig ? "no route" : "no configuration yet";
        sendLocalResponse(res, hasConfig ? 404 : 503, reason, headers);
        options.onRequest({
            requestId: info.requestId ?? "",
            route: "",
            kind: undefined,
            service: "",
            object: info.objectKey ?? "",
            outcome: hasConfig ? RequestOutcome.NoRoute : RequestOutcome.Refused,
            status: hasConfig ? 404 : 503,
            reason,
            configVersion: index?.version ?? 0,
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
            req.resume();
            refuseWithoutRoute(res, info, index);
            return;
        }
        active += 1;
        let isFinished = false;
        const finish = () => {
            if (!isFinished) {
                isFinished = true;
                active -= 1;
                req.socket.off("close", finish);
            }
        };
        res.once("close", finish);
        req.socket.once("close", finish);
        readBody(req, options.maxBodyBytes(), result => {
            if ("tooLarge" in result) {
                sendLocalResponse(res, 413, "the body is too large", { Connection: "close" });
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

function getPath(url: string): string {
    const queryIndex = url.indexOf("?");
    return queryIndex < 0 ? url : url.slice(0, queryIndex);
}
