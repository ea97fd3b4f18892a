/** Dependency injection tokens of an entry. */
import type { BackendDirectory } from "@waxwingdale/backends";
import type { Carrier, ConnectionPools, RequestRecords } from "@waxwingdale/carrier";
import type { ManagedClaimService, ManagedCrashGuard } from "@waxwingdale/claims";
import type { AcceptedConfig, DocumentExchange, ReplicatedDocument } from "@waxwingdale/config";
import type { Clock, Logger, Member, ObjectStore, Random, RpcClient, RpcServer } from "@waxwingdale/core";
import type { LinkShaper, SlotBroker } from "@waxwingdale/limits";
import type { Membership } from "@waxwingdale/membership";
import type { ReportCollector, ReportMeter } from "@waxwingdale/reports";
import type { EntryLookupDirectory, EntrySteering, PlanObject, Planner } from "@waxwingdale/steering";
import type { Lease } from "@waxwingdale/store";
import type { TraceRecorder } from "@waxwingdale/trace";
import type { EntryMetrics } from "./entry-metrics.js";
import type { EntryRecordWriter } from "./entry-record.js";
import type { Settings } from "./settings.js";
import type { SlotReadiness } from "./slot-readiness.js";
import { createToken } from "@waxwingdale/core";
import type { EventLoopMonitor, Resolve, Token } from "@waxwingdale/core";
import type { TraceTap } from "./trace-tap.js";

/** Values and services that exist before any component is created. */
export interface EntryContext {
    settings: Settings;
    fleetKey: string;
    self: Member;
    operatorAddress: string;
    clock: Clock;
    random: Random;
    logger: Logger;
    store: ObjectStore;
    /** Aborted when the process stops. */
    signal: AbortSignal;
}

export const tokens = {
    context: createToken<EntryContext>("context"),
    eventLoop: createToken<EventLoopMonitor>("eventLoop"),
    rpcServer: createToken<RpcServer>("rpcServer"),
    rpcClient: createToken<RpcClient>("rpcClient"),
    membership: createToken<Membership>("membership"),
    exchange: createToken<DocumentExchange>("exchange"),
    config: createToken<AcceptedConfig>("config"),
    plan: createToken<ReplicatedDocument<PlanObject>>("plan"),
    backends: createToken<BackendDirectory>("backends"),
    broker: createToken<SlotBroker>("broker"),
    links: createToken<LinkShaper>("links"),
    slotReadiness: createToken<SlotReadiness>("slotReadiness"),
    claims: createToken<ManagedClaimService>("claims"),
    crashGuard: createToken<ManagedCrashGuard>("crashGuard"),
    steering: createToken<EntrySteering>("steering"),
    lookups: createToken<EntryLookupDirectory>("lookups"),
    lease: createToken<Lease>("lease"),
    planner: createToken<Planner>("planner"),
    meter: createToken<ReportMeter>("meter"),
    collector: createToken<ReportCollector>("collector"),
    pools: createToken<ConnectionPools>("pools"),
    records: createToken<RequestRecords>("records"),
    metrics: createToken<EntryMetrics>("metrics"),
    entryRecord: createToken<EntryRecordWriter>("entryRecord"),
    carrier: createToken<Carrier>("carrier"),
    trace: createToken<TraceRecorder>("trace"),
    traceTap: createToken<TraceTap>("traceTap"),
};

/** Registers the factory of a component. */
export type RegisterComponent = <T>(token: Token<T>, create: (resolve: Resolve) => T) => void;
