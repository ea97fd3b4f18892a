/** The parts of a gateway instance, as the composition names them. */
import type { AdmissionControl, BackendTable, Balancer, WindowedRetryBudget } from "@waxwingdale/balancing";
import type { DocumentExchange } from "@waxwingdale/config";
import { createToken } from "@waxwingdale/core";
import type {
    Clock,
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
import type { Relay, StartupGate, UpstreamPool, WireProtocol } from "@waxwingdale/relay";
import type { GatewayMetrics } from "./gateway-metrics.js";
import type { InstanceDirectory } from "./instance-directory.js";
import type { InstanceTopology } from "./instance-topology.js";
import type { GatewaySettings } from "./settings.js";
import type { StoreView } from "./store-view.js";
import type { StoreWatches } from "./store-watches.js";
import type { TrafficDocument } from "./traffic-document.js";

/** What is known before any part is built. */
export interface GatewayContext {
    /** Settings in force; all but the instance's place and addresses may change. */
    settings: () => GatewaySettings;
    self: Member;
    clock: Clock;
    random: Random;
    logger: Logger;
    store: ObjectStore;
    protocol: WireProtocol;
    fleetKey: string;
    /** Aborts when the process stops. */
    signal: AbortSignal;
}

/** Tokens of all parts. */
export const tokens = {
    context: createToken<GatewayContext>("base"),
    metrics: createToken<GatewayMetrics>("metrics"),
    rpcServer: createToken<RpcServer>("rpcServer"),
    rpcClient: createToken<RpcClient>("rpcClient"),
    membership: createToken<Membership>("membership"),
    directory: createToken<InstanceDirectory>("directory"),
    topology: createToken<InstanceTopology>("places"),
    exchange: createToken<DocumentExchange>("exchange"),
    store: createToken<ObjectStore>("store"),
    storeWatches: createToken<StoreWatches>("storeWatches"),
    config: createToken<TrafficDocument>("config"),
    table: createToken<BackendTable>("table"),
    storeView: createToken<StoreView>("storeView"),
    balancer: createToken<Balancer>("balancer"),
    admission: createToken<AdmissionControl>("admission"),
    retries: createToken<(service: string) => WindowedRetryBudget>("retries"),
    pool: createToken<UpstreamPool>("pool"),
    startGate: createToken<StartupGate>("startGate"),
    relay: createToken<Relay>("relay"),
};

/** Adds a part to the composition. */
export type RegisterComponent = <T>(token: Token<T>, create: (get: Resolve) => T) => void;
