/** What forwarding needs: the components of the instance, and the request. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type {
    AdmissionControl,
    Balancer,
    QuotaGate,
    Route,
    WindowedRetryBudget,
} from "@waxwingdale/balancing";
import type { Clock, EventLoopMonitor } from "@waxwingdale/core";
import type { CrashSuspects } from "./crash-suspects.js";
import type { BeginTrial, CrashObserver } from "./crash-watch.js";
import type { Arrival } from "./request-deadline.js";
import type { RequestRecord } from "./request-outcome.js";
import type { ServerExaminer } from "./server-examiner.js";
import type { UpstreamPool } from "./upstream-pool.js";
import type { RequestInfo, WireProtocol } from "./wire-protocol.js";
import type { CallerIdentity } from "./workspace-access.js";

/** Components that all forwarded requests share. */
export interface ForwardingOptions {
    clock: Clock;
    eventLoop: EventLoopMonitor;
    protocol: WireProtocol;
    balancer: Balancer;
    admission: AdmissionControl;
    /** Quotas of the workspaces. */
    quota: QuotaGate;
    pool: UpstreamPool;
    /** Requests that may crash servers. */
    crashSuspects: CrashSuspects;
    crashObserver: CrashObserver;
    beginTrial: BeginTrial;
    serverExaminer: ServerExaminer;
    /** Retry budget of a service. */
    getRetryBudget: (service: string) => WindowedRetryBudget;
    onRequest: (record: RequestRecord) => void;
    /** Called when another server has taken over the address of the given server. */
    onMisdirected: (serverId: string) => void;
    /** Called when a server has announced in a response that it shuts down. */
    onLeaving: (serverId: string) => void;
}

/** A request with its route and its complete body. */
export interface RelayedRequest extends Arrival {
    req: IncomingMessage;
    res: ServerResponse;
    info: RequestInfo;
    identity: CallerIdentity;
    route: Route;
    service: string;
    configVersion: number;
    body: Buffer | undefined;
    /** Returns what the request has taken from the quota of its workspace; called if it was never sent. */
    refundQuota: () => void;
    /** Whether the request's key still identifies the same workspace; checked whenever it is sent to a server. */
    mayBeSent: () => boolean;
}
