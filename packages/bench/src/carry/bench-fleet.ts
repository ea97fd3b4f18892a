/** Fleet that the carry benchmark measures: a store, backend servers and one entry. */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { RequestClass } from "@waxwingdale/core";
import type { Manifest } from "@waxwingdale/manifest";
import { launchFleet } from "@waxwingdale/stand-ins";
import type { BackendState } from "@waxwingdale/stand-ins";
import { request } from "undici";

const backendServers = 3;
/** Slots of each backend server: more than the connections of any case, so that no request waits for a slot. */
const slots = 64;
const fleetKey = "key of the carry benchmark";

export interface ProcessUsage {
    cpuSeconds: number;
    memoryBytes: number;
}

export interface BenchFleet {
    entry: string;
    backends: string[];
    readEntryUsage(): Promise<ProcessUsage>;
    /** Returns the total CPU time of all backend servers, in seconds. */
    readBackendCpuSeconds(): Promise<number>;
    stop(): Promise<void>;
}

const route = { methods: ["GET"], idempotent: true, timeoutMs: 60_000, maxBodyBytes: 0, retryBudget: 0 };

const manifest: Manifest = {
    formatVersion: 1,
    deployment: "carry",
    regions: [{ name: "north", zones: ["a"] }],
    storeRegion: "north",
    links: [],
    sites: [{ name: "north-a", region: "north", zone: "a" }],
    services: [
        {
            name: "register",
            backend: { slots, maxConnections: 330, warmUpSeconds: 0, coldShare: 1 },
            sites: [{ site: "north-a", servers: backendServers, maxRequestsPerSecond: 150_000 }],
            routes: [
                { ...route, name: "read", path: "/detectors", class: RequestClass.Lookup },
                { ...route, name: "download", path: "/files", class: RequestClass.Bulk },
            ],
        },
    ],
    shiftCaps: [],
    drains: [],
    clientBlocks: [],
    defaultRegion: "north",
    lookup: { ttlSeconds: 5 },
    claims: { shards: 1, maxWritesPerSecond: 10, retentionSeconds: 3600, maxOutcomeBytes: 1000 },
    quarantine: { crashLimit: 2, quarantineSeconds: 60 },
    shutdown: { maxWaitSeconds: 60 },
};

/** Starts the processes. `stop` also removes their files. */
export async function startBenchFleet(): Promise<BenchFleet> {
    const folder = await mkdtemp(join(tmpdir(), "carry-"));
    const manifestFile = join(folder, "source.json");
    await writeFile(manifestFile, JSON.stringify(manifest));
    const fleet = await launchFleet({
        manifestFile,
        folder,
        fleetKey,
        entriesPerRegion: 1,
        workMs: 0,
        backendFlags: ["--slots", String(slots), "--constant-work"],
    });
    const [entry] = fleet.entries;
    return {
        entry: entry!.callers,
        backends: fleet.backends.map(({ address }) => address),
        readEntryUsage: async () => {
            const res = await request(`http://${entry!.operators}/metrics`, {
                headers: { authorization: `Bearer ${fleetKey}` },
            });
            const text = await res.body.text();
            return {
                cpuSeconds: readMetric(text, "process_cpu_seconds_total"),
                memoryBytes: readMetric(text, "process_resident_memory_bytes"),
            };
        },
        readBackendCpuSeconds: async () => {
            const states = await Promise.all(
                fleet.backends.map(async ({ address }) => {
                    const res = await request(`http://${address}/control/state`);
                    return (await res.body.json()) as BackendState;
                }),
            );
            return states.reduce((sum, state) => sum + state.cpuSeconds, 0);
        },
        stop: async () => {
            await fleet.stop();
            await rm(folder, { recursive: true, force: true });
        },
    };
}

function readMetric(text: string, name: string): number {
    const line = text.split("\n").find(item => item.startsWith(`${name} `));
    return Number(line?.split(" ")[1]);
}
