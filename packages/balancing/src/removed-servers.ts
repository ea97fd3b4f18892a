/**
 * Remembers servers whose entries were removed. An entry that lapsed is back with the same process behind it, for example
 * after an outage of the store, and what that process has said of itself still holds.
 */
import { setBounded } from "@waxwingdale/core";
import type { Clock } from "@waxwingdale/core";
import type { BackendState } from "./backend-state.js";
import { isSameProcess } from "./server-record.js";
import type { ServerRecord } from "./server-record.js";

/** What is kept of a server: what it has said of itself, and its health. */
export type RemovedServer = Pick<
    BackendState,
    | "record"
    | "health"
    | "rateLimit"
    | "coldLimit"
    | "coldStatements"
    | "coldUntil"
    | "hasAnnouncedLeaving"
    | "hasDrained"
    | "isLeaving"
>;

export interface RemovedServers {
    add(server: BackendState): void;
    /** Returns what is kept of a removed server by its id. */
    find(id: string): RemovedServer | undefined;
    /** Forgets the server with the id of a record. Returns what was kept if the record is of the same process. */
    take(record: ServerRecord): RemovedServer | undefined;
}

/** Time in milliseconds for which a server is remembered: longer than it may ask for no requests. */
const memoryMs = 4_000_000;
/** Number of servers that are remembered: the latest. */
const maxServers = 1000;

export function createRemovedServers(clock: Clock): RemovedServers {
    const byId = new Map<string, { server: RemovedServer; removedAt: number }>();

    const find = (id: string): RemovedServer | undefined => {
        const removed = byId.get(id);
        return removed !== undefined && clock.now() - removed.removedAt <= memoryMs
            ? removed.server
            : undefined;
    };

    return {
        add: state => {
            const { record, health, rateLimit, coldLimit, coldStatements, coldUntil } = state;
            const { hasAnnouncedLeaving, hasDrained, isLeaving } = state;
            const cold = { coldLimit, coldStatements, coldUntil };
            const server = { record, health, rateLimit, ...cold, hasAnnouncedLeaving, hasDrained, isLeaving };
            setBounded(byId, record.id, { server, removedAt: clock.now() }, maxServers);
        },
        find,
        take: record => {
            const server = find(record.id);
            byId.delete(record.id);
            return server !== undefined && isSameProcess(server.record, record) ? server : undefined;
        },
    };
}
