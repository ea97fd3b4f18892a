/** Accepts requests of callers: selects route and service, reads the body and forwards the request. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { QuotaVerdict, createServiceSplit } from "@waxwingdale/balancing";
import type { Route, RouteIndex, ServiceSplit } from "@waxwingdale/balancing";
import type { Random } from "@waxwingdale/core";
import { createAcceptDelay } from "./accept-delay.js";
import { getBodyLimits } from "./body-limits.js";
import { createBodyMemory } from "./body-memory.js";
import { onceResponseCloses, sendLocalResponse } from "./caller-response.js";
import {
    describeDenial,
    describeMissingRoute,
    describeQuota,
    describeRejection,
    describeShutdown,
} from "./early-rejection.js";
import type { EarlyRejection } from "./early-rejection.js";
import { forwardRequest } from "./forward-request.js";
import type { ForwardingOptions } from "./forwarding-options.js";
import { discardBody, readBody } from "./request-body.js";
import { getCallerDeadlineMs } from "./request-deadline.js";
import type { Arrival } from "./request-deadline.js";
import { RequestOutcome } from "./request-outcome.js";
import type { StartupGate } from "./startup-gate.js";
import type { RequestInfo } from "./wire-protocol.js";
import { checkAccess, isKeyValid } from "./workspace-access.js";
import type { CallerIdentity } from "./workspace-access.js";

export interface RelayOptions extends ForwardingOptions {
    /** Current routes; undefined until the first configuration is loaded. */
    routes: () => RouteIndex | undefined;
    maxBodyBytes: () => number;
    /**
     * Limit in bytes for the bodies of all requests together; a body that is alone may exceed it.
     * @default that of a machine with enough memory
     */
    maxRequestMemoryBytes?: number;
    /** Whether this instance would know if a key had been withdrawn. */
    mayServeKeys: () => boolean;
    /** Number of instances that serve traffic. */
    instances: () => number;
    random: Random;
    startupGate: StartupGate;
}

/** A request whose headers have been read. */
interface ReadRequest extends Arrival {
    req: IncomingMessage;
    res: ServerResponse;
    info: RequestInfo;
}

/** Where a request goes, and whose it is. */
interface Target {
    index: RouteIndex;
    route: Route;
    identity: CallerIdentity;
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

/** Maximum wait for startup: two round trips to a store in another region, doubled. */
const maxStartupWaitMs = 600;
/** Fraction of the caller's deadline that the wait may use; the rest is left for the request itself. */
const startupWaitFraction = 0.3;

export function createRelay(options: RelayOptions): Relay {
    const { clock, protocol } = options;
    const acceptDelay = createAcceptDelay(clock, options.eventLoop);
    const requestMemory = createBodyMemory(
        options.maxRequestMemoryBytes ?? getBodyLimits(undefined).requestBytes,
        clock,
    );
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
        { res, info }: ReadRequest,
        {
            status,
            reason,
            headers,
            outcome = RequestOutcome.Refused,
            route,
            workspace,
            version,
            denial,
        }: EarlyRejection,
    ) => {
        sendLocalResponse(res, status, reason, headers);
        options.onRequest({
            requestId: info.requestId ?? "",
            route: route?.name ?? "",
            kind: route?.kind,
            service: "",
            workspace,
            object: info.objectKey ?? "",
            outcome,
            status,
            reason,
            denial,
            configVersion: version ?? 0,
            unreadMs: options.eventLoop.pendingMs(),
            waitedMs: 0,
            tookMs: 0,
            deadlineMs: info.deadlineMs ?? 0,
            attempts: [],
        });
    };

    /** Rejects a request whose body has not been read. */
    const rejectUnread = (read: ReadRequest, rejection: EarlyRejection) => {
        discardBody(read.req, options.maxBodyBytes());
        reject(read, rejection);
    };

    const mayEndLate = ({ info, arrivedAt }: ReadRequest, route: Route) =>
        arrivedAt + Math.min(getCallerDeadlineMs(info.deadlineMs), route.timeoutMs) > endAt;

    const handle = (read: ReadRequest) => {
        const { req, info } = read;
        const index = options.routes();
        const route = index?.find(req.headers.host ?? "", getPath(req.url ?? "/"));
        if (index === undefined || route === undefined) {
            rejectUnread(read, describeMissingRoute(index, protocol));
            return;
        }
        const { version } = index;
        const access = checkAccess(index, route, info.apiKey, options.mayServeKeys);
        if ("denial" in access) {
            const { denial } = access;
            rejectUnread(read, { ...describeDenial(denial, protocol), denial, route, version });
            return;
        }
        if (mayEndLate(read, route)) {
            rejectUnread(read, { ...describeShutdown(protocol), route, version });
            return;
        }
        handleIdentified(read, { index, route, identity: access.identity });
    };

    /** Takes the request from the quota of its workspace, reads its body and forwards it. */
    const handleIdentified = (read: ReadRequest, target: Target) => {
        const { req, res } = read;
        const { index, route, identity } = target;
        const { workspace } = identity;
        let isClosed = false;
        active += 1;
        onceResponseCloses(req, res, () => {
            active -= 1;
            isClosed = true;
        });
        if (workspace === undefined) {
            readAndForward(read, target, () => undefined);
            return;
        }
        const refund = () => options.quota.refund(workspace);
        options.quota.acquire(workspace, decision => {
            const isAdmitted = decision.verdict === QuotaVerdict.Admitted;
            if (isClosed && isAdmitted) {
                refund();
            } else if (isAdmitted) {
                readAndForward(read, target, refund);
            } else if (!isClosed) {
                rejectUnread(read, {
                    ...describeQuota(decision, protocol),
                    route,
                    workspace: workspace.name,
                    version: index.version,
                });
            }
        });
    };

    const readAndForward = (
        read: ReadRequest,
        { index, route, identity }: Target,
        refundQuota: () => void,
    ) => {
        const { req, res, info, ...arrival } = read;
        const { version } = index;
        const memory = requestMemory.open();
        let isRead = false;
        onceResponseCloses(req, res, () => {
            memory.release();
            if (!isRead) {
                refundQuota();
            }
        });
        readBody(req, options.maxBodyBytes(), memory, result => {
            isRead = true;
            if ("rejection" in result) {
                refundQuota();
                const workspace = identity.workspace?.name;
                reject(read, { ...describeRejection(result.rejection, protocol), route, workspace, version });
                return;
            }
            const service = getSplit(route, version).next(info.objectKey);
            forwardRequest(options, {
                req,
                res,
                info,
                identity,
                route,
                service,
                ...arrival,
                configVersion: version,
                body: result.body,
                refundQuota,
                mayBeSent: () =>
                    isKeyValid(
                        options.routes(),
                        { identity, route, apiKey: info.apiKey },
                        options.mayServeKeys,
                    ),
            });
        });
    };

    const handleAfterStartup = async (read: ReadRequest) => {
        const { socket } = read.req;
        await options.startupGate.wait(
            Math.min(maxStartupWaitMs, (read.info.deadlineMs ?? Infinity) * startupWaitFraction),
        );
        if (!socket.destroyed && !socket.readableEnded) {
            handle(read);
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
            const read = {
                req,
                res,
                info: protocol.readRequest(req.headers),
                arrivedAt: clock.now(),
                unreadMs: options.eventLoop.pendingMs(),
                queuedMs: acceptDelay.pendingMs(req.socket),
            };
            if (options.startupGate.isOpen()) {
                handle(read);
            } else {
                void handleAfterStartup(read);
            }
        },
    };
}

function getPath(url: string): string {
    const queryIndex = url.indexOf("?");
    return queryIndex < 0 ? url : url.slice(0, queryIndex);
}
