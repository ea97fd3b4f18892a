/** Connections to all backend servers, reused while the server keeps them. */
import type { BackendState } from "@waxwingdale/balancing";
import type { Clock } from "@waxwingdale/core";
import { createIdleLimit } from "./idle-limit.js";
import { openUpstreamConnection } from "./upstream-connection.js";
import type { UpstreamConnection } from "./upstream-connection.js";
import type { WireProtocol } from "./wire-protocol.js";

export interface UpstreamPool {
    /** Returns a kept connection that has not rested too long for the request, or opens a new one. */
    acquire(server: BackendState, isRepeatable: boolean): AcquiredConnection;
    /** The connection was gone when a request was sent on it. */
    recordStale(restedMs: number): void;
    /** Closes the idle connections to a server that gets no requests any more. */
    closeIdle(serverId: string): void;
    /** Closes idle connections that are too old to be used. */
    sweep(): void;
    connectionCount(): number;
    destroy(): void;
}

export interface AcquiredConnection {
    connection: UpstreamConnection;
    /** Time in milliseconds since its last use; undefined for a new connection. */
    idleMs: number | undefined;
}

export interface UpstreamPoolOptions {
    clock: Clock;
    protocol: WireProtocol;
    /** Round-trip time to a server in milliseconds. */
    roundTripMs: (server: BackendState) => number;
    recordConnectTime: (server: BackendState, connectMs: number) => void;
}

/** Time in milliseconds for opening a connection beyond two round trips: the queue of a busy listener. */
const connectSlackMs = 250;
/** Bytes of the largest answer that an instance keeps in memory. */
const maxAnswerBytes = 16 * 1024 * 1024;
/** Time in milliseconds after which an unused connection is closed. */
const maxIdleMs = 60_000;

interface ServerConnections {
    idle: UpstreamConnection[];
    all: Set<UpstreamConnection>;
}

export function createUpstreamPool(options: UpstreamPoolOptions): UpstreamPool {
    const { clock } = options;
    const byServer = new Map<string, ServerConnections>();
    const idleLimit = createIdleLimit(clock);

    const connectionsOf = (serverId: string): ServerConnections => {
        let found = byServer.get(serverId);
        if (found === undefined) {
            found = { idle: [], all: new Set() };
            byServer.set(serverId, found);
        }
        return found;
    };

    const open = (server: BackendState): UpstreamConnection => {
        const connections = connectionsOf(server.record.id);
        const connection = openUpstreamConnection({
            address: server.record.address,
            clock,
            protocol: options.protocol,
            connectTimeoutMs: 2 * options.roundTripMs(server) + connectSlackMs,
            maxResponseBytes: maxAnswerBytes,
            onConnected: connectMs => options.recordConnectTime(server, connectMs),
            onIdle: () => connections.idle.push(connection),
            onClosed: () => {
                connections.all.delete(connection);
                remove(connections.idle, connection);
            },
        });
        connections.all.add(connection);
        return connection;
    };

    const dropIdle = ({ idle }: ServerConnections, isOld: (connection: UpstreamConnection) => boolean) =>
        [...idle].filter(isOld).forEach(connection => connection.destroy());

    return {
        acquire: (server, isRepeatable) => {
            const idleMs = idleLimit.limitMs(isRepeatable);
            const { idle } = connectionsOf(server.record.id);
            const now = clock.now();
            // The connection used last is the least likely to have been closed by the server.
            for (let connection = idle.pop(); connection !== undefined; connection = idle.pop()) {
                if (connection.canReuse(now, idleMs)) {
                    return { connection, idleMs: connection.idleMs(now) };
                }
                connection.destroy();
            }
            return { connection: open(server), idleMs: undefined };
        },
        recordStale: restedMs => idleLimit.recordStale(restedMs),
        closeIdle: serverId => {
            const connections = byServer.get(serverId);
            if (connections !== undefined) {
                dropIdle(connections, () => true);
                byServer.delete(serverId);
            }
        },
        sweep: () => {
            const now = clock.now();
            byServer.forEach(connections =>
                dropIdle(connections, connection => !connection.canReuse(now, maxIdleMs)),
            );
        },
        connectionCount: () => [...byServer.values()].reduce((sum, { all }) => sum + all.size, 0),
        destroy: () => byServer.forEach(({ all }) => [...all].forEach(connection => connection.destroy())),
    };
}

function remove<T>(items: T[], item: T): void {
    const index = items.indexOf(item);
    if (index >= 0) {
        items.splice(index, 1);
    }
}
