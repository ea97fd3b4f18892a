/** Starts and stops a gateway instance. */
import { setMaxListeners } from "node:events";
import {
    MemberStatus,
    createLogOutput,
    createLogger,
    createRandom,
    createSystemClock,
    hash64Hex,
    resolveToken,
} from "@waxwingdale/core";
import type { Logger, Token } from "@waxwingdale/core";
import type { TrafficConfig } from "@waxwingdale/balancing";
import {
    PlatformProtocol,
    PlatformStore,
    createDirectoryHandler,
    createReadinessHandler,
} from "@waxwingdale/platform";
import { estimateCapacity } from "./active-instances.js";
import { adaptIntervalMs, composeGateway } from "./compose-gateway.js";
import { tokens } from "./gateway-tokens.js";
import { createPeerHandler, openListener } from "./listeners.js";
import type { Listener } from "./listeners.js";
import { loadReportIntervalMs } from "./load-report-exchange.js";
import { createSettingsSource } from "./settings-source.js";
import type { GatewaySettings } from "./settings.js";

export interface Gateway {
    logger: Logger;
    /** Reloads the settings. */
    reload(): Promise<void>;
    /** Resolves once all requests in flight are answered, at the latest at the end of the declared grace period. */
    stop(): Promise<void>;
}

/** Waits and calls that may listen for the stop at the same time; Node warns of a leak above. */
const maxAbortListeners = 32;
/** TTL of lookup responses in seconds. With a shorter one, clients learn of failed instances sooner. */
const lookupTtlSeconds = 2;
/** Maximum log lines per event and second; above the request rate of an instance in normal operation. */
const logLinesPerSecond = 200;
/** Interval in milliseconds of the readiness check during startup; short, since requests are waiting for it. */
const startupCheckIntervalMs = 20;
/** Interval in milliseconds at which idle upstream connections that are too old are closed. */
const sweepIntervalMs = 1000;
/** Margin in milliseconds added to the declared timeouts of caller connections. */
const timeoutMarginMs = 1000;
/** Time in milliseconds to accept connections after SIGTERM, since clients use a lookup response until it expires. */
const acceptAfterStopMs = (lookupTtlSeconds + 0.5) * 1000;
/** Margin in milliseconds by which the process exits before it is killed. */
const shutdownMarginMs = 700;
/** Interval in milliseconds at which requests in flight are checked during shutdown. */
const shutdownCheckIntervalMs = 50;

/** Starts an instance. It serves requests once it has read the store or received a peer's view. */
export async function startGateway(settings: GatewaySettings, settingsPath: string): Promise<Gateway> {
    const clock = createSystemClock();
    const output = createLogOutput({ clock });
    const logger = createLogger(clock, {
        level: settings.logLevel,
        base: { instance: settings.id },
        write: output.write,
        maxLinesPerSecond: logLinesPerSecond,
    });
    const controller = new AbortController();
    setMaxListeners(maxAbortListeners, controller.signal);
    const startedAt = clock.wallTime();
    const createdAt = clock.now();
    const source = createSettingsSource({
        path: settingsPath,
        initial: settings,
        clock,
        logger: () => logger,
    });
    const scope = composeGateway({
        settings: () => source.current(),
        self: {
            id: settings.id,
            incarnation: startedAt,
            session: startedAt,
            status: MemberStatus.Live,
            region: settings.region,
            zone: settings.zone,
            callerAddress: settings.listen.callers,
            peerAddress: settings.listen.peers,
            ready: false,
            capacity: estimateCapacity(settings.machine),
        },
        clock,
        random: createRandom(startedAt % 2 ** 31),
        logger,
        store: new PlatformStore({ address: settings.store, logger }),
        protocol: new PlatformProtocol(),
        // The platform provides no secret to instances; the key only separates fleets that use different stores.
        fleetKey: hash64Hex(settings.store),
        signal: controller.signal,
    });
    const get = <T>(token: Token<T>) => resolveToken(scope, token);
    const membership = get(tokens.membership);
    const relay = get(tokens.relay);
    const storeView = get(tokens.storeView);
    const config = get(tokens.config);
    const startupGate = get(tokens.startupGate);
    const loadReports = get(tokens.loadReports);
    let isStopping = false;

    const getNotReadyReason = () => {
        if (isStopping) {
            return "stopping";
        }
        return config.current() === undefined ? "no configuration" : storeView.notReadyReason();
    };
    /** Updates the membership as well, so that lookups return this instance as soon as it reports that it is ready. */
    const updateReadiness = () => {
        const reason = getNotReadyReason();
        membership.setReady(reason === undefined);
        if (reason === undefined && !startupGate.isOpen()) {
            logger.info("ready", { tookMs: Math.round(clock.now() - createdAt) });
            startupGate.open();
            clearInterval(startupTimer);
        }
        return reason;
    };
    const startupTimer = setInterval(updateReadiness, startupCheckIntervalMs);
    const directory = get(tokens.directory);
    const ttlSeconds = Math.min(lookupTtlSeconds, settings.bounds.lookupTtlSeconds);
    const callers = await openListener(settings.listen.callers, (req, res) => relay.handle(req, res));
    callers.server.on("connection", socket => relay.handleConnection(socket));
    const peerHandler = createPeerHandler({
        fleetKey: hash64Hex(settings.store),
        rpc: get(tokens.rpcServer),
        logger,
        metrics: () => get(tokens.metrics).registry.metrics(),
        state: () => describeState(get),
        liftSuspicions: fingerprint => {
            const lifted = get(tokens.crashSuspects).lift(fingerprint);
            logger.info("suspicions-lifted", { fingerprint, lifted });
            return lifted;
        },
    });
    const otherListeners = await Promise.all([
        openListener(settings.listen.readiness, createReadinessHandler(updateReadiness)),
        openListener(
            settings.listen.directory,
            createDirectoryHandler(({ region, zone }) => {
                get(tokens.metrics).countLookup();
                return { addresses: directory.find(region, zone), ttlSeconds };
            }),
        ),
        openListener(settings.listen.peers, peerHandler),
        ...(settings.listen.metrics === undefined
            ? []
            : [openListener(settings.listen.metrics, peerHandler)]),
    ]);
    config.onChange(({ limits }) => applyLimits(callers, limits.idleTimeoutMs, limits.headerTimeoutMs));
    addGauges(get);

    const every = (intervalMs: number, run: () => void) => setInterval(run, intervalMs);
    const timers = [
        every(adaptIntervalMs, () => {
            get(tokens.eventLoop).tick();
            get(tokens.viewFreshness).update();
            get(tokens.candidateHistory).update();
            get(tokens.coldSenderHistory).update();
            get(tokens.balancer).adapt();
            updateReadiness();
        }),
        every(loadReportIntervalMs, () => loadReports.send()),
        every(sweepIntervalMs, () => get(tokens.pool).sweep()),
    ];
    void source.run(controller.signal);
    void config.run(controller.signal);
    void storeView.run();
    void get(tokens.viewConfirmation).run();
    void membership.run(controller.signal);
    void get(tokens.crashArchive).run(controller.signal);
    void get(tokens.storeWitness).run(controller.signal);
    get(tokens.quota).run(controller.signal);
    logger.info("started", {
        zone: settings.zone,
        region: settings.region,
        callers: settings.listen.callers,
    });

    return {
        logger,
        reload: () => source.reload("signal"),
        stop: async () => {
            const stopAt = clock.now() + source.current().bounds.graceSeconds * 1000 - shutdownMarginMs;
            const closeAt = Math.min(stopAt, clock.now() + acceptAfterStopMs);
            logger.info("stopping", { active: relay.active() });
            isStopping = true;
            callers.disableKeepAlive();
            await Promise.race([membership.leave(), clock.sleep(shutdownCheckIntervalMs * 4)]);
            await clock.sleep(Math.max(0, closeAt - clock.now()));
            callers.close();
            // Requests still come on connections that were opened before.
            relay.rejectAfter(stopAt);
            const waitForRequests = async () => {
                while (relay.active() > 0 && clock.now() < stopAt) {
                    await clock.sleep(shutdownCheckIntervalMs);
                }
            };
            await waitForRequests();
            relay.rejectAfter(-Infinity);
            await Promise.race([membership.announceStopped(), clock.sleep(shutdownCheckIntervalMs * 4)]);
            await waitForRequests();
            controller.abort();
            [startupTimer, ...timers].forEach(timer => clearInterval(timer));
            otherListeners.forEach(listener => listener.close());
            logger.info("stopped", { active: relay.active() });
            output.flush();
        },
    };
}

/** Callers reuse idle connections within the declared time, so the server closes them only after a margin. */
function applyLimits({ server }: Listener, idleTimeoutMs: number, headerTimeoutMs: number): void {
    server.keepAliveTimeout = idleTimeoutMs + timeoutMarginMs;
    server.headersTimeout = headerTimeoutMs + timeoutMarginMs;
}

type Get = <T>(token: Token<T>) => T;

function addGauges(get: Get): void {
    const metrics = get(tokens.metrics);
    metrics.addGauge("waxwingdale_gateway_active_requests", "Requests that are being carried", () =>
        get(tokens.relay).active(),
    );
    metrics.addGauge("waxwingdale_gateway_request_body_bytes", "Request bodies in memory", () =>
        get(tokens.relay).requestBytes(),
    );
    metrics.addGauge("waxwingdale_gateway_response_body_bytes", "Response bodies in memory", () =>
        get(tokens.pool).responseBytes(),
    );
    metrics.addGauge("waxwingdale_gateway_waiting_requests", "Requests that wait for room", () =>
        get(tokens.admission).waiting(),
    );
    metrics.addGauge(
        "waxwingdale_gateway_rejected_crashing_requests",
        "Requests that are rejected, since they have crashed backend servers",
        () => get(tokens.crashSuspects).rejected().length,
    );
    metrics.addGauge(
        "waxwingdale_gateway_store_era",
        "Era of the store, which increases when it comes back from an older copy; 0 where it has none",
        () => get(tokens.store).era() ?? 0,
    );
    metrics.addUtilizationSpreads(() => get(tokens.balancer).utilizationSpreads());
    metrics.addQuotaTotals(() => get(tokens.quota).totals());
    metrics.addViewAges(() => get(tokens.storeWatches).ages());
    metrics.addGauge(
        "waxwingdale_gateway_rate_limited_servers",
        "Backend servers that name a limit for their requests",
        () =>
            get(tokens.table)
                .all()
                .filter(({ rateLimit }) => rateLimit.requestsPerSecond() !== undefined).length,
    );
    metrics.addGauge("waxwingdale_gateway_upstream_connections", "Open connections to backend servers", () =>
        get(tokens.pool).connectionCount(),
    );
    metrics.addGauge(
        "waxwingdale_gateway_config_version",
        "Version of the configuration in force",
        () => get(tokens.config).current()?.version ?? 0,
    );
}

function describeState(get: Get): unknown {
    const now = get(tokens.context).clock.now();
    return {
        config: describeConfig(get(tokens.config).current()),
        membership: get(tokens.membership).state(),
        balancer: get(tokens.balancer).describe(),
        loadReports: get(tokens.loadReports).describe(),
        evacuatedZones: get(tokens.table).evacuatedZones(),
        crashSuspects: describeSuspects(get),
        quotas: get(tokens.quota).describe(),
        servers: get(tokens.table)
            .all()
            .map(({ record, isLeaving, load, slowness, rateLimit }) => ({
                ...record,
                isLeaving,
                inFlight: load.inFlight(),
                expectedInFlight: load.expected(now),
                workTimeFactor: load.workTimeFactor(now),
                loadReportAgeMs: load.latest(now)?.ageMs,
                slowness,
                requestsPerSecond: rateLimit.requestsPerSecond(),
            })),
    };
}

/** Leaves out the keys of the workspaces. */
function describeConfig(config: TrafficConfig | undefined): unknown {
    const workspaces = config?.workspaces?.map(({ apiKeys, ...workspace }) => ({
        ...workspace,
        keys: apiKeys.length,
    }));
    return config && { ...config, workspaces };
}

function describeSuspects(get: Get): unknown {
    const suspects = get(tokens.crashSuspects);
    const rejected = new Set(suspects.rejected());
    return suspects
        .reports()
        .filter(({ crashes }) => crashes > 0)
        .map(report => ({ ...report, isRejected: rejected.has(report.fingerprint) }));
}
