/** Connection pools for backend servers and peers, one per address. */
import { Pool } from "undici";

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
