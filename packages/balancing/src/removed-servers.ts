/**
 * Remembers servers whose entries were removed. An entry that lapsed is back with the same process behind it, for example
 * after an outage of the store, and what that process has said of itself still holds.
 */
import type { Clock } from "@waxwingdale/core";
import type { BackendState } from "./backend-state.js";
import type { ServerRecord } from "./server-record.js";

export interface RemovedServers {
    add(server: BackendState): void;
    /** Returns the state of a removed server by its id. */
    find(id: string): BackendState | undefined;
    /** Forgets the server with the id of a record. Returns its state if the record is of the same process. */
    take(record: ServerRecord): BackendState | undefined;
}

/** Time in milliseconds for which a server is remembered: longer than it may ask for no requests. */
const memoryMs = 4_000_000;
/** Number of servers that are remembered: the latest. */
const maxServers = 2000;

export function createRemovedServers(clock: Clock): RemovedServers {
    const byId = new Map<string, { server: BackendState; removedAt: number }>();

    const find = (id: string): BackendState | undefined => {
        const removed = byId.get(id);
        return removed !== undefined && clock.now() - removed.removedAt <= memoryMs
            ? removed.server
            : undefined;
    };

    return {
        add: server => {
            const { id } = server.record;
            byId.delete(id);
            byId.set(id, { server, removedAt: clock.now() });
            if (byId.size > maxServers) {
                const [oldest] = byId.keys();
                byId.delete(oldest!);
            }
        },
        find,
        take: record => {
            const server = find(record.id);
            byId.delete(record.id);
            return server !== undefined && isSameProcess(server.record, record) ? server : undefined;
        },
    };
}

/** Whether two records are of the same start of the same server. */
export function isSameProcess(a: ServerRecord, b: ServerRecord): boolean {
    return a.startedAt === b.startedAt && a.address === b.address && a.service === b.service;
}
