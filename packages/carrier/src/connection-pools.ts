/** Connection pools for backend servers and peers, one per address. */
import { Pool, errors } from "undici";
import type { buildConnector } from "undici";
import { WatchedSocket } from "./watched-socket.js";

const connectTimeoutMs = 1000;
/** A pool that has not been used for this long is closed. */
const poolIdleTimeoutMs = 60_000;

export interface ConnectionPools {
    /** Returns the pool for an address, created with at most `connections` connections. */
    get(address: string, connections: number): Pool;
    /** Closes the pools that have not been used recently. */
    closeIdle(now: number): void;
    size(): number;
    close(): Promise<void>;
}

/** Opens a connection to a host, which is an IP address. */
function openWatched(host: string, port: number): Promise<WatchedSocket> {
    return new Promise((resolve, reject) => {
        const socket = new WatchedSocket();
        const timer = setTimeout(
            () => socket.destroy(new errors.ConnectTimeoutError("the connection did not open in time")),
            connectTimeoutMs,
        );
        socket.once("close", () => clearTimeout(timer));
        socket.once("error", reject);
        socket.connect({ host, port, noDelay: true, keepAlive: true }, () => {
            clearTimeout(timer);
            socket.off("error", reject);
            resolve(socket);
        });
    });
}

const connectWatched: buildConnector.connector = ({ hostname, port }, callback) => {
    openWatched(hostname, Number(port)).then(
        // eslint-disable-next-line no-restricted-syntax -- the library's callback takes null
        socket => callback(null, socket),
        // eslint-disable-next-line no-restricted-syntax -- the library's callback takes null
        (err: Error) => callback(err, null),
    );
};

export function createConnectionPools(now: () => number): ConnectionPools {
    const pools = new Map<string, { pool: Pool; usedAt: number }>();
    return {
        get: (address, connections) => {
            let entry = pools.get(address);
            if (entry === undefined) {
                // No pipelining, so that a late response cannot be taken for that of another request.
                const pool = new Pool(`http://${address}`, {
                    connections,
                    pipelining: 1,
                    connect: connectWatched,
                    headersTimeout: 0,
                    bodyTimeout: 0,
                });
                entry = { pool, usedAt: now() };
                pools.set(address, entry);
            }
            entry.usedAt = now();
            return entry.pool;
        },
        closeIdle: time => {
            for (const [address, { pool, usedAt }] of pools) {
                if (time - usedAt > poolIdleTimeoutMs) {
                    pools.delete(address);
                    void pool.close();
                }
            }
        },
        size: () => pools.size,
        close: async () => {
            await Promise.all([...pools.values()].map(({ pool }) => pool.destroy()));
            pools.clear();
        },
    };
}
