/** Starts and stops a gateway instance. */
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
import {
    PlatformProtocol,
    PlatformStore,
    createDirectoryHandler,
    createReadinessHandler,
} from "@waxwingdale/platform";
import { estimateCapacity } from "./active-instances.js";
import { composeGateway } from "./compose-gateway.js";
import { tokens } from "./gateway-tokens.js";
import { createPeerHandler, openListener } from "./listeners.js";
import type { Listener } from "./listeners.js";
import { createSettingsSource } from "./settings-source.js";
import type { GatewaySettings } from "./settings.js";

export interface Gateway {
    logger: Logger;
    /** Reads the settings again. */
    reload(): Promise<void>;
    /** Ends after the requests that have been read are answered, at the latest with the declared time for it. */
    stop(): Promise<void>;
}

/** Time in seconds for which clients keep a look-up answer. Shorter ones tell clients sooner of lost instances. */
const lookupTtlSeconds = 2;
/** Log lines of one event in a second: more than an instance carries requests on an ordinary day. */
const logLinesPerSecond = 200;
/** Time in milliseconds between two adaptations of the balancer. */
const adaptIntervalMs = 100;
/** Time in milliseconds between two looks whether a starting instance can serve: requests wait for it. */
const startCheckMs = 20;
/** Time in milliseconds between two looks for idle connections that are too old. */
const sweepIntervalMs = 1000;
/** Margin in milliseconds by which idle connections of callers outlive the declared time. */
const idleMarginMs = 1000;
/** Time in milliseconds after SIGTERM in which new connections are still accepted: clients use a look-up answer as long as it lives. */
const acceptAfterStopMs = (lookupTtlSeconds + 0.5) * 1000;
/** Margin in milliseconds by which the process ends before it is killed. */
const stopMarginMs = 700;
/** Time in milliseconds between two looks for requests in flight while stopping. */
const stopCheckMs = 50;

/** Starts an instance. It serves once the store has been read, or a peer has told what it knows. */
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
        store: new PlatformStore({ address: settings.store }),
        protocol: new PlatformProtocol(),
        // The platform gives instances no secret; the key only keeps fleets of different stores apart.
        fleetKey: hash64Hex(settings.store),
        signal: controller.signal,
    });
    const get = <T>(token: Token<T>) => resolveToken(scope, token);
    const membership = get(tokens.membership);
    const relay = get(tokens.relay);
    const storeView = get(tokens.storeView);
    const config = get(tokens.config);
    const startGate = get(tokens.startGate);
    let isStopping = false;

    const notReady = () => {
        if (isStopping) {
            return "stopping";
        }
        return config.current() === undefined ? "no configuration" : storeView.notReadyReason();
    };
    /** Look-ups name this instance from the moment at which it says that it is ready. */
    const updateReadiness = () => {
        const reason = notReady();
        membership.setReady(reason === undefined);
        if (reason === undefined && !startGate.isOpen()) {
            logger.info("ready", { tookMs: Math.round(clock.now() - createdAt) });
            startGate.open();
            clearInterval(startTimer);
        }
        return reason;
    };
    const startTimer = setInterval(updateReadiness, startCheckMs);
    const directory = get(tokens.directory);
    const ttlSeconds = Math.min(lookupTtlSeconds, settings.bounds.lookupTtlSeconds);
    const callers = await openListener(settings.listen.callers, (req, res) => relay.handle(req, res));
    const peerHandler = createPeerHandler({
        fleetKey: hash64Hex(settings.store),
        rpc: get(tokens.rpcServer),
        logger,
        metrics: () => get(tokens.metrics).registry.metrics(),
        state: () => describeState(get),
    });
    const others = await Promise.all([
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
            get(tokens.balancer).adapt();
            updateReadiness();
        }),
        every(sweepIntervalMs, () => get(tokens.pool).sweep()),
    ];
    void source.run(controller.signal);
    void config.run(controller.signal);
    void storeView.run();
    void membership.run(controller.signal);
    logger.info("started", {
        zone: settings.zone,
        region: settings.region,
        callers: settings.listen.callers,
    });

    return {
        logger,
        reload: () => source.reload("signal"),
        stop: async () => {
            const stopAt = clock.now() + source.current().bounds.graceSeconds * 1000 - stopMarginMs;
            const closeAt = clock.now() + acceptAfterStopMs;
            logger.info("stopping", { active: relay.active() });
            isStopping = true;
            callers.disableKeepAlive();
            await Promise.race([membership.leave(), clock.sleep(stopCheckMs * 4)]);
            await clock.sleep(Math.max(0, closeAt - clock.now()));
            callers.close();
            while (relay.active() > 0 && clock.now() < stopAt) {
                await clock.sleep(stopCheckMs);
            }
            await Promise.race([membership.announceStopped(), clock.sleep(stopCheckMs * 4)]);
            controller.abort();
            [startTimer, ...timers].forEach(timer => clearInterval(timer));
            others.forEach(listener => listener.close());
            logger.info("stopped", { active: relay.active() });
            output.flush();
        },
    };
}

/** Callers reuse connections that were idle for a part of the declared time. */
function applyLimits({ server }: Listener, idleTimeoutMs: number, headerTimeoutMs: number): void {
    server.keepAliveTimeout = idleTimeoutMs + idleMarginMs;
    server.headersTimeout = headerTimeoutMs + idleMarginMs;
}

type Get = <T>(token: Token<T>) => T;

function addGauges(get: Get): void {
    const metrics = get(tokens.metrics);
    metrics.addGauge("waxwingdale_gateway_active_requests", "Requests that are being carried", () =>
        get(tokens.relay).active(),
    );
    metrics.addGauge("waxwingdale_gateway_waiting_requests", "Requests that wait for room", () =>
        get(tokens.admission).waiting(),
    );
    metrics.addViewAges(() => get(tokens.storeWatches).ages());
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
    return {
        config: get(tokens.config).current(),
        membership: get(tokens.membership).state(),
        balancer: get(tokens.balancer).describe(),
        evacuatedZones: get(tokens.table).evacuatedZones(),
        servers: get(tokens.table)
            .all()
            .map(({ record, isLeaving, load, slowness }) => ({
                ...record,
                isLeaving,
                inFlight: load.inFlight(),
                slowness,
            })),
    };
}
