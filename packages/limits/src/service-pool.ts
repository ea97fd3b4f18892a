/** The backend servers of one service and the requests waiting for them. */
import type { BackendServer, Random } from "@waxwingdale/core";
import { createAdmissionQueue } from "./admission-queue.js";
import type { AdmissionQueue } from "./admission-queue.js";
import type { LimitsConfig } from "./limits-config.js";
import { createServerMonitor } from "./server-monitor.js";
import type { ServerMonitor } from "./server-monitor.js";
import type { SlotRecord, SlotTable } from "./slot-table.js";

export interface PoolServer {
    server: BackendServer;
    readonly monitor: ServerMonitor;
    /** Number of requests of this entry that are running on the server. */
    running: number;
}

/** What a local request or a peer's want requires of a slot. */
export interface SlotRequirements {
    avoid: ReadonlySet<string>;
    /** Suspects run only on the first slot of a server, so no two in the region share a server. */
    isSuspect: boolean;
    /** Time until which a borrowed slot must remain valid. */
    until: number;
    /** Additional filter for candidate slots. */
    accepts?: (record: SlotRecord) => boolean;
    /** Whether to exclude servers with unresolved failures. */
    requiresHealthy: boolean;
}

export interface ServicePool {
    readonly service: string;
    readonly queue: AdmissionQueue;
    readonly servers: PoolServer[];
    /** Moving average of the time that a request uses a slot. */
    serviceMs(): number;
    recordServiceTime(server: PoolServer, ms: number): void;
    /** Returns the best free slot and its server. */
    findSlot(
        requirements: SlotRequirements,
        now: number,
    ): { record: SlotRecord; server: PoolServer } | undefined;
    setServers(servers: readonly BackendServer[]): void;
}

/** Smoothing factor of the moving average of the service time. */
const smoothing = 0.02;

export function createServicePool(
    service: string,
    cfg: LimitsConfig,
    table: SlotTable,
    random: Random,
): ServicePool {
    const queue = createAdmissionQueue(cfg.lowerClassShare);
    const servers: PoolServer[] = [];
    let serviceMs = cfg.initialServiceMs;
    let hasSamples = false;

    /** Lower is better. Prefers servers with few running requests, short service times and a low reported load. */
    const scoreServer = ({ server, monitor, running }: PoolServer, now: number) => {
        const slowness = (monitor.serviceMs() ?? serviceMs) / serviceMs;
        const penalty = slowness > 1.5 ? slowness * server.slots : 0;
        return running + penalty + 0.1 * monitor.reportedBusySlots(now);
    };

    const canTakeRequest = (
        { server, monitor, running }: PoolServer,
        requirements: SlotRequirements,
        now: number,
    ) => {
        if (server.draining || requirements.avoid.has(server.id) || !monitor.isOpen(now)) {
            return false;
        }
        if (requirements.requiresHealthy && !monitor.isHealthy()) {
            return false;
        }
        const excess = monitor.excessBusy(server.slots, now);
        // A report can be wrong, so one request at a time is always allowed.
        return excess === 0 || running < Math.max(1, table.recordsOf(server.id).length - excess);
    };

    const findUsableRecord = (server: PoolServer, requirements: SlotRequirements, now: number) =>
        table
            .recordsOf(server.server.id)
            .find(
                record =>
                    table.isUsable(record, now) &&
                    (!requirements.isSuspect || record.index === 0) &&
                    (record.loan === undefined || record.loan.expiresAt >= requirements.until) &&
                    (requirements.accepts === undefined || requirements.accepts(record)),
            );

    return {
        service,
        queue,
        servers,
        serviceMs: () => serviceMs,
        recordServiceTime: (server, ms) => {
            server.monitor.recordServiceTime(ms);
            serviceMs = hasSamples ? serviceMs + smoothing * (ms - serviceMs) : ms;
            hasSamples = true;
        },
        findSlot: (requirements, now) => {
            let best: { record: SlotRecord; server: PoolServer } | undefined;
            let bestScore = Infinity;
            for (const server of servers) {
                if (!canTakeRequest(server, requirements, now)) {
                    continue;
                }
                const score = scoreServer(server, now);
                const record = score < bestScore ? findUsableRecord(server, requirements, now) : undefined;
                if (record) {
                    best = { record, server };
                    bestScore = score;
                }
            }
            return best;
        },
        setServers: current => {
            const existing = new Map(servers.map(poolServer => [poolServer.server.id, poolServer]));
            servers.length = 0;
            for (const server of current) {
                const poolServer = existing.get(server.id);
                if (poolServer) {
                    poolServer.server = server;
                }
                servers.push(poolServer ?? { server, monitor: createServerMonitor(cfg, random), running: 0 });
            }
        },
    };
}
