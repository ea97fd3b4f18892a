/** Composes the forwarding of requests and what is known of requests that crash backend servers. */
import { ReportSource } from "@waxwingdale/balancing";
import type { Resolve } from "@waxwingdale/core";
import {
    createCrashSuspects,
    createRelay,
    createServerExaminer,
    createStartupGate,
    createUpstreamPool,
    getBodyLimits,
} from "@waxwingdale/relay";
import { createCrashArchive } from "./crash-archive.js";
import { createCrashReportExchange } from "./crash-report-exchange.js";
import { canTakeHealthCheck, getTrialDelayMs } from "./crash-suspicion.js";
import { createTrialStart } from "./crash-trial.js";
import { tokens } from "./gateway-tokens.js";
import type { RegisterComponent } from "./gateway-tokens.js";
import { createServedShares } from "./served-shares.js";
import { createCrashLog, logRequest, logSkippedResponse } from "./request-log.js";
import { findService } from "./find-service.js";

/** Maximum size of a request body in bytes until a configuration sets one. */
const defaultMaxBodyBytes = 1024 * 1024;

/** Registers the components that forward requests. */
export function composeRelay(add: RegisterComponent): void {
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
