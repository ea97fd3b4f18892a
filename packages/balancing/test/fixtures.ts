/** Servers, routes and requests for the balancing tests. */
import { RequestKind, ServerPhase, createBackendTable, createBalancer } from "@waxwingdale/balancing";
import type {
    BackendTable,
    BackendTableOptions,
    Balancer,
    Route,
    RoutedRequest,
    ServerRecord,
} from "@waxwingdale/balancing";
import { createManualClock, createSilentLogger } from "@waxwingdale/core";
import type { Clock, ManualClock } from "@waxwingdale/core";

export const zones: Record<string, string> = {
    "n-a": "north",
    "n-b": "north",
    "s-a": "south",
    "s-b": "south",
};
export const coldStartMs = 3000;
/** Senders to cold servers in a fleet of one instance. */
const soleSenders: readonly (readonly string[])[] = [["g-1"]];
const noSenders: readonly (readonly string[])[] = [[]];

export function createRoute(fields: Partial<Route> = {}): Route {
    return {
        name: "view",
        host: "files.example",
        pathPrefix: "/view/",
        kind: RequestKind.Idempotent,
        timeoutMs: 1000,
        targetLatencyMs: 200,
        priority: 1,
        maxAttempts: 3,
        hasAffinity: true,
        allowedRegions: [],
        shares: [{ service: "files", weight: 1 }],
        isPublic: false,
        ...fields,
    };
}

export function createServer(id: string, zone: string, fields: Partial<ServerRecord> = {}): ServerRecord {
    return {
        id,
        startedAt: 1,
        service: "files",
        address: `10.0.0.1:${8000 + Number(id.replace(/\D/g, ""))}`,
        zone,
        slots: 3,
        phase: ServerPhase.Ready,
        coldRemainingMs: 0,
        ...fields,
    };
}

/** Creates an empty table for the instance "g-1". */
export function createTable(
    clock: Clock,
    recentColdSenders: BackendTableOptions["recentColdSenders"],
): BackendTable {
    return createBackendTable({
        clock,
        logger: createSilentLogger(),
        regionOf: zone => zones[zone],
        coldRequestsPerSecond: () => 20,
        self: "g-1",
        recentColdSenders,
        rateLimits: {
            random: () => 0,
            countInstances: () => 1,
            recentCandidates: () => soleSenders,
        },
        onServerRemoved: () => undefined,
    });
}

export interface Instance {
    clock: ManualClock;
    table: BackendTable;
    balancer: Balancer;
    readonly createRequest: (objectKey: string, fields?: Partial<RoutedRequest>) => RoutedRequest;
}

/** Creates the balancer of one instance in a zone of the region "north". */
export function createInstance(
    servers: readonly ServerRecord[],
    clock = createManualClock(1000),
    zone = "n-a",
): Instance {
    // Only instances in the zone of a server send to it while it is cold.
    const table = createTable(clock, serverZone => (serverZone === zone ? soleSenders : noSenders));
    table.setServices([
        {
            name: "files",
            healthPath: "/healthz",
            maxConnections: 300,
            coldStartMs,
            coldRequestsPerSecond: 11,
        },
    ]);
    servers.forEach(server => table.apply(server, false));
    const balancer = createBalancer({
        clock,
        table,
        zone,
        region: "north",
        regions: 2,
        maxRegionShift: 0.15,
        countInstances: () => 1,
    });
    return {
        clock,
        table,
        balancer,
        createRequest: (objectKey, fields = {}) => ({
            route: createRoute(),
            service: "files",
            objectKey,
            arrivedAt: clock.now(),
            deadlineAt: clock.now() + 1000,
            tried: new Set<string>(),
            ...fields,
        }),
    };
}
