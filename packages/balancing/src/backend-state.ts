/** One backend server as this instance knows it. */
import { createServerHealth } from "./server-health.js";
import type { ServerHealth } from "./server-health.js";
import { createServerLoad } from "./server-load.js";
import type { ServerLoad } from "./server-load.js";
import { ServerPhase } from "./server-record.js";
import type { ServerRecord } from "./server-record.js";
import { createWarmObjects } from "./warm-objects.js";
import type { WarmObjects } from "./warm-objects.js";
import { createColdLimit } from "./cold-limit.js";
import type { ColdLimit } from "./cold-limit.js";

export interface BackendState {
    readonly record: ServerRecord;
    readonly region: string;
    readonly load: ServerLoad;
    readonly health: ServerHealth;
    readonly warm: WarmObjects;
    readonly coldLimit: ColdLimit;
    /** Time of the clock until which the server is cold. */
    coldUntil: number;
    /** Work of the server relative to the others of its service; above 1 is slower. */
    slowness: number;
    /** Set when the server gets no new requests: it drains, is gone, or its address belongs to another server. */
    isLeaving: boolean;
}

/**
 * Objects for which a server is taken to be warm. Servers keep a few dozen; one more here costs less than one too few,
 * since every instance sees only a part of the requests of a server.
 */
const warmObjects = 64;

export interface BackendStateOptions {
    record: ServerRecord;
    region: string;
    coldRequestsPerSecond: number;
    /** Id of this instance. */
    self: string;
    /** Ids of the instances that may send to a cold server of a zone; a new array when they change. */
    coldSenders: (zone: string, region: string) => readonly string[];
    now: number;
}

export function createBackendState(options: BackendStateOptions): BackendState {
    const { record, region, coldSenders } = options;
    return {
        record,
        region,
        load: createServerLoad(),
        health: createServerHealth(),
        warm: createWarmObjects(warmObjects),
        coldLimit: createColdLimit({
            serverId: record.id,
            self: options.self,
            requestsPerSecond: options.coldRequestsPerSecond,
            senders: () => coldSenders(record.zone, region),
        }),
        coldUntil: options.now + record.coldRemainingMs,
        slowness: 1,
        isLeaving: record.phase === ServerPhase.Draining,
    };
}
