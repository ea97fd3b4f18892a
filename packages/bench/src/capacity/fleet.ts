/** Manifests, client blocks and member views of a given size for the capacity benchmark. */
import { MemberStatus, RequestClass } from "@waxwingdale/core";
import type { Member, MemberView, Random } from "@waxwingdale/core";
import type { ClientBlockSpec, Manifest } from "@waxwingdale/manifest";
import { formatIpv4, maskAddress } from "@waxwingdale/steering";

export interface FleetSize {
    regions: number;
    zones: number;
    sites: number;
    services: number;
}

const names = (prefix: string, count: number) => Array.from({ length: count }, (_, i) => `${prefix}-${i}`);

export function createFleetManifest(size: FleetSize): Manifest {
    const regions = names("region", size.regions);
    const pairs = regions.flatMap(from => regions.filter(to => to !== from).map(to => ({ from, to })));
    const getRegion = (index: number) => regions[index % size.regions]!;
    const getZone = (index: number) => `zone-${index % size.zones}`;
    const sites = names("site", size.sites).map((name, i) => {
        const zone = i % size.zones;
        return { name, region: getRegion(zone), zone: getZone(zone) };
    });
    return {
        formatVersion: 1,
        deployment: "capacity",
        regions: regions.map((name, i) => ({
            name,
            zones: names("zone", size.zones).filter((_, zone) => zone % size.regions === i),
        })),
        storeRegion: regions[0]!,
        links: pairs.map(({ from, to }, i) => ({
            from,
            to,
            megabitsPerSecond: 4000,
            oneWayDelayMs: 20 + (i % 40),
            reservedShare: 0.1,
        })),
        sites,
        services: names("service", size.services).map(name => ({
            name,
            backend: { slots: 3, maxConnections: 330, warmUpSeconds: 30, coldShare: 0.5 },
            sites: sites.map(site => ({ site: site.name, servers: 12, maxRequestsPerSecond: 2000 })),
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
        })),
        shiftCaps: pairs.map(pair => ({ ...pair, maxRequestsPerSecond: 5000, maxIncreasePerSecond: 200 })),
        drains: [{ place: sites[0]!.name, startsAt: "2026-01-01T00:00:00Z" }],
        clientBlocks: [],
        defaultRegion: regions[0]!,
        lookup: { ttlSeconds: 5 },
        claims: { shards: 8, maxWritesPerSecond: 100, retentionSeconds: 3600, maxOutcomeBytes: 4096 },
        quarantine: { crashLimit: 2, quarantineSeconds: 600 },
        shutdown: { maxWaitSeconds: 30 },
    };
}

/** Creates distinct blocks across the whole address space: 60% of them /24, the others /20 to /28. */
export function createSpreadBlocks(
    count: number,
    regions: readonly string[],
    random: Random,
): ClientBlockSpec[] {
    const seen = new Set<number>();
    const blocks: ClientBlockSpec[] = [];
    while (blocks.length < count) {
        const length = random() < 0.6 ? 24 : 20 + Math.floor(random() * 9);
        const base = maskAddress(Math.floor(random() * 2 ** 32), length);
        const key = base * 64 + length;
        if (!seen.has(key)) {
            seen.add(key);
            const region = regions[Math.floor(random() * regions.length)]!;
            blocks.push({ block: `${formatIpv4(base)}/${length}`, region });
        }
    }
    return blocks;
}

/** Creates adjacent /32 blocks: the worst case for changes, since 65,536 blocks share a bucket. */
export function createDenseBlocks(count: number, regions: readonly string[]): ClientBlockSpec[] {
    return Array.from({ length: count }, (_, i) => ({
        block: `${formatIpv4(0x0a000000 + i)}/32`,
        region: regions[i % regions.length]!,
    }));
}

/** Creates the view of a fleet whose entries are distributed evenly over the regions. */
export function createFleetView(entries: number, manifest: Manifest): MemberView & { notifyChange(): void } {
    const members: Member[] = Array.from({ length: entries }, (_, i) => {
        const region = manifest.regions[i % manifest.regions.length]!;
        const address = `10.0.${i >> 8}.${i & 255}`;
        return {
            id: `entry-${String(i).padStart(4, "0")}`,
            incarnation: 1,
            session: 1,
            status: MemberStatus.Live,
            region: region.name,
            zone: region.zones[0]!,
            callerAddress: `${address}:8080`,
            peerAddress: `${address}:8081`,
            ready: true,
        };
    });
    const byRegion = new Map(
        manifest.regions.map(({ name }) => [name, members.filter(member => member.region === name)]),
    );
    const listeners = new Set<() => void>();
    return {
        self: () => members[0]!,
        members: () => members,
        liveInRegion: region => byRegion.get(region) ?? [],
        find: id => members.find(member => member.id === id),
        onChange: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        notifyChange: () => listeners.forEach(listener => listener()),
    };
}
