/** The backend servers of one service and the requests that wait for them. */
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
    /** Requests of this entry that run on the server. */
    running: number;
}

/** What a request or a peer needs of a slot. */
export interface SlotRequirements {
    avoid: ReadonlySet<string>;
    /** Suspects run only on the first slot of a server, so no two of them share a server in the whole region. */
    isSuspect: boolean;
    /** Time until which a borrowed slot must last. */
    until: number;
    /** Called for each candidate when given. */
    accepts?: (record: SlotRecord) => boolean;
    /** Leaves servers out that have refused requests lately. */
    requiresHealthy: boolean;
}

export interface ServicePool {
    readonly service: string;
    readonly queue: AdmissionQueue;
    readonly servers: PoolServer[];
    /** Smoothed time that a request uses a slot. */
    serviceMs(): number;
    recordServiceTime(server: PoolServer, ms: number): void;
    /** Free slot that suits best, with its server. */
    findSlot(need: SlotRequirements, now: number): { record: SlotRecord; server: PoolServer } | undefined;
    setServers(servers: readonly BackendServer[]): void;
}

/** Weight of a new service time in the smoothed one of the service. */
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

    /** Lower is better: few running requests, a fast server, and a low load report. */
    const scoreServer = ({ server, monitor: gate, running }: PoolServer, now: number) => {
        const slowness = (gate.serviceMs() ?? serviceMs) / serviceMs;
        const penalty = slowness > 1.5 ? slowness * server.slots : 0;
        return running + penalty + 0.1 * gate.reportedBusySlots(now);
    };

    const takesRequests = (
        { server, monitor: gate, running }: PoolServer,
        need: SlotRequirements,
        now: number,
    ) => {
        if (server.draining || need.avoid.has(server.id) || !gate.isOpen(now)) {
            return false;
        }
        if (need.requiresHealthy && !gate.isHealthy()) {
            return false;
        }
        const excess = gate.excessBusy(server.slots, now);
        // A report can be false, so one request at a time remains possible.
        return excess === 0 || running < Math.max(1, table.recordsOf(server.id).length - excess);
    };

    const findRecord = (server: PoolServer, need: SlotRequirements, now: number) =>
        table
            .recordsOf(server.server.id)
            .find(
                record =>
                    table.isUsable(record, now) &&
                    (!need.isSuspect || record.index === 0) &&
                    (record.loan === undefined || record.loan.expiresAt >= need.until) &&
                    (need.accepts === undefined || need.accepts(record)),
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
        findSlot: (need, now) => {
            let best: { record: SlotRecord; server: PoolServer } | undefined;
            let bestScore = Infinity;
            for (const server of servers) {
                if (!takesRequests(server, need, now)) {
                    continue;
                }
                const score = scoreServer(server, now);
                const record = score < bestScore ? findRecord(server, need, now) : undefined;
                if (record) {
                    best = { record, server };
                    bestScore = score;
                }
            }
            return best;
        },
        setServers: current => {
            const known = new Map(servers.map(entry => [entry.server.id, entry]));
            servers.length = 0;
            for (const server of current) {
                const entry = known.get(server.id);
                if (entry) {
                    entry.server = server;
                }
                servers.push(entry ?? { server, monitor: createServerMonitor(cfg, random), running: 0 });
            }
        },
    };
}
