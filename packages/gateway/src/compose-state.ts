/** Composes the configuration, the backend servers and what is read from the store. */
import { createBackendTable } from "@waxwingdale/balancing";
import { createDocumentExchange } from "@waxwingdale/config";
import { createElapsedClock, createRpcClient } from "@waxwingdale/core";
import { configKey } from "@waxwingdale/platform";
import { createRelayedStore } from "@waxwingdale/store";
import { tokens } from "./gateway-tokens.js";
import type { RegisterComponent } from "./gateway-tokens.js";
import { createServerReportExchange } from "./server-report-exchange.js";
import { createStoreView } from "./store-view.js";
import { createStoreWatches } from "./store-watches.js";
import { createTrafficDocument, trafficDocumentName } from "./traffic-document.js";
import { createViewConfirmation } from "./view-confirmation.js";
import { createViewFreshness } from "./view-freshness.js";
import { findService } from "./find-service.js";

/** Store prefixes that an instance watches at the same time: configuration, servers, evacuations. */
const watchedPrefixCount = 3;

/** Registers the components that hold the configuration and the backend servers. */
export function composeState(add: RegisterComponent): void {
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
