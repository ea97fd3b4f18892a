/** Manifest, member view and reports shared by the tests of this package. */
import { MemberStatus, RequestClass } from "@waxwingdale/core";
import type { Member, MemberView } from "@waxwingdale/core";
import type { Manifest, ServiceSpec } from "@waxwingdale/manifest";
import type { CapacityReport, DemandReport, PlanInput } from "@waxwingdale/steering";

export const regions = ["north", "central", "south"];
export const startTime = Date.parse("2026-03-01T00:00:00Z");

function createService(name: string, servers: number): ServiceSpec {
    return {
        name,
        backend: { slots: 3, maxConnections: 330, warmUpSeconds: 10, coldShare: 0.5 },
        sites: regions.map(region => ({ site: `${region}-1`, servers, maxRequestsPerSecond: 1000 })),
        routes: [
            {
                name: "all",
                methods: ["GET"],
                path: "/",
                class: RequestClass.Lookup,
                idempotent: true,
                timeoutMs: 1000,
                maxBodyBytes: 1000,
                retryBudget: 0.1,
            },
        ],
    };
}

/** Three regions with one-way delays of 10 ms between neighbors and a shift cap for each pair. */
export function createManifest(changes: Partial<Manifest> = {}): Manifest {
    const pairs = regions.flatMap(from => regions.filter(to => to !== from).map(to => ({ from, to })));
    const delay = (a: string, b: string) => Math.abs(regions.indexOf(a) - regions.indexOf(b)) * 10;
    return {
        formatVersion: 1,
        deployment: "test",
        regions: regions.map(name => ({ name, zones: [`${name}-a`] })),
        storeRegion: "north",
        links: pairs.map(({ from, to }) => ({
            from,
            to,
            megabitsPerSecond: 100,
            oneWayDelayMs: delay(from, to),
            reservedShare: 0.1,
        })),
        sites: regions.map(region => ({ name: `${region}-1`, region, zone: `${region}-a` })),
        services: [createService("register", 10), createService("archive", 5)],
        shiftCaps: pairs.map(pair => ({ ...pair, maxRequestsPerSecond: 300, maxIncreasePerSecond: 20 })),
        drains: [],
        clientBlocks: [],
        defaultRegion: "north",
        lookup: { ttlSeconds: 5 },
        claims: { shards: 8, maxWritesPerSecond: 100, retentionSeconds: 3600, maxOutcomeBytes: 4096 },
        quarantine: { crashLimit: 2, quarantineSeconds: 600 },
        shutdown: { maxWaitSeconds: 30 },
        ...changes,
    };
}

export function createDemand(
    service: string,
    home: string,
    offeredPerSecond: number,
    changes: Partial<DemandReport> = {},
): DemandReport {
    return { service, home, offeredPerSecond, requestBytes: 500, responseBytes: 2000, ageMs: 0, ...changes };
}

/** Warm servers that can sustain 500 requests per second in each region. */
export function createCapacities(changes: Partial<CapacityReport> = {}): CapacityReport[] {
    return ["register", "archive"].flatMap(service =>
        regions.map(region => ({
            service,
            site: `${region}-1`,
            warmServers: 10,
            coldServers: 0,
            meanServiceMs: 60,
            ageMs: 0,
            ...changes,
        })),
    );
}

export function createInput(changes: Partial<PlanInput> = {}): PlanInput {
    return {
        manifest: createManifest(),
        demands: regions.flatMap(region => [
            createDemand("register", region, 100),
            createDemand("archive", region, 10),
        ]),
        capacities: createCapacities(),
        deadRegions: new Set(),
        previous: undefined,
        wallTime: startTime,
        secondsSincePrevious: 1,
        ...changes,
    };
}

export function createMember(id: string, region: string, changes: Partial<Member> = {}): Member {
    return {
        id,
        incarnation: 1,
        session: 1,
        status: MemberStatus.Live,
        region,
        zone: `${region}-a`,
        callerAddress: `${id}:80`,
        peerAddress: `${id}:81`,
        ready: true,
        ...changes,
    };
}

export interface FakeView extends MemberView {
    /** Replaces the members and notifies the listeners. */
    set(members: Member[]): void;
}

export function createView(selfId: string, initial: Member[]): FakeView {
    let rows = initial;
    const listeners = new Set<() => void>();
    const isLive = (row: Member) => row.status === MemberStatus.Live || row.status === MemberStatus.Suspect;
    return {
        self: () => rows.find(row => row.id === selfId)!,
        members: () => rows,
        liveInRegion: region =>
            rows.filter(row => row.region === region && isLive(row)).sort((a, b) => (a.id < b.id ? -1 : 1)),
        find: id => rows.find(row => row.id === id),
        onChange: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        set: members => {
            rows = members;
            listeners.forEach(listener => listener());
        },
    };
}
