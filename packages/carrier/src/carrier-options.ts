/** Options and dependencies of the carrier. */
import type {
    ClaimService,
    Clock,
    CrashGuard,
    EventLoopMonitor,
    LinkShaper,
    Logger,
    MemberView,
    Outcome,
    ReasonCode,
    RequestClass,
    SlotSource,
    TrafficSteering,
} from "@waxwingdale/core";
import type { RetryBudget } from "@waxwingdale/limits";
import type { ConnectionPools } from "./connection-pools.js";
import type { RequestRecord, RequestRecords } from "./request-record.js";
import type { RouteTable } from "./route-table.js";

export interface CarrierMetrics {
    recordRequest(
        service: string,
        requestClass: RequestClass,
        outcome: Outcome,
        reason: ReasonCode | undefined,
        ms: number,
    ): void;
    recordRetry(service: string): void;
}

export interface CarrierOptions {
    id: string;
    region: string;
    clock: Clock;
    eventLoop: EventLoopMonitor;
    logger: Logger;
    fleetKey: string;
    view: MemberView;
    slots: SlotSource;
    claims: ClaimService;
    crashGuard: CrashGuard;
    links: LinkShaper;
    steering: TrafficSteering;
    pools: ConnectionPools;
    records: RequestRecords;
    metrics: CarrierMetrics;
    /** Routes of the active manifest, or undefined before there is one. */
    routes: () => RouteTable | undefined;
    retryBudget: (service: string, route: string) => RetryBudget;
    maxOutcomeBytes: () => number;
    /** Returns the home region of a caller's address. */
    findHomeRegion: (client: string) => string;
    /** Called if a response of a backend server says that the server is draining. */
    markDraining: (serverId: string) => void;
    /** Called after each request that a caller sent to this entry. Not called for requests from other entries. */
    onFinished: (record: RequestRecord) => void;
}
