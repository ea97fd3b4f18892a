/** Dependency injection tokens of a gateway instance. */
import type {
    AdmissionControl,
    BackendTable,
    Balancer,
    CandidateHistory,
    WindowedRetryBudget,
} from "@waxwingdale/balancing";
import type { DocumentExchange } from "@waxwingdale/config";
import { createToken } from "@waxwingdale/core";
import type {
    Clock,
    ElapsedClock,
    EventLoopMonitor,
    Logger,
    Member,
    ObjectStore,
    Random,
    Resolve,
    RpcClient,
    RpcServer,
    Token,
} from "@waxwingdale/core";
import type { Membership } from "@waxwingdale/membership";
import type {
    BeginTrial,
    CrashSuspects,
    Relay,
    ServerExaminer,
    StartupGate,
    UpstreamPool,
    WireProtocol,
} from "@waxwingdale/relay";
import type { CrashArchive } from "./crash-archive.js";
import type { GatewayMetrics } from "./gateway-metrics.js";
import type { InstanceDirectory } from "./instance-directory.js";
import type { InstanceTopology } from "./instance-topology.js";
import type { LoadReportExchange } from "./load-report-exchange.js";
import type { QuotaExchange } from "./quota-exchange.js";
import type { GatewaySettings } from "./settings.js";
import type { StoreView } from "./store-view.js";
import type { StoreWitness } from "./store-witness.js";
import type { StoreWatches } from "./store-watches.js";
import type { TrafficDocument } from "./traffic-document.js";
import type { ViewConfirmation } from "./view-confirmation.js";
import type { ViewFreshness } from "./view-freshness.js";

/** Values and services that exist before any component is created. */
export interface GatewayContext {
    /** Current settings; all but the instance's identity, location and addresses may change. */
    settings: () => GatewaySettings;
    self: Member;
    clock: Clock;
    random: Random;
    logger: Logger;
    store: ObjectStore;
    protocol: WireProtocol;
    fleetKey: string;
    /** Aborted when the process stops. */
    signal: AbortSignal;
}

export const tokens = {
    context: createToken<GatewayContext>("context"),
    metrics: createToken<GatewayMetrics>("metrics"),
    eventLoop: createToken<EventLoopMonitor>("eventLoop"),
    rpcServer: createToken<RpcServer>("rpcServer"),
    rpcClient: createToken<RpcClient>("rpcClient"),
    membership: createToken<Membership>("membership"),
    directory: createToken<InstanceDirectory>("directory"),
    storeWitness: createToken<StoreWitness>("storeWitness"),
    topology: createToken<InstanceTopology>("topology"),
    /** Whether this instance knows the others, or that there are none. */
    isEstablished: createToken<() => boolean>("isEstablished"),
    candidateHistory: createToken<CandidateHistory>("candidateHistory"),
    coldSenderHistory: createToken<CandidateHistory>("coldSenderHistory"),
    exchange: createToken<DocumentExchange>("exchange"),
    store: createToken<ObjectStore>("store"),
    /** Clock of everything that is read from the store or from peers in its place. */
    viewClock: createToken<ElapsedClock>("viewClock"),
    viewConfirmation: createToken<ViewConfirmation>("viewConfirmation"),
    viewFreshness: createToken<ViewFreshness>("viewFreshness"),
    storeWatches: createToken<StoreWatches>("storeWatches"),
    config: createToken<TrafficDocument>("config"),
    table: createToken<BackendTable>("table"),
    storeView: createToken<StoreView>("storeView"),
    balancer: createToken<Balancer>("balancer"),
    loadReports: createToken<LoadReportExchange>("loadReports"),
    admission: createToken<AdmissionControl>("admission"),
    quota: createToken<QuotaExchange>("quota"),
    retryBudgets: createToken<(service: string) => WindowedRetryBudget>("retryBudgets"),
    pool: createToken<UpstreamPool>("pool"),
    crashSuspects: createToken<CrashSuspects>("crashSuspects"),
    crashArchive: createToken<CrashArchive>("crashArchive"),
    beginTrial: createToken<BeginTrial>("beginTrial"),
    serverExaminer: createToken<ServerExaminer>("serverExaminer"),
    startupGate: createToken<StartupGate>("startupGate"),
    relay: createToken<Relay>("relay"),
};

/** Registers the factory of a component. */
export type RegisterComponent = <T>(token: Token<T>, create: (get: Resolve) => T) => void;
