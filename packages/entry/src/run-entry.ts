/** Starts an entry: its listeners, components and background tasks. */
import {
    MemberStatus,
    createLogger,
    createRandom,
    createSystemClock,
    getErrorMessage,
} from "@waxwingdale/core";
import type { Logger, Member } from "@waxwingdale/core";
import { setMaxListeners } from "node:events";
import { createHttpObjectStore } from "@waxwingdale/store";
import { createCallerApp } from "./caller-listener.js";
import { composeEntry } from "./compose-entry.js";
import { tickIntervalMs } from "./compose-carrier.js";
import { tokens } from "./entry-tokens.js";
import type { EntryContext } from "./entry-tokens.js";
import { createEntryDump, createEntryStatus, getNotReadyReason } from "./entry-state.js";
import { addEntryGauges } from "./entry-gauges.js";
import { EntryState } from "./entry-record.js";
import { openHttpListener } from "./http-listener.js";
import type { HttpListener } from "./http-listener.js";
import { createOperatorApp } from "./operator-listener.js";
import { createPeerHandler } from "./peer-listener.js";
import { runRecordCleanup } from "./record-cleanup.js";
import { shutDown } from "./shut-down.js";
import type { Settings } from "./settings.js";
import { resolveToken } from "@waxwingdale/core";
import type { Token } from "@waxwingdale/core";
import { addTraceListeners } from "./trace-listeners.js";

export interface EntryListeners {
    callers: HttpListener;
    peers: HttpListener;
    operators: HttpListener;
}

export interface RunningEntry {
    resolve: <T>(token: Token<T>) => T;
    listeners: EntryListeners;
    logger: Logger;
    /** Stops all background tasks. */
    stopTasks: () => void;
    /** Shuts down gracefully. */
    stop: () => Promise<void>;
}

/** Interval of the checks for idle connection pools. */
const poolCheckIntervalMs = 10_000;

/** Starts an entry. Resolves once its listeners are open and its tasks are running. */
export async function startEntry(settings: Settings, fleetKey: string): Promise<RunningEntry> {
    const clock = createSystemClock();
    const logger = createLogger(clock, { level: settings.logLevel, base: { entry: settings.id } });
    const stopped = new AbortController();
    const { signal } = stopped;
    // All background tasks add listeners to this signal, so disable the leak warning.
    setMaxListeners(0, signal);
    // The handlers are created after the listeners, since they depend on the listeners' addresses.
    const handlers: Partial<Record<keyof EntryListeners, Parameters<typeof openHttpListener>[0]["handler"]>> =
        {};
    const open = (name: keyof EntryListeners, maxConnectionsPerAddress?: number) =>
        openHttpListener({
            name,
            address: settings.listen[name],
            logger,
            maxConnectionsPerAddress,
            handler: (req, res) => {
                const handler = handlers[name];
                if (handler === undefined) {
                    res.writeHead(503, { "waxwingdale-outcome": "not-run" }).end();
                    return;
                }
                handler(req, res);
            },
        });
    const listeners: EntryListeners = {
        callers: await open("callers", settings.maxConnectionsPerCaller),
        peers: await open("peers"),
        operators: await open("operators"),
    };

    const self: Member = {
        id: settings.id,
        incarnation: clock.wallTime(),
        session: clock.wallTime(),
        status: MemberStatus.Live,
        region: settings.region,
        zone: settings.zone,
        callerAddress: settings.advertise.callers ?? listeners.callers.address,
        peerAddress: settings.advertise.peers ?? listeners.peers.address,
        ready: false,
    };
    const seed = Math.floor(Math.random() * 2 ** 31);
    const store = createHttpObjectStore({ address: settings.store, clock });
    const context: EntryContext = {
        settings,
        fleetKey,
        self,
        operatorAddress: listeners.operators.address,
        clock,
        random: createRandom(seed),
        logger,
        store,
        signal,
    };
    const scope = composeEntry(context);
    const resolve = <T>(token: Token<T>) => resolveToken(scope, token);

    const getReason = () => getNotReadyReason(resolve);
    const callerApp = createCallerApp({
        carrier: resolve(tokens.carrier),
        claims: resolve(tokens.claims),
        directory: resolve(tokens.lookups),
        getNotReadyReason: getReason,
        recordLookup: () => resolve(tokens.metrics).recordLookup(),
    });
    const operatorApp = createOperatorApp({
        fleetKey,
        logger,
        records: resolve(tokens.records),
        directory: resolve(tokens.lookups),
        services: () =>
            resolve(tokens.config)
                .current()
                ?.manifest.services.map(service => service.name) ?? [],
        registry: resolve(tokens.metrics).registry,
        trace: resolve(tokens.trace),
        getNotReadyReason: getReason,
        status: createEntryStatus(resolve),
        dump: createEntryDump(resolve),
    });
    handlers.callers = (req, res) => callerApp.handler(req, res);
    handlers.operators = (req, res) => void operatorApp.handler(req as never, res as never);
    handlers.peers = createPeerHandler({
        fleetKey,
        rpc: resolve(tokens.rpcServer),
        carrier: resolve(tokens.carrier),
        logger,
    });

    addEntryGauges(resolve);
    addTraceListeners(resolve);
    addGossipExtensions(resolve);
    startTasks(resolve, signal, logger);
    resolve(tokens.entryRecord).write(EntryState.Live);
    const entry: RunningEntry = {
        resolve,
        listeners,
        logger,
        stopTasks: () => stopped.abort(),
        stop: () => shutDown(entry, store),
    };
    return entry;
}

/** Adds the data of other components to each gossip exchange. */
function addGossipExtensions(resolve: RunningEntry["resolve"]): void {
    const membership = resolve(tokens.membership);
    const exchange = resolve(tokens.exchange);
    const crashGuard = resolve(tokens.crashGuard);
    membership.addExtension("documents", {
        digest: () => exchange.getDigest(),
        merge: (digest, peerAddress) => exchange.handlePeerDigest(peerAddress, digest),
    });
    membership.addExtension("suspects", {
        digest: () => crashGuard.digest(),
        merge: digest => crashGuard.merge(digest as Parameters<typeof crashGuard.merge>[0]),
    });
}

/** Starts the background tasks. If a task fails, which is a bug, the process shuts down with an error. */
function startTasks(resolve: RunningEntry["resolve"], signal: AbortSignal, logger: Logger): void {
    const { clock } = resolve(tokens.context);
    // Components that subscribe to changes must exist before the first change.
    resolve(tokens.lookups);
    resolve(tokens.steering);
    resolve(tokens.broker);
    const tasks: Record<string, () => Promise<void>> = {
        membership: () => resolve(tokens.membership).run(signal),
        config: () => resolve(tokens.config).run(signal),
        plan: () => resolve(tokens.plan).run(signal),
        backends: () => resolve(tokens.backends).run(signal),
        lease: () => resolve(tokens.lease).run(signal),
        planner: () => resolve(tokens.planner).run(signal),
        collector: () => resolve(tokens.collector).run(signal),
        steering: () => resolve(tokens.steering).run(signal),
        records: () => {
            const { store } = resolve(tokens.context);
            const isActive = () => resolve(tokens.lease).isHeld();
            const view = resolve(tokens.membership);
            return runRecordCleanup({ store, view, clock, logger, isActive }, signal);
        },
        ready: async () => {
            while (!signal.aborted) {
                resolve(tokens.eventLoop).tick();
                resolve(tokens.membership).setReady(getNotReadyReason(resolve) === undefined);
                await clock.sleep(tickIntervalMs, signal);
            }
        },
        pools: async () => {
            while (!signal.aborted) {
                resolve(tokens.pools).closeIdle(clock.now());
                await clock.sleep(poolCheckIntervalMs, signal);
            }
        },
    };
    for (const [name, run] of Object.entries(tasks)) {
        run().catch((err: unknown) => {
            logger.error("task-failed", { task: name, error: getErrorMessage(err) });
            process.exitCode = 70;
            process.kill(process.pid, "SIGTERM");
        });
    }
}
