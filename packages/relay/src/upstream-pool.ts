/** Pool of keep-alive connections to all backend servers. */
import type { BackendState } from "@waxwingdale/balancing";
import type { Clock, EventLoopMonitor } from "@waxwingdale/core";
import { getBodyLimits } from "./body-limits.js";
import { createBodyMemory } from "./body-memory.js";
import { createIdleLimit } from "./idle-limit.js";
import { ExchangeFailure, connectTimeoutDetail, openUpstreamConnection } from "./upstream-connection.js";
import type { UpstreamConnection } from "./upstream-connection.js";
import type { SkippedResponse } from "./response-matcher.js";
import type { ResponseInfo, WireProtocol } from "./wire-protocol.js";

export interface UpstreamPool {
    /**
     * Returns an idle connection that is still fresh enough for the request, or opens a new one. A request without an id, or
     * whose id the connection has carried before, needs another one, since its response could not be told from others.
     */
    acquire(
        server: BackendState,
        req: { isIdempotent: boolean; requestId: string | undefined },
    ): AcquiredConnection;
    /** Opens a connection to the server, and sends a health check on it if `checksHealth` is set. */
    probe(server: BackendState, checksHealth: boolean): Promise<ProbeResult>;
    /** Returns the clock time of the last complete response of the server; -Infinity if there was none. */
    respondedAt(server: BackendState): number;
    /** Returns the server other than the given one that has responded last. */
    lastResponder(except: BackendState): BackendState | undefined;
    /** Whether a connection to the server that was established before the given clock time is still open. */
    hasConnectionFrom(server: BackendState, before: number): boolean;
    /** Returns the number of connections that the server has closed between two clock times, which are at most 2 s ago. */
    countLost(server: BackendState, from: number, until: number): number;
    /** Records that a reused connection had already been closed by the server when a request was sent on it. */
    recordStale(idleMs: number): void;
    /** Closes the idle connections to a server that gets no more requests. */
    closeIdle(serverId: string): void;
    /** Closes idle connections that can no longer be reused, and forgets servers without connections. */
    sweep(): void;
    connectionCount(): number;
    /** Number of bytes of response bodies that are being received or forwarded. */
    responseBytes(): number;
    destroy(): void;
}

/** What an instance learns of a server by connecting to it. */
export enum ProbeResult {
    Responded = "responded",
    /** The connection was opened; no health check was sent. */
    Connected = "connected",
    Refused = "refused",
    /** Another server responded. */
    Replaced = "replaced",
    /** The connection timed out, or was lost, or no response came in time. */
    NoResponse = "no-response",
}

export interface AcquiredConnection {
    connection: UpstreamConnection;
    /** Milliseconds since its last use; undefined for a new connection. */
    idleMs: number | undefined;
}

export interface UpstreamPoolOptions {
    clock: Clock;
    eventLoop: EventLoopMonitor;
    protocol: WireProtocol;
    /** Round-trip time to a server in milliseconds. */
    roundTripMs: (server: BackendState) => number;
    recordConnectTime: (server: BackendState, connectMs: number) => void;
    /**
     * Limit in bytes for the bodies of all responses together that are being received or forwarded.
     * @default that of a machine with enough memory
     */
    maxBodyBytes?: number;
    /** Path of the health check of a service. */
    healthPath: (service: string) => string;
    /** Called for a response that is not that to the request in flight, and for bytes on an idle connection. */
    onSkipped: (server: BackendState, skipped: SkippedResponse) => void;
}

/** Added to two round trips for the connect timeout, to allow for the accept queue of a busy server. */
const connectSlackMs = 250;
/** Responses are buffered in memory up to this size. */
const maxResponseBytes = 16 * 1024 * 1024;
const maxIdleMs = 60_000;
/** Time in milliseconds after the round trip within which a server responds to a health check. */
const healthCheckMs = 500;
/** Number of times at which a server closed a connection that are kept. */
const maxLossTimes = 16;

interface OpenEvents {
    onConnected?: () => void;
    onClosed?: (byServer: boolean) => void;
}

interface OpenConnection {
    connection: UpstreamConnection;
    /** Clock time at which it was established; undefined until then. */
    connectedAt: number | undefined;
}

interface ServerConnections {
    server: BackendState;
    idle: UpstreamConnection[];
    all: Set<OpenConnection>;
    respondedAt: number;
    /** Clock times at which the server closed connections, the last ones. */
    lostAt: number[];
}

export function createUpstreamPool(options: UpstreamPoolOptions): UpstreamPool {
    const { clock, protocol } = options;
    const byServer = new Map<string, ServerConnections>();
    const idleLimit = createIdleLimit(clock);
    const responseMemory = createBodyMemory(
        options.maxBodyBytes ?? getBodyLimits(undefined).responseBytes,
        clock,
    );

    const getConnections = (server: BackendState): ServerConnections => {
        const { id } = server.record;
        let found = byServer.get(id);
        if (found === undefined) {
            found = { server, idle: [], all: new Set(), respondedAt: -Infinity, lostAt: [] };
            byServer.set(id, found);
        }
        return found;
    };

    const recordClosed = (connections: ServerConnections, open: OpenConnection, byServer: boolean) => {
        connections.all.delete(open);
        remove(connections.idle, open.connection);
        if (byServer && open.connectedAt !== undefined) {
            connections.lostAt.push(clock.now());
            connections.lostAt.splice(0, connections.lostAt.length - maxLossTimes);
        }
    };

    const open = (server: BackendState, events: OpenEvents = {}): UpstreamConnection => {
        const connections = getConnections(server);
        const connection = openUpstreamConnection({
            address: server.record.address,
            clock,
            eventLoop: options.eventLoop,
            protocol,
            connectTimeoutMs: 2 * options.roundTripMs(server) + connectSlackMs,
            maxResponseBytes,
            responseMemory,
            onConnected: connectMs => {
                opened.connectedAt = clock.now();
                options.recordConnectTime(server, connectMs);
                events.onConnected?.();
            },
            onIdle: () => connections.idle.push(connection),
            onResponded: () => {
                connections.respondedAt = clock.now();
            },
            onSkipped: skipped => options.onSkipped(server, skipped),
            onClosed: isByServer => {
                recordClosed(connections, opened, isByServer);
                events.onClosed?.(isByServer);
            },
        });
        const opened: OpenConnection = { connection, connectedAt: undefined };
        connections.all.add(opened);
        return connection;
    };

    const formatHealthCheck = ({ record }: BackendState, remainingMs: number) =>
        `GET ${options.healthPath(record.service)} HTTP/1.1\r\nHost: ${record.address}\r\n` +
        `${protocol.formatAttemptHeaders(remainingMs, record.id)}\r\n`;

    const checkHealth = (server: BackendState) =>
        new Promise<ProbeResult>(resolve => {
            const deadlineAt = clock.now() + connectSlackMs + 4 * options.roundTripMs(server) + healthCheckMs;
            const connection = open(server);
            const timer = clock.setTimer(deadlineAt - clock.now(), () => {
                connection.destroy();
                resolve(ProbeResult.NoResponse);
            });
            const end = (result: ProbeResult) => {
                timer.cancel();
                resolve(result);
            };
            connection.exchange(
                {
                    requestId: undefined,
                    isLate: false,
                    deadlineAt,
                    beforeWrite: () => true,
                    formatHead: remainingMs => formatHealthCheck(server, remainingMs),
                    body: undefined,
                    hasResponseBody: true,
                },
                {
                    onWritten: () => undefined,
                    onMisnamed: () => undefined,
                    onResponse: response => {
                        response.memory.release();
                        end(isFrom(server, response.info) ? ProbeResult.Responded : ProbeResult.Replaced);
                    },
                    onFailure: (failure, detail) => end(getProbeFailure(failure, detail)),
                },
            );
        });

    const connectOnly = (server: BackendState) =>
        new Promise<ProbeResult>(resolve => {
            const connection = open(server, {
                onConnected: () => {
                    resolve(ProbeResult.Connected);
                    connection.destroy();
                },
                onClosed: isByServer => resolve(isByServer ? ProbeResult.Refused : ProbeResult.NoResponse),
            });
        });

    const destroyIdle = (
        { idle }: ServerConnections,
        shouldDestroy: (connection: UpstreamConnection) => boolean,
    ) => [...idle].filter(shouldDestroy).forEach(connection => connection.destroy());

    return {
        probe: (server, checksHealth) => (checksHealth ? checkHealth(server) : connectOnly(server)),
        respondedAt: ({ record }) => byServer.get(record.id)?.respondedAt ?? -Infinity,
        lastResponder: except => {
            const others = [...byServer.values()].filter(
                ({ server, respondedAt }) => server.record.id !== except.record.id && respondedAt > -Infinity,
            );
            return others.sort((a, b) => b.respondedAt - a.respondedAt)[0]?.server;
        },
        hasConnectionFrom: ({ record }, before) =>
            [...(byServer.get(record.id)?.all ?? [])].some(
                ({ connectedAt }) => connectedAt !== undefined && connectedAt < before,
            ),
        countLost: ({ record }, from, until) =>
            (byServer.get(record.id)?.lostAt ?? []).filter(at => at >= from && at <= until).length,
        acquire: (server, { isIdempotent, requestId }) => {
            if (requestId === undefined) {
                return { connection: open(server), idleMs: undefined };
            }
            const connections = getConnections(server);
            const limitMs = idleLimit.limitMs(isIdempotent);
            const now = clock.now();
            // The most recently used connection is the least likely to have been closed by the server.
            const connection = connections.idle.findLast(
                candidate => candidate.canReuse(now, limitMs) && !candidate.hasSent(requestId),
            );
            if (connection === undefined) {
                // A caller that repeats an id must not keep a connection open for each of its requests.
                destroyIdle(connections, () => true);
                return { connection: open(server), idleMs: undefined };
            }
            remove(connections.idle, connection);
            return { connection, idleMs: connection.idleMs(now) };
        },
        recordStale: idleMs => idleLimit.recordStale(idleMs),
        closeIdle: serverId => {
            const connections = byServer.get(serverId);
            if (connections !== undefined) {
                destroyIdle(connections, () => true);
                byServer.delete(serverId);
            }
        },
        sweep: () => {
            const now = clock.now();
            byServer.forEach((connections, serverId) => {
                destroyIdle(connections, connection => !connection.canReuse(now, maxIdleMs));
                // A server that was examined after its removal has an entry again.
                if (connections.all.size === 0 && now - connections.respondedAt > maxIdleMs) {
                    byServer.delete(serverId);
                }
            });
        },
        connectionCount: () => [...byServer.values()].reduce((sum, { all }) => sum + all.size, 0),
        responseBytes: () => responseMemory.heldBytes(),
        destroy: () =>
            byServer.forEach(({ all }) => [...all].forEach(({ connection }) => connection.destroy())),
    };
}

/** Whether a response to a health check comes from the server that was meant. */
function isFrom({ record }: BackendState, { isMisdirected, serverId = record.id }: ResponseInfo): boolean {
    return !isMisdirected && serverId === record.id;
}

function getProbeFailure(failure: ExchangeFailure, detail: string): ProbeResult {
    const isRefused = failure === ExchangeFailure.NotConnected && detail !== connectTimeoutDetail;
    return isRefused ? ProbeResult.Refused : ProbeResult.NoResponse;
}

function remove<T>(items: T[], item: T): void {
    const index = items.indexOf(item);
    if (index >= 0) {
        items.splice(index, 1);
    }
}
