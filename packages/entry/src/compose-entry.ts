/** Composition of an entry: which part is built from which. */
// tsyringe checks for the polyfill when it is loaded, so this import is the first one.
import "reflect-metadata";
import { createBackendDirectory, createHealthProbe } from "@waxwingdale/backends";
import type { BackendDirectory } from "@waxwingdale/backends";
import {
    createCarrier,
    createConnectionPools,
    createRequestRecords,
    createRouteTable,
} from "@waxwingdale/carrier";
import type {
    Carrier,
    ConnectionPools,
    RequestRecord,
    RequestRecords,
    RouteTable,
} from "@waxwingdale/carrier";
import { createClaimService, createCrashGuard } from "@waxwingdale/claims";
import type { ManagedClaimService, ManagedCrashGuard } from "@waxwingdale/claims";
import { createAcceptedConfig, createDocumentExchange, createReplicatedDocument } from "@waxwingdale/config";
import type { AcceptedConfig, DocumentExchange, ReplicatedDocument } from "@waxwingdale/config";
import { MemberStatus, createRpcClient, createRpcServer, pickOwner, rankOwners } from "@waxwingdale/core";
import type { Clock, Logger, Member, ObjectStore, Random, RpcClient, RpcServer } from "@waxwingdale/core";
import { createLinkShaper, createRetryBudget, createSlotBroker } from "@waxwingdale/limits";
import type { LinkShaper, RetryBudget, SlotBroker } from "@waxwingdale/limits";
import { manifestSchema } from "@waxwingdale/manifest";
import type { AcceptedManifest, Manifest } from "@waxwingdale/manifest";
import { createMembership } from "@waxwingdale/membership";
import type { Membership } from "@waxwingdale/membership";
import { createReportCollector, createReportMeter } from "@waxwingdale/reports";
import type { ReportCollector, ReportMeter } from "@waxwingdale/reports";
import {
    createLookupDirectory,
    createLookupTable,
    createPlanner,
    createTrafficSteering,
    findDeadRegions,
    findRoute,
    parsePlan,
    planKey,
} from "@waxwingdale/steering";
import type {
    EntryLookupDirectory,
    EntrySteering,
    LookupTable,
    PlanObject,
    Planner,
} from "@waxwingdale/steering";
import { createLease } from "@waxwingdale/store";
import type { Lease } from "@waxwingdale/store";
import { createTraceRecorder } from "@waxwingdale/trace";
import type { TraceRecorder } from "@waxwingdale/trace";
import { container } from "tsyringe";
import type { DependencyContainer } from "tsyringe";
import { Agent } from "undici";
import * as v from "valibot";
import { createEntryMetrics } from "./entry-metrics.js";
import type { EntryMetrics } from "./entry-metrics.js";
import { createEntryRecordWriter } from "./entry-record.js";
import type { EntryRecordWriter } from "./entry-record.js";
import type { Settings } from "./settings.js";
import { createSlotReadiness } from "./slot-readiness.js";
import type { SlotReadiness } from "./slot-readiness.js";
import { createToken, register, resolveToken } from "./tokens.js";
import type { Resolve, Token } from "./tokens.js";
import { createTraceTap } from "./trace-tap.js";
import type { TraceTap } from "./trace-tap.js";

/** What is known before any part is built. */
export interface EntryBase {
    settings: Settings;
    fleetKey: string;
    self: Member;
    operatorAddress: string;
    clock: Clock;
    random: Random;
    logger: Logger;
    store: ObjectStore;
    /** Aborts when the process stops. */
    signal: AbortSignal;
}

export const tokens = {
    base: createToken<EntryBase>("base"),
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

/** Entries of the store's region that compete for the planner lease. More would only add calls to the store. */
const plannerCandidates = 3;
/** Claim limits before the first manifest. No claim is made without a manifest. */
const initialClaimLimits = { shards: 1, maxWritesPerSecond: 1, retentionSeconds: 3600, maxOutcomeBytes: 0 };
/** Retry budget of routes that are not idempotent. They are sent again only when they certainly did not run. */
const notRunRetryShare = 0.1;
const initialCrashLimits = { crashLimit: 2, quarantineSeconds: 600 };

/** Creates the container of one entry. Nothing runs yet. */
export function composeEntry(base: EntryBase): DependencyContainer {
    const scope = container.createChildContainer();
    const add = <T>(token: Token<T>, create: (resolve: Resolve) => T) => register(scope, token, create);
    add(tokens.base, () => base);
    composeTransport(add);
    composeConfig(add);
    composeLimits(add);
    composeSteering(add);
    composeTrace(add);
    composeCarrier(add);
    return scope;
}

type Add = <T>(token: Token<T>, create: (resolve: Resolve) => T) => void;

function composeTransport(add: Add): void {
    add(tokens.rpcServer, get => createRpcServer(get(tokens.base).logger));
    add(tokens.rpcClient, get => {
        const { settings, fleetKey } = get(tokens.base);
        return createRpcClient({ id: settings.id, fleetKey });
    });
    add(tokens.membership, get => {
        const { self, clock, random, logger, settings } = get(tokens.base);
        const findSeeds = async () => {
            const recorded = await get(tokens.entryRecord)
                .listPeerAddresses()
                .catch(() => []);
            return [...settings.seeds, ...recorded];
        };
        return createMembership({
            self,
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            clock,
            random,
            logger,
            findSeeds,
        });
    });
    add(tokens.entryRecord, get => {
        const { store, clock, logger, operatorAddress, signal } = get(tokens.base);
        return createEntryRecordWriter({
            store,
            clock,
            logger,
            operatorAddress,
            signal,
            self: () => get(tokens.membership).self(),
        });
    });
}

function composeConfig(add: Add): void {
    add(tokens.exchange, get =>
        createDocumentExchange({ registry: get(tokens.rpcServer), logger: get(tokens.base).logger }),
    );
    add(tokens.config, get => {
        const { store, clock, random, logger } = get(tokens.base);
        const parseManifest = (value: unknown): Manifest => v.parse(manifestSchema, value);
        return createAcceptedConfig({
            store,
            transport: get(tokens.rpcClient),
            exchange: get(tokens.exchange),
            clock,
            random,
            logger,
            parseManifest,
        });
    });
    add(tokens.plan, get => {
        const { store, clock, random, logger } = get(tokens.base);
        return createReplicatedDocument<PlanObject>({
            name: planKey,
            key: planKey,
            store,
            transport: get(tokens.rpcClient),
            exchange: get(tokens.exchange),
            clock,
            random,
            logger,
            getOrder: value => {
                const { epoch, step } = readPlan(value);
                return [epoch, step];
            },
            parse: readPlan,
        });
    });
}

function readPlan(value: unknown): PlanObject {
    const plan = parsePlan(value);
    if (plan === undefined) {
        throw new Error("the value is not a plan");
    }
    return plan;
}

function composeLimits(add: Add): void {
    add(tokens.backends, get => {
        const { settings, store, clock, random, logger, signal } = get(tokens.base);
        const membership = get(tokens.membership);
        const agent = new Agent({ connections: 1, connect: { timeout: 800 } });
        signal.addEventListener("abort", () => void agent.destroy(), { once: true });
        return createBackendDirectory({
            region: settings.region,
            store,
            view: membership,
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            clock,
            random,
            logger,
            manifest: () => get(tokens.config).current()?.manifest,
            probe: createHealthProbe(() => agent),
            isStillNeeded: service =>
                isHomeStillServed(
                    get(tokens.steering).currentPlan(),
                    get(tokens.config).current(),
                    service,
                    settings.region,
                ),
            isProbedHere: serverId => {
                const ids = membership.liveInRegion(settings.region).map(member => member.id);
                return pickOwner(serverId, ids) === settings.id;
            },
        });
    });
    add(tokens.broker, get => {
        const { clock, random, logger } = get(tokens.base);
        const backends = get(tokens.backends);
        const broker = createSlotBroker({
            view: get(tokens.membership),
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            servers: () => backends.servers(),
            clock,
            random,
            logger,
        });
        backends.onChange(() => broker.onServersChanged());
        get(tokens.config).onChange(() => backends.onManifestChanged());
        return broker;
    });
    add(tokens.links, get => {
        const { settings, clock, logger } = get(tokens.base);
        const listLinks = () => get(tokens.config).current()?.manifest.links ?? [];
        return createLinkShaper({
            view: get(tokens.membership),
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            links: () => listLinks().filter(({ from }) => from === settings.region),
            clock,
            logger,
        });
    });
    add(tokens.slotReadiness, get =>
        createSlotReadiness(get(tokens.base).clock, get(tokens.broker), get(tokens.backends)),
    );
    add(tokens.claims, get => {
        const { store, clock, random, logger, settings } = get(tokens.base);
        const manifest = () => get(tokens.config).current()?.manifest;
        return createClaimService({
            store,
            view: get(tokens.membership),
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            storeRegion: () => manifest()?.storeRegion ?? settings.region,
            limits: () => manifest()?.claims ?? initialClaimLimits,
            clock,
            random,
            logger,
        });
    });
    add(tokens.crashGuard, get => {
        const { clock, logger } = get(tokens.base);
        return createCrashGuard({
            view: get(tokens.membership),
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            clock,
            logger,
            limits: () => get(tokens.config).current()?.manifest.quarantine ?? initialCrashLimits,
        });
    });
}

/** Whether callers of a drained region are still served at home, because their traffic leaves at the declared pace. */
function isHomeStillServed(
    plan: PlanObject | undefined,
    accepted: AcceptedManifest | undefined,
    service: string,
    region: string,
): boolean {
    if (plan === undefined || accepted === undefined || plan.generation < accepted.generation) {
        return true;
    }
    return (findRoute(plan, service, region)?.homePerSecond ?? 0) > 0;
}

function composeSteering(add: Add): void {
    add(tokens.steering, get => {
        const { clock, logger } = get(tokens.base);
        const steering = createTrafficSteering({
            view: get(tokens.membership),
            clock,
            logger,
            accepted: () => get(tokens.config).current(),
        });
        get(tokens.plan).onChange(plan => {
            if (steering.applyPlan(plan)) {
                get(tokens.traceTap).noteApplied(plan);
            }
        });
        return steering;
    });
    add(tokens.lookups, get => {
        const config = get(tokens.config);
        let table: LookupTable | undefined;
        config.onChange(({ manifest }) => (table = createLookupTable(manifest.clientBlocks)));
        return createLookupDirectory({
            view: get(tokens.membership),
            clock: get(tokens.base).clock,
            accepted: () => config.current(),
            plan: () => get(tokens.steering).currentPlan(),
            table: () => table,
        });
    });
    add(tokens.lease, get => {
        const { store, clock, random, logger, settings } = get(tokens.base);
        return createLease({
            store,
            key: "lease/planner",
            holder: settings.id,
            clock,
            random,
            logger,
            isCandidate: () => isPlannerCandidate(get(tokens.membership), get(tokens.config)),
            knownEpoch: () => get(tokens.plan).status().order?.[0] ?? 0,
        });
    });
    add(tokens.meter, get => {
        const { settings, clock } = get(tokens.base);
        const backends = get(tokens.backends);
        return createReportMeter({
            entry: settings.id,
            region: settings.region,
            clock,
            servers: () => backends.servers(),
            manifest: () => get(tokens.config).current()?.manifest,
            listAgeMs: () => backends.listAgeMs(),
        });
    });
    add(tokens.collector, get => {
        const { clock, logger } = get(tokens.base);
        return createReportCollector({
            view: get(tokens.membership),
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            clock,
            logger,
            ownReport: capacities => get(tokens.meter).report(capacities),
            isCollecting: () => get(tokens.lease).isHeld(),
        });
    });
    add(tokens.planner, get => {
        const { store, clock, logger } = get(tokens.base);
        const lease = get(tokens.lease);
        // Membership forgets members that are dead for long; their region stays dead.
        let deadRegions: ReadonlySet<string> = new Set();
        return createPlanner({
            store,
            lease: { isHeld: () => lease.isHeld(), epoch: () => lease.epoch() ?? 0 },
            clock,
            logger,
            observe: () => {
                const accepted = get(tokens.config).current();
                if (accepted === undefined) {
                    return undefined;
                }
                const collector = get(tokens.collector);
                deadRegions = findDeadRegions(get(tokens.membership), accepted.manifest, deadRegions);
                return {
                    accepted,
                    demands: collector.demands(),
                    capacities: collector.capacities(),
                    deadRegions,
                };
            },
            onObservation: (input, plan) => get(tokens.traceTap).notePlan(input, plan),
            onPlan: plan => get(tokens.plan).adopt(plan),
        });
    });
}

/** The first entries of the store's region by rendezvous rank; those of any region when that one has none. */
function isPlannerCandidate(membership: Membership, config: AcceptedConfig): boolean {
    const self = membership.self();
    const storeRegion = config.current()?.manifest.storeRegion;
    if (storeRegion === undefined || self.status !== MemberStatus.Live) {
        return false;
    }
    const near = membership.liveInRegion(storeRegion);
    const candidates =
        near.length > 0 ? near : membership.members().filter(({ status }) => status === MemberStatus.Live);
    const ids = candidates.map(member => member.id);
    return rankOwners("lease/planner", ids).slice(0, plannerCandidates).includes(self.id);
}

function composeTrace(add: Add): void {
    add(tokens.trace, get => {
        const { settings, clock, signal } = get(tokens.base);
        const recorder = createTraceRecorder({ entry: settings.id, region: settings.region, clock });
        signal.addEventListener("abort", () => recorder.close(), { once: true });
        return recorder;
    });
    add(tokens.traceTap, get => {
        const { settings, clock, fleetKey } = get(tokens.base);
        return createTraceTap({ recorder: get(tokens.trace), entry: settings.id, clock, fleetKey });
    });
}

function composeCarrier(add: Add): void {
    add(tokens.pools, get => createConnectionPools(() => get(tokens.base).clock.now()));
    add(tokens.records, get => createRequestRecords(get(tokens.base).settings.requestRecords));
    add(tokens.metrics, () => createEntryMetrics());
    add(tokens.carrier, get => {
        const { settings, clock, logger, fleetKey } = get(tokens.base);
        const config = get(tokens.config);
        const meter = get(tokens.meter);
        const trace = get(tokens.traceTap);
        return createCarrier({
            id: settings.id,
            region: settings.region,
            clock,
            logger,
            fleetKey,
            view: get(tokens.membership),
            slots: get(tokens.broker),
            claims: get(tokens.traceTap).watchClaims(get(tokens.claims)),
            crashGuard: get(tokens.crashGuard),
            links: get(tokens.links),
            steering: get(tokens.steering),
            pools: get(tokens.pools),
            records: get(tokens.records),
            metrics: get(tokens.metrics),
            routes: createRoutesOfManifest(config),
            retryBudget: createBudgets(config),
            maxOutcomeBytes: () => config.current()?.manifest.claims.maxOutcomeBytes ?? 0,
            findHome: client => get(tokens.lookups).findHome(client) ?? settings.region,
            noteDraining: serverId => get(tokens.backends).noteDraining(serverId),
            onFinished: record => {
                noteFinished(meter, record, settings.region);
                trace.noteRequest(record);
            },
        });
    });
}

function noteFinished(meter: ReportMeter, record: RequestRecord, region: string): void {
    meter.noteRequest(record);
    const last = record.attempts.at(-1);
    if (last?.region === region && last.result === "ran") {
        meter.noteServiceTime(record.service, last.ms);
    }
}

/** Returns the routes of the manifest in force; the table is built once for each generation. */
function createRoutesOfManifest(config: AcceptedConfig): () => RouteTable | undefined {
    let generation = 0;
    let table: RouteTable | undefined;
    return () => {
        const accepted = config.current();
        if (accepted !== undefined && accepted.generation !== generation) {
            generation = accepted.generation;
            table = createRouteTable(accepted.manifest.services);
        }
        return table;
    };
}

/** Returns the retry budget of a route; a new share in the manifest starts a new budget. */
function createBudgets(config: AcceptedConfig): (service: string, route: string) => RetryBudget {
    let generation = 0;
    let budgets = new Map<string, RetryBudget>();
    return (service, route) => {
        const accepted = config.current();
        if (accepted !== undefined && accepted.generation !== generation) {
            generation = accepted.generation;
            budgets = new Map();
        }
        const key = `${service}/${route}`;
        let budget = budgets.get(key);
        if (budget === undefined) {
            const spec = accepted?.manifest.services
                .find(({ name }) => name === service)
                ?.routes.find(({ name }) => name === route);
            budget = createRetryBudget(spec?.idempotent === true ? spec.retryBudget : notRunRetryShare);
            budgets.set(key, budget);
        }
        return budget;
    };
}

export { resolveToken };
