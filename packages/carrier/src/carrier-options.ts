/** What the carrier needs from the other packages. */
import type {
    ClaimService,
    Clock,
    CrashGuard,
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
    /** Routes of the manifest in force, or undefined before there is one. */
    routes: () => RouteTable | undefined;
    retryBudget: (service: string, route: string) => RetryBudget;
    maxOutcomeBytes: () => number;
    /** Home region of a caller's address. */
    findHomeRegion: (client: string) => string;
    /** A backend server said on an answer that it drains. */
    markDraining: (serverId: string) => void;
    /** Called once for each request that a caller sent to this entry, after its end. */
    onFinished: (record: RequestRecord) => void;
}
