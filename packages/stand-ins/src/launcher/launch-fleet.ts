/** Starts the frame of a deployment as separate processes on loopback addresses. */
import { mkdir, readFile, writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { Manifest } from "@waxwingdale/manifest";
import { parse } from "jsonc-parser";
import { request } from "undici";
import { findBinary, launch, runToEnd } from "./child-process.js";
import type { LaunchedProcess } from "./child-process.js";

export interface FleetOptions {
    /** Manifest file that is pushed at the start. */
    manifestFile: string;
    /** Folder for settings and logs. */
    folder: string;
    fleetKey: string;
    /**
     * Entries in each region.
     * @default 3
     */
    entriesPerRegion?: number;
    /**
     * Mean service time in milliseconds.
     * @default 10
     */
    workMs?: number;
    /** More flags of every backend server. */
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
    /** Runs the operators' command line. */
    runCommand(args: string[]): Promise<{ code: number; stdout: string; stderr: string }>;
    /** Starts one more entry; `settings` go before the settings that entries get by default. */
    startEntry(
        region: string,
        zone: string,
        id: string,
        settings?: Record<string, unknown>,
    ): Promise<FleetEntry>;
    stop(): Promise<void>;
}

/** Processes that start at the same time. More would only slow each other on a few cores. */
const startBatch = 8;
/** Time in milliseconds for all entries to have the manifest and their peers. */
const readyTimeoutMs = 20_000;

/** Starts store, backend servers and entries, pushes the manifest, and resolves when all entries are ready. */
export async function launchFleet(options: FleetOptions): Promise<Fleet> {
    await mkdir(options.folder, { recursive: true });
    const manifest = addLoopbackBlocks(parse(await readFile(options.manifestFile, "utf8")) as Manifest);
    const manifestFile = join(options.folder, "manifest.json");
    await writeFile(manifestFile, JSON.stringify(manifest, undefined, 4));
    const processes: LaunchedProcess[] = [];
    const env = { WAXWINGDALE_FLEET_KEY: options.fleetKey };

    const start = async (name: string, binary: string, args: string[]) => {
        const launched = await launch({
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
        await inBatches(listBackends(manifest), async ({ id, service, site, region, zone }) => {
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
            const more = ["--store", storeAddress, "--work-ms", String(options.workMs ?? 10)];
            const launched = await start(id, findBinary("stand-ins", "stand-in-backend"), [
                ...args,
                ...more,
                ...(options.backendFlags ?? []),
            ]);
            backends.push({ id, service, site, address: launched.fields.address!, process: launched });
        });

        const startEntry: Fleet["startEntry"] = async (region, zone, id, more = {}) => {
            const file = join(options.folder, `${id}.jsonc`);
            const any = "127.0.0.1:0";
            const settings = {
                id,
                region,
                zone,
                store: storeAddress,
                listen: { callers: any, peers: any, operators: any },
                maxConnectionsPerCaller: 4096,
                ...more,
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
        await inBatches(
            listEntries(manifest, options.entriesPerRegion ?? 3),
            async ({ region, zone, id }) => {
                entries.push(await startEntry(region, zone, id));
            },
        );
        entries.sort((a, b) => (a.id < b.id ? -1 : 1));

        const runCommand = (args: string[]) =>
            runToEnd(findBinary("cli", "waxwingdale"), [...args, "--store", storeAddress], env);
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

/** Gives each region a block of the loopback network, so that the load driver's callers have a home region. */
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

function listEntries(manifest: Manifest, perRegion: number) {
    return manifest.regions.flatMap(region =>
        Array.from({ length: perRegion }, (_, i) => ({
            region: region.name,
            zone: region.zones[i % region.zones.length]!,
            id: `entry-${region.name}-${i + 1}`,
        })),
    );
}

async function inBatches<T>(items: T[], start: (item: T) => Promise<void>): Promise<void> {
    for (let i = 0; i < items.length; i += startBatch) {
        await Promise.all(items.slice(i, i + startBatch).map(start));
    }
}

/** Reads JSON from an operator listener; undefined when it does not answer. */
export async function askOperator<T>(
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
                askOperator<{ ready: boolean; reason?: string }>(entry.operators, "/ready", fleetKey),
            ),
        );
        if (states.every(state => state?.ready === true)) {
            return;
        }
        if (Date.now() > end) {
            const late = entries
                .filter((_, i) => states[i]?.ready !== true)
                .map((entry, i) => `${entry.id} (${states[i]?.reason ?? "no answer"})`);
            throw new Error(`not ready in time: ${late.join(", ")}`);
        }
        await new Promise(resolve => setTimeout(resolve, 100));
    }
}
