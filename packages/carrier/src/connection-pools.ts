/** Connections to backend servers and to peers, a bounded number for each address. */
import { Pool } from "undici";

/** Time in milliseconds to wait for a new connection. */
const connectTimeoutMs = 1000;
/** Idle time in milliseconds after which a pool that is not used any more is closed. */
const poolIdleMs = 60_000;

export interface ConnectionPools {
    /** Returns the pool for an address, which opens at most `connections` connections. */
    get(address: string, connections: number): Pool;
    /** Closes pools that were not used for a while. */
    closeIdle(now: number): void;
    size(): number;
    close(): Promise<void>;
}

/** Creates the pools of one entry instance. */
export function createConnectionPools(now: () => number): ConnectionPools {
    const pools = new Map<string, { pool: Pool; usedAt: number }>();
    return {
        get: (address, connections) => {
            let entry = pools.get(address);
            if (entry === undefined) {
                // One request on a connection at a time, so that a late answer can never belong to another request.
                const pool = new Pool(`http://${address}`, {
                    connections,
                    pipelining: 1,
                    connect: { timeout: connectTimeoutMs },
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
                if (time - usedAt > poolIdleMs) {
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
