/** Launches a deployment's store, entries and backend servers as separate processes on loopback addresses. */
import { mkdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { Manifest } from "@waxwingdale/manifest";
import { parse } from "jsonc-parser";
import { request } from "undici";
import { findBinary, launchProcess, runToCompletion } from "./child-process.js";
import type { LaunchedProcess } from "./child-process.js";

export interface FleetOptions {
    /** Manifest that is pushed after the start. */
    manifestFile: string;
    /** Folder for settings files and logs. */
    folder: string;
    fleetKey: string;
    /**
     * Number of entries in each region.
     * @default 3
     */
    entriesPerRegion?: number;
    /**
     * Mean service time of the backend servers, in milliseconds.
     * @default 10
     */
    workMs?: number;
    /** Additional command-line flags of every backend server. */
    backendFlags?: string[];
}

export interface FleetEntry {
    id: string;
    region: string;
    callers: string;
    peers: string;
    operators: string;
    process: LaunchedProcess;
}

export interface FleetBackend {
    id: string;
    service: string;
    site: string;
    address: string;
    process: LaunchedProcess;
}

export interface Fleet {
    manifest: Manifest;
    storeAddress: string;
    store: LaunchedProcess;
    entries: FleetEntry[];
    backends: FleetBackend[];
    /** Runs a command of the operators' CLI. */
    runCommand(args: string[]): Promise<{ code: number; stdout: string; stderr: string }>;
    /** Starts an additional entry; `settings` override the default settings of entries. */
    startEntry(
        region: string,
        zone: string,
        id: string,
        settings?: Record<string, unknown>,
    ): Promise<FleetEntry>;
    stop(): Promise<void>;
}

/** Number of processes that start concurrently. More would only slow each other down on a few cores. */
const startBatchSize = 8;
/** Timeout for all entries to receive the manifest and find their peers, in milliseconds. */
const readyTimeoutMs = 20_000;

/** Starts the store, backend servers and entries, pushes the manifest, and resolves once all entries are ready. */
export async function launchFleet(options: FleetOptions): Promise<Fleet> {
    await mkdir(options.folder, { recursive: true });
    const manifest = addLoopbackBlocks(parse(await readFile(options.manifestFile, "utf8")) as Manifest);
    const manifestFile = join(options.folder, "manifest.json");
    await writeFile(manifestFile, JSON.stringify(manifest, undefined, 4));
    const processes: LaunchedProcess[] = [];
    const env = { WAXWINGDALE_FLEET_KEY: options.fleetKey };

    const start = async (name: string, binary: string, args: string[]) => {
        const launched = await launchProcess({
            name,
            binary,
            args,
            env,
            logFile: join(options.folder, `${name}.log`),
        });
        processes.push(launched);
        return launched;
    };

    const killAll = () => processes.forEach(({ child }) => child.kill("SIGKILL"));
    process.once("exit", killAll);

    const stop = async () => {
        killAll();
        process.off("exit", killAll);
        await Promise.all(processes.map(({ exited }) => exited));
    };

    try {
        const store = await start("store", findBinary("stand-ins", "stand-in-store"), []);
        const storeAddress = store.fields.address!;
        const backends: FleetBackend[] = [];
        await startInBatches(listBackends(manifest), async ({ id, service, site, region, zone }) => {
            const args = [
                "--id",
                id,
                "--service",
                service,
                "--region",
                region,
                "--zone",
                zone,
                "--site",
                site,
            ];
            const extraArgs = ["--store", storeAddress, "--work-ms", String(options.workMs ?? 10)];
            const launched = await start(id, findBinary("stand-ins", "stand-in-backend"), [
                ...args,
                ...extraArgs,
                ...(options.backendFlags ?? []),
            ]);
            backends.push({ id, service, site, address: launched.fields.address!, process: launched });
        });

        const startEntry: Fleet["startEntry"] = async (region, zone, id, extraSettings = {}) => {
            const file = join(options.folder, `${id}.jsonc`);
            const anyPort = "127.0.0.1:0";
            const settings = {
                id,
                region,
                zone,
                store: storeAddress,
                listen: { callers: anyPort, peers: anyPort, operators: anyPort },
                maxConnectionsPerCaller: 4096,
                ...extraSettings,
            };
            await writeFile(file, `// Settings of entry ${id}\n${JSON.stringify(settings, undefined, 4)}\n`);
            const launched = await start(id, findBinary("entry", "waxwingdale-entry"), ["--settings", file]);
            const { callers, peers, operators } = launched.fields as {
                callers: string;
                peers: string;
                operators: string;
            };
            return { id, region, callers, peers, operators, process: launched };
        };

        const entries: FleetEntry[] = [];
        await startInBatches(
            listEntries(manifest, options.entriesPerRegion ?? 3),
            async ({ region, zone, id }) => {
                entries.push(await startEntry(region, zone, id));
            },
        );
        entries.sort((a, b) => (a.id < b.id ? -1 : 1));

        const runCommand = (args: string[]) =>
            runToCompletion(findBinary("cli", "waxwingdale"), [...args, "--store", storeAddress], env);
        const pushed = await runCommand(["push", manifestFile]);
        if (pushed.code !== 0) {
            throw new Error(`push failed with exit code ${pushed.code}: ${pushed.stderr}`);
        }
        await waitUntilReady(entries, options.fleetKey);
        return { manifest, storeAddress, store, entries, backends, runCommand, startEntry, stop };
    } catch (err) {
        await stop();
        throw err;
    }
}

/** Assigns a block of loopback addresses to each region, so that the load driver's callers have a home region. */
function addLoopbackBlocks(manifest: Manifest): Manifest {
    const blocks = manifest.regions.map(({ name }, i) => ({ block: `127.${i + 1}.0.0/16`, region: name }));
    return { ...manifest, clientBlocks: [...manifest.clientBlocks, ...blocks] };
}

function listBackends(manifest: Manifest) {
    const sites = new Map(manifest.sites.map(site => [site.name, site]));
    return manifest.services.flatMap(service =>
        service.sites.flatMap(({ site, servers }) => {
            const { region, zone } = sites.get(site)!;
            const numbers = Array.from({ length: servers }, (_, i) => i + 1);
            return numbers.map(number => ({
                id: `${service.name}-${site}-${number}`,
                service: service.name,
                site,
                region,
                zone,
            }));
        }),
    );
}

function listEntries(manifest: Manifest, entriesPerRegion: number) {
    return manifest.regions.flatMap(region =>
        Array.from({ length: entriesPerRegion }, (_, i) => ({
            region: region.name,
            zone: region.zones[i % region.zones.length]!,
            id: `entry-${region.name}-${i + 1}`,
        })),
    );
}

async function startInBatches<T>(items: T[], start: (item: T) => Promise<void>): Promise<void> {
    for (let i = 0; i < items.length; i += startBatchSize) {
        await Promise.all(items.slice(i, i + startBatchSize).map(start));
    }
}

/** Fetches JSON from the operator listener of an entry; returns `undefined` if it does not respond. */
export async function fetchOperatorJson<T>(
    address: string,
    path: string,
    fleetKey: string,
): Promise<T | undefined> {
    try {
        const res = await request(`http://${address}${path}`, {
            headers: { authorization: `Bearer ${fleetKey}` },
        });
        return (await res.body.json()) as T;
    } catch {
        return undefined;
    }
}

async function waitUntilReady(entries: FleetEntry[], fleetKey: string): Promise<void> {
    const end = Date.now() + readyTimeoutMs;
    for (;;) {
        const states = await Promise.all(
            entries.map(entry =>
                fetchOperatorJson<{ ready: boolean; reason?: string }>(entry.operators, "/ready", fleetKey),
            ),
        );
        if (states.every(state => state?.ready === true)) {
            return;
        }
        if (Date.now() > end) {
            const notReady = entries
                .filter((_, i) => states[i]?.ready !== true)
                .map((entry, i) => `${entry.id} (${states[i]?.reason ?? "no response"})`);
            throw new Error(`entries not ready in time: ${notReady.join(", ")}`);
        }
        await new Promise(resolve => setTimeout(resolve, 100));
    }
}
