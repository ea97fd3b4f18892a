/** State that this instance keeps for a backend server. */
import { createServerHealth } from "./server-health.js";
import type { ServerHealth } from "./server-health.js";
import { createServerLoad } from "./server-load.js";
import type { ServerLoad } from "./server-load.js";
import { createServerRateLimit } from "./server-rate-limit.js";
import type { ServerRateLimit, ServerRateLimitOptions } from "./server-rate-limit.js";
import type { RemovedServer } from "./removed-servers.js";
import { ServerPhase } from "./server-record.js";
import type { ServerRecord } from "./server-record.js";
import { createWarmObjects } from "./warm-objects.js";
import type { WarmObjects } from "./warm-objects.js";
import { createColdLimit } from "./cold-limit.js";
import type { ColdLimit } from "./cold-limit.js";
import { createColdStatements } from "./cold-statements.js";
import type { ColdStatements } from "./cold-statements.js";

export interface BackendState {
    readonly record: ServerRecord;
    readonly region: string;
    readonly load: ServerLoad;
    readonly health: ServerHealth;
    readonly warm: WarmObjects;
    readonly coldLimit: ColdLimit;
    /** What the entries of this process have stated about its cold time. */
    readonly coldStatements: ColdStatements;
    readonly rateLimit: ServerRateLimit;
    /** Clock time until which the server counts as cold. */
    coldUntil: number;
    /** Processing time relative to the other servers of the service; above 1 is slower. */
    slowness: number;
    /** True if the server has announced in a response that it shuts down; its record may still say otherwise. */
    hasAnnouncedLeaving: boolean;
    /** True if an entry of this process has said that it is draining. */
    hasDrained: boolean;
    /** True if the server receives no new requests: it is draining, was removed or has been replaced. */
    isLeaving: boolean;
}

/**
 * Objects tracked as warm per server. Servers cache a few dozen. Tracking too many costs less than tracking too few,
 * since each instance sees only a fraction of a server's requests.
 */
const maxWarmObjects = 64;

export interface BackendStateOptions {
    record: ServerRecord;
    region: string;
    coldRequestsPerSecond: () => number;
    /** Id of this instance. */
    self: string;
    /**
     * The lists of instances that may send to the cold servers of a zone, as they were seen lately. Returns a new array when
     * they change.
     */
    recentColdSenders: (zone: string) => readonly (readonly string[])[];
    rateLimit: Omit<ServerRateLimitOptions, "serverId" | "self" | "now">;
    now: number;
    /** Whether a drain holds until the process ends, whatever later entries say. */
    isDrainFinal: boolean;
    /** What is known of the same process from before its entry was removed. */
    earlier?: RemovedServer | undefined;
    /** The process before this one with the same id and zone: it got requests until it was known to have been replaced. */
    replaced?: BackendState | undefined;
}

export function createBackendState(options: BackendStateOptions): BackendState {
    const { record, region, recentColdSenders, earlier, replaced } = options;
    const hasAnnouncedLeaving = earlier?.hasAnnouncedLeaving === true;
    const isDraining = record.phase === ServerPhase.Draining;
    const hasDrained = isDraining || earlier?.hasDrained === true;
    return {
        record,
        region,
        load: createServerLoad(),
        health: earlier?.health ?? createServerHealth(),
        warm: createWarmObjects(maxWarmObjects),
        coldLimit:
            earlier?.coldLimit ??
            replaced?.coldLimit ??
            createColdLimit({
                serverId: record.id,
                self: options.self,
                requestsPerSecond: options.coldRequestsPerSecond,
                recentSenders: () => recentColdSenders(record.zone),
            }),
        coldStatements: earlier?.coldStatements ?? createColdStatements(),
        rateLimit:
            earlier?.rateLimit ??
            createServerRateLimit({
                ...options.rateLimit,
                serverId: record.id,
                self: options.self,
                now: options.now,
            }),
        coldUntil: earlier?.coldUntil ?? -Infinity,
        slowness: 1,
        hasAnnouncedLeaving,
        hasDrained,
        isLeaving: hasAnnouncedLeaving || isDraining || (options.isDrainFinal && hasDrained),
    };
}

/** Counts the server as cold until the given clock time, unless it is cold for longer already. */
export function extendColdTime(server: BackendState, until: number): void {
    server.coldUntil = Math.max(server.coldUntil, until);
}
