/** Composition root of a gateway instance: registers its components and wires their dependencies. */
import {
    ReportSource,
    createAdmissionControl,
    createBackendTable,
    createBalancer,
    createCandidateHistory,
    createWindowedRetryBudget,
} from "@waxwingdale/balancing";
import type { Service, WindowedRetryBudget } from "@waxwingdale/balancing";
import { createDocumentExchange } from "@waxwingdale/config";
import {
    createElapsedClock,
    createEventLoopMonitor,
    createRpcClient,
    createRpcServer,
    register,
} from "@waxwingdale/core";
import type { Resolve } from "@waxwingdale/core";
import { createMembership } from "@waxwingdale/membership";
import { configKey } from "@waxwingdale/platform";
import {
    createCrashSuspects,
    createRelay,
    createServerExaminer,
    createStartupGate,
    createUpstreamPool,
    getBodyLimits,
} from "@waxwingdale/relay";
import { createRelayedStore } from "@waxwingdale/store";
import { container } from "tsyringe";
import type { DependencyContainer } from "tsyringe";
import { createCrashArchive } from "./crash-archive.js";
import { createCrashReportExchange } from "./crash-report-exchange.js";
import { canTakeHealthCheck, getTrialDelayMs } from "./crash-suspicion.js";
import { createTrialStart } from "./crash-trial.js";
import { createGatewayMetrics } from "./gateway-metrics.js";
import { tokens } from "./gateway-tokens.js";
import type { GatewayContext, RegisterComponent } from "./gateway-tokens.js";
import { createInstanceCounts } from "./instance-counts.js";
import { createInstanceDirectory } from "./instance-directory.js";
import { createInstanceTopology } from "./instance-topology.js";
import { createServedShares } from "./served-shares.js";
import { createLoadReportExchange } from "./load-report-exchange.js";
import { createQuotaExchange, takeoverMs } from "./quota-exchange.js";
import type { QuotaExchange } from "./quota-exchange.js";
import { createServerReportExchange } from "./server-report-exchange.js";
import { createCrashLog, logRequest, logSkippedResponse } from "./request-log.js";
import { createStoreView } from "./store-view.js";
import { createStoreWatches } from "./store-watches.js";
import { createStoreWitness } from "./store-witness.js";
import { createTrafficDocument, trafficDocumentName } from "./traffic-document.js";
import type { TrafficDocument } from "./traffic-document.js";
import { createViewConfirmation } from "./view-confirmation.js";
import { createViewFreshness } from "./view-freshness.js";

/** Maximum size of a request body in bytes until a configuration sets one. */
const defaultMaxBodyBytes = 1024 * 1024;

/** Interval in milliseconds at which the balancer adapts and the delay of the event loop is measured. */
export const adaptIntervalMs = 100;

/** Store prefixes that an instance watches at the same time: configuration, servers, evacuations. */
const watchedPrefixCount = 3;

/** Creates the dependency container of an instance. Nothing is started yet. */
export function composeGateway(context: GatewayContext): DependencyContainer {
    const scope = container.createChildContainer();
    const add: RegisterComponent = (token, create) => register(scope, token, create);
    add(tokens.context, () => context);
    add(tokens.metrics, () => createGatewayMetrics());
    add(tokens.eventLoop, get => createEventLoopMonitor(get(tokens.context).clock, adaptIntervalMs));
    composePeers(add);
    composeState(add);
    composeBalancing(add);
    composeRelay(add);
    return scope;
}

/** Time in milliseconds after which an instance that finds nobody, and cannot ask the store, counts as alone. */
const aloneAfterMs = 5000;

/** Registers the components for calls between instances and for membership. */
function composePeers(add: RegisterComponent): void {
    add(tokens.rpcServer, get => createRpcServer(get(tokens.context).logger));
    add(tokens.rpcClient, get => {
        const { settings, fleetKey, logger } = get(tokens.context);
        return createRpcClient({ id: settings().id, fleetKey, connections: 1, logger });
    });
    add(tokens.storeWitness, get => createStoreWitness(get(tokens.context)));
    add(tokens.membership, get => {
        const { self, clock, random, logger, settings } = get(tokens.context);
        return createMembership({
            self,
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            clock,
            random,
            logger,
            findSeeds: async () => settings().seeds,
            findPeers: () => get(tokens.storeWitness).findPeers(),
            witness: get(tokens.storeWitness),
        });
    });
    add(tokens.isEstablished, get => {
        const { clock, settings } = get(tokens.context);
        const startedAt = clock.now();
        return () =>
            get(tokens.membership).hasJoined() ||
            clock.now() - startedAt >= (settings().seeds.length > 0 ? aloneAfterMs : 0);
    });
    add(tokens.topology, get =>
        createInstanceTopology({
            selfId: get(tokens.context).self.id,
            members: () => get(tokens.membership).members(),
        }),
    );
    add(tokens.candidateHistory, get => {
        const { clock, settings } = get(tokens.context);
        return createCandidateHistory({
            clock,
            areas: () => [...new Set(Object.values(settings().zones))],
            countInstances: () => get(tokens.topology).budgetDivisor(),
            candidates: region => get(tokens.topology).inRegionOrAll(region),
            isEstablished: get(tokens.isEstablished),
        });
    });
    add(tokens.coldSenderHistory, get => {
        const { clock, settings } = get(tokens.context);
        return createCandidateHistory({
            clock,
            areas: () => Object.keys(settings().zones),
            countInstances: () => get(tokens.topology).budgetDivisor(),
            candidates: zone => get(tokens.topology).nearest(zone, settings().zones[zone] ?? ""),
            isEstablished: get(tokens.isEstablished),
        });
    });
    add(tokens.directory, get => createInstanceDirectory(() => get(tokens.membership).members()));
}

/** Registers the components that hold the configuration and the backend servers. */
function composeState(add: RegisterComponent): void {
    add(tokens.exchange, get =>
        createDocumentExchange({ registry: get(tokens.rpcServer), logger: get(tokens.context).logger }),
    );
    add(tokens.viewClock, get => {
        const { settings, clock, logger } = get(tokens.context);
        return createElapsedClock({
            clock,
            isEnabled: () => settings().bounds.revokeSeconds !== undefined,
            onSuspended: suspendedMs =>
                logger.warn("process-suspended", { suspendedMs: Math.round(suspendedMs) }),
        });
    });
    add(tokens.storeWatches, get => {
        const { settings, logger } = get(tokens.context);
        return createStoreWatches({ bounds: settings().bounds, clock: get(tokens.viewClock), logger });
    });
    add(tokens.viewFreshness, get => {
        const { settings, logger } = get(tokens.context);
        return createViewFreshness({
            clock: get(tokens.viewClock),
            logger,
            revokeSeconds: () => settings().bounds.revokeSeconds,
            hasWorkspaces: () => get(tokens.config).current()?.workspaces !== undefined,
            asOf: () => get(tokens.storeWatches).asOf(configKey),
        });
    });
    add(tokens.viewConfirmation, get => {
        const { random, logger, signal } = get(tokens.context);
        const watches = get(tokens.storeWatches);
        return createViewConfirmation({
            exchange: get(tokens.exchange),
            documentName: trafficDocumentName,
            members: () => get(tokens.membership),
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            clock: get(tokens.viewClock),
            random,
            logger,
            signal,
            asOf: () => watches.asOf(configKey),
            isNeeded: () => get(tokens.viewFreshness).needsConfirmation(),
            onConfirmed: asOf => watches.advance(configKey, asOf),
        });
    });
    add(tokens.store, get => {
        const watches = get(tokens.storeWatches);
        const { store, logger, settings, fleetKey } = get(tokens.context);
        store.onEraChange(({ from, to }) => logger.warn("store-era-changed", { from: from ?? "none", to }));
        // Watches through a peer are long polls, which would block other calls to that peer on a shared connection.
        const transport = createRpcClient({
            id: settings().id,
            fleetKey,
            connections: watchedPrefixCount,
            logger,
        });
        return createRelayedStore({
            store,
            members: () => get(tokens.membership),
            transport,
            rpc: get(tokens.rpcServer),
            readerWaitMs: prefix => watches.timings(prefix).waitMs,
            maxAgeMs: prefix => watches.timings(prefix).readerMaxAgeMs,
            clock: get(tokens.viewClock),
            logger,
        });
    });
    add(tokens.config, get => {
        const { random, logger } = get(tokens.context);
        const exchange = get(tokens.exchange);
        get(tokens.membership).addExtension("documents", {
            digest: () => exchange.getDigest(),
            merge: (digest, peerAddress) => exchange.handlePeerDigest(peerAddress, digest),
        });
        return createTrafficDocument({
            store: get(tokens.store),
            transport: get(tokens.rpcClient),
            exchange,
            clock: get(tokens.viewClock),
            random,
            logger,
            watch: get(tokens.storeWatches).watch(configKey),
        });
    });
    add(tokens.table, get => {
        const { clock, logger, random, settings } = get(tokens.context);
        const config = get(tokens.config);
        const table = createBackendTable({
            clock,
            logger,
            regionOf: zone => settings().zones[zone],
            coldRequestsPerSecond: name => {
                const { coldFactor, coldSlack } = settings().bounds;
                const service = findService(config, name);
                return (service?.coldRequestsPerSecond ?? 0) * coldFactor + coldSlack;
            },
            self: settings().id,
            recentColdSenders: zone => get(tokens.coldSenderHistory).recent(zone),
            rateLimits: {
                random,
                countInstances: () => get(tokens.topology).budgetDivisor(),
                recentCandidates: region => get(tokens.candidateHistory).recent(region),
            },
            mayEntriesBeOlder: () => get(tokens.context).store.era() !== undefined,
            onServerRemoved: ({ record }) => get(tokens.pool).closeIdle(record.id),
        });
        const reports = createServerReportExchange({
            table,
            clock,
            logger,
            mayStoreLackEntries: () => get(tokens.storeView).mayLackEntries(),
        });
        get(tokens.membership).addExtension("server-reports", {
            digest: () => reports.getDigest(),
            merge: digest => reports.handlePeerDigest(digest),
        });
        config.onChange(({ services }) => table.setServices(services));
        return table;
    });
    add(tokens.storeView, get => {
        const { random, logger, signal } = get(tokens.context);
        return createStoreView({
            store: get(tokens.store),
            watches: get(tokens.storeWatches),
            clock: get(tokens.viewClock),
            random,
            logger,
            signal,
            table: get(tokens.table),
            members: () => get(tokens.membership),
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
        });
    });
}

function composeBalancing(add: RegisterComponent): void {
    add(tokens.balancer, get => {
        const { clock, settings, logger } = get(tokens.context);
        const topology = get(tokens.topology);
        return createBalancer({
            clock,
            table: get(tokens.table),
            zone: settings().zone,
            region: settings().region,
            regions: new Set(Object.values(settings().zones)).size,
            maxRegionShift: settings().bounds.maxRegionShift,
            countInstances: () => topology.inZone(settings().zone).length,
            onSpilloverChange: (service, part, { slots, busy, allSlots }) =>
                logger.info("region-spill", {
                    service,
                    part: part.toFixed(2),
                    slots,
                    busy: busy.toFixed(1),
                    allSlots,
                }),
            onReportUsed: (service, ageMs) => get(tokens.metrics).observeReportAge(service, ageMs),
        });
    });
    add(tokens.loadReports, get => {
        const { self, settings, clock, logger } = get(tokens.context);
        return createLoadReportExchange({
            table: get(tokens.table),
            selfId: self.id,
            activeInRegion: () => get(tokens.topology).inRegion(settings().region),
            members: () => get(tokens.membership).members(),
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            clock,
            logger,
        });
    });
    add(tokens.admission, get =>
        createAdmissionControl({
            clock: get(tokens.context).clock,
            balancer: get(tokens.balancer),
            workspaces: () => get(tokens.config).current()?.workspaces,
            random: get(tokens.context).random,
        }),
    );
    add(tokens.quota, get => composeQuota(get));
    add(tokens.retryBudgets, get => {
        const { clock, settings } = get(tokens.context);
        const { retryRatio, retrySlack, retryWindowSeconds } = settings().bounds;
        const startedAt = clock.now();
        const budgets = new Map<string, WindowedRetryBudget>();
        return service => {
            let budget = budgets.get(service);
            if (budget === undefined) {
                budget = createWindowedRetryBudget({
                    windowMs: retryWindowSeconds * 1000,
                    ratio: retryRatio,
                    slack: retrySlack,
                    instances: () => get(tokens.topology).budgetDivisor(),
                    startedAt,
                });
                budgets.set(service, budget);
            }
            return budget;
        };
    });
}

function composeQuota(get: Resolve): QuotaExchange {
    const { logger, settings } = get(tokens.context);
    // Tokens expire and owners change while an instance is suspended, which the monotonic clock does not count. Suspensions are
    // detected where `revokeSeconds` is declared.
    const clock = get(tokens.viewClock);
    const membership = get(tokens.membership);
    const topology = get(tokens.topology);
    const members = () => membership;
    const seeds = () => settings().seeds;
    const counts = createInstanceCounts({
        clock,
        topology,
        members,
        seeds,
        isAlone: () => membership.isAlone(),
        riseDelayMs: takeoverMs,
    });
    const exchange = createQuotaExchange({
        members,
        topology,
        counts,
        isJoined: get(tokens.isEstablished),
        bounds: () => {
            const { quotaWindowSeconds, quotaOverage, quotaSlack } = settings().bounds;
            return { windowMs: quotaWindowSeconds * 1000, overage: quotaOverage, slack: quotaSlack };
        },
        transport: get(tokens.rpcClient),
        rpc: get(tokens.rpcServer),
        clock,
        logger,
    });
    get(tokens.config).onChange(({ workspaces }) => exchange.setWorkspaces(workspaces));
    return exchange;
}

function composeRelay(add: RegisterComponent): void {
    add(tokens.pool, get => {
        const { clock, protocol, logger, settings } = get(tokens.context);
        const balancer = get(tokens.balancer);
        const metrics = get(tokens.metrics);
        return createUpstreamPool({
            clock,
            maxBodyBytes: getBodyLimits(settings().machine?.memoryMb).responseBytes,
            eventLoop: get(tokens.eventLoop),
            protocol,
            roundTripMs: server => balancer.roundTripMs(server),
            recordConnectTime: (server, connectMs) => balancer.recordConnectTime(server, connectMs),
            healthPath: service => findService(get(tokens.config), service)?.healthPath ?? "/",
            onSkipped: (server, skipped) => logSkippedResponse(logger, metrics, server, skipped),
        });
    });
    add(tokens.serverExaminer, get => {
        const { clock } = get(tokens.context);
        const table = get(tokens.table);
        return createServerExaminer({
            clock,
            pool: get(tokens.pool),
            mayCheckHealth: server => canTakeHealthCheck(server, table, clock.now()),
        });
    });
    composeCrashSuspects(add);
    add(tokens.startupGate, get => createStartupGate(get(tokens.context).clock));
    add(tokens.relay, get => {
        const { clock, protocol, logger, random, settings } = get(tokens.context);
        const config = get(tokens.config);
        const metrics = get(tokens.metrics);
        const servedShares = createServedShares(clock, logger);
        metrics.addGauge(
            "waxwingdale_gateway_worst_served_share",
            "Mean share of requests served of the worst-served tenth of the workspaces; 1 without workspaces",
            () => servedShares.worstShare(),
        );
        return createRelay({
            clock,
            eventLoop: get(tokens.eventLoop),
            protocol,
            balancer: get(tokens.balancer),
            admission: get(tokens.admission),
            quota: get(tokens.quota),
            pool: get(tokens.pool),
            crashSuspects: get(tokens.crashSuspects),
            crashObserver: createCrashLog(logger, metrics),
            beginTrial: get(tokens.beginTrial),
            serverExaminer: get(tokens.serverExaminer),
            getRetryBudget: get(tokens.retryBudgets),
            routes: () => config.routes(),
            instances: () => get(tokens.topology).budgetDivisor(),
            random,
            startupGate: get(tokens.startupGate),
            maxRequestMemoryBytes: getBodyLimits(settings().machine?.memoryMb).requestBytes,
            maxBodyBytes: () => config.current()?.limits.bodyBytes ?? defaultMaxBodyBytes,
            mayServeKeys: () => get(tokens.viewFreshness).mayServeKeys(),
            onRequest: record => {
                metrics.observe(record);
                servedShares.observe(record);
                logRequest(logger, record);
            },
            onMisdirected: serverId => get(tokens.table).remove(serverId),
            onLeaving: serverId => get(tokens.table).markLeaving(serverId, ReportSource.Response),
        });
    });
}

/** Registers what is known of requests that crash backend servers: in memory, at peers and in the store. */
function composeCrashSuspects(add: RegisterComponent): void {
    const getDelayMs = (get: Resolve) => (fingerprint: string) =>
        getTrialDelayMs(fingerprint, get(tokens.context).self.id, get(tokens.topology).all());
    add(tokens.crashSuspects, get => {
        const { clock, logger } = get(tokens.context);
        const suspects = createCrashSuspects(clock, getDelayMs(get));
        const exchange = createCrashReportExchange({
            suspects,
            members: () => get(tokens.membership),
            transport: get(tokens.rpcClient),
            rpc: get(tokens.rpcServer),
            clock,
            logger,
            onMerged: reports => get(tokens.crashArchive).recordMerged(reports),
        });
        get(tokens.membership).addExtension("crash-reports", {
            digest: () => exchange.getDigest(),
            merge: reports => exchange.handleReports(reports),
        });
        return suspects;
    });
    add(tokens.crashArchive, get => {
        const { self, store, clock, random, logger } = get(tokens.context);
        return createCrashArchive({
            instanceId: self.id,
            suspects: get(tokens.crashSuspects),
            store,
            clock,
            random,
            logger,
            countInstances: () => get(tokens.topology).all().length,
        });
    });
    add(tokens.beginTrial, get => {
        const { store, clock, logger } = get(tokens.context);
        const suspects = get(tokens.crashSuspects);
        return createTrialStart({ suspects, store, clock, logger, delayMs: getDelayMs(get) });
    });
}

function findService(config: TrafficDocument, name: string): Service | undefined {
    return config.current()?.services.find(service => service.name === name);
}
