/** Takes requests of callers: finds route and service, reads the body, and has the request carried. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServiceSplit } from "@waxwingdale/balancing";
import type { Route, RouteIndex, ServiceSplit } from "@waxwingdale/balancing";
import type { Random } from "@waxwingdale/core";
import { sendLocalResponse } from "./caller-response.js";
import { forwardRequest } from "./forward-request.js";
import type { ForwardingOptions } from "./forward-request.js";
import { readBody } from "./request-body.js";
import { RequestOutcome } from "./request-outcome.js";
import type { StartupGate } from "./startup-gate.js";
import type { RequestInfo } from "./wire-protocol.js";

export interface RelayOptions extends ForwardingOptions {
    /** Routes in force; undefined before the first configuration is known. */
    routes: () => RouteIndex | undefined;
    maxBodyBytes: () => number;
    /** Instances that serve traffic. */
    instances: () => number;
    random: Random;
    startupGate: StartupGate;
}

export interface Relay {
    handle(req: IncomingMessage, res: ServerResponse): void;
    /** Requests that have been read and not answered. */
    active(): number;
}

/** Time in milliseconds after which a caller may come back to an instance that has no configuration yet. */
const noConfigRetryMs = 300;
/** Longest time in milliseconds that a request waits for the start: two round trips to a store in another region, and as much again. */
const maxStartWaitMs = 600;
/** Part of the caller's time that the wait may take: the rest is for the work. */
const startWaitPart = 0.3;

/** Creates the relay of an instance. */
export function createRelay(options: RelayOptions): Relay {
    const { clock, protocol } = options;
    let active = 0;
    let splitsVersion = -1;
    const splits = new Map<string, ServiceSplit>();

    const splitOf = (route: Route, version: number): ServiceSplit => {
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
        const isKnown = index !== undefined;
        const headers = isKnown ? {} : protocol.formatRetryAfter(noConfigRetryMs);
        const reason = isKnown ? "no route" : "no configuration yet";
        sendLocalResponse(res, isKnown ? 404 : 503, reason, headers);
        options.onRequest({
            requestId: info.requestId ?? "",
            route: "",
            kind: undefined,
            service: "",
            object: info.objectKey ?? "",
            outcome: isKnown ? RequestOutcome.NoRoute : RequestOutcome.Refused,
            status: isKnown ? 404 : 503,
            reason,
            configVersion: index?.version ?? 0,
            waitedMs: 0,
            tookMs: 0,
            deadlineMs: info.deadlineMs ?? 0,
            attempts: [],
        });
    };

    const handle = (req: IncomingMessage, res: ServerResponse, info: RequestInfo, arrivedAt: number) => {
        const index = options.routes();
        const route = index?.find(req.headers.host ?? "", pathOf(req.url ?? "/"));
        if (index === undefined || route === undefined) {
            req.resume();
            refuseWithoutRoute(res, info, index);
            return;
        }
        active += 1;
        let isOver = false;
        const finish = () => {
            if (!isOver) {
                isOver = true;
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
            const service = splitOf(route, index.version).next(info.objectKey);
            forwardRequest(options, {
                req,
                res,
                info,
                route,
                service,
                arrivedAt,
                configVersion: index.version,
                body: result.body,
            });
        });
    };

    const handleAfterStart = async (
        req: IncomingMessage,
        res: ServerResponse,
        info: RequestInfo,
        arrivedAt: number,
    ) => {
        await options.startupGate.wait(
            Math.min(maxStartWaitMs, (info.deadlineMs ?? Infinity) * startWaitPart),
        );
        if (!req.socket.destroyed) {
            handle(req, res, info, arrivedAt);
        }
    };

    return {
        active: () => active,
        handle: (req, res) => {
            const info = protocol.readRequest(req.headers);
            if (options.startupGate.isOpen()) {
                handle(req, res, info, clock.now());
            } else {
                void handleAfterStart(req, res, info, clock.now());
            }
        },
    };
}

function pathOf(url: string): string {
    const mark = url.indexOf("?");
    return mark < 0 ? url : url.slice(0, mark);
}
