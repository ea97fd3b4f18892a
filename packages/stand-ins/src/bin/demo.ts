/** Demo: a deployment under a mixed load, with a drain of a site and a graceful shutdown of an entry. */
import { mkdtemp, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import sade from "sade";
import { findBinary, runToCompletion } from "../launcher/child-process.js";
import { launchFleet } from "../launcher/launch-fleet.js";
import type { Fleet, FleetBackend } from "../launcher/launch-fleet.js";
import { countRuns, readBackendState } from "../launcher/run-checks.js";
import type { RunCounts } from "../launcher/run-checks.js";
import type { LoadReport } from "../load/index.js";

interface Flags {
    deployment: string;
    rate: number;
    seconds: number;
    seed: number;
    serve: boolean;
}

interface DrainResult {
    place: string;
    servers: number;
    /** Seconds from the accepted push until all servers were idle. */
    idleSeconds: number;
    /** Number of requests that started on drained servers more than 5 s after the push. */
    lateStarts: number;
}

interface StopResult {
    entry: string;
    seconds: number;
    exitCode: number;
}

/** Milliseconds after the accepted push during which a drained server may still receive new requests. */
const drainGraceMs = 5000;
/** Timeout for drained servers to become idle, in milliseconds. */
const drainTimeoutMs = 20_000;

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

async function run(flags: Flags): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "waxwingdale-"));
    const manifestFile = fileURLToPath(
        new URL(`../../../examples/${flags.deployment}.manifest.jsonc`, import.meta.url),
    );
    const fleetKey = `demo-${Math.random().toString(36).slice(2)}-key-of-the-fleet`;
    console.log(`starting the ${flags.deployment} deployment; settings and logs are in ${folder}`);
    const fleet = await launchFleet({ manifestFile, folder, fleetKey });
    console.log(`ready: ${fleet.entries.length} entries, ${fleet.backends.length} backend servers, 1 store`);
    try {
        if (flags.serve) {
            await serve(fleet, fleetKey);
        } else {
            process.exitCode = (await runScenario(flags, fleet, folder)) ? 0 : 1;
        }
    } finally {
        await fleet.stop();
    }
}

async function serve(fleet: Fleet, fleetKey: string): Promise<void> {
    const [first] = fleet.entries;
    const [service] = fleet.manifest.services;
    console.log(
        fleet.entries
            .map(({ id, callers, operators }) => `${id}  callers ${callers}  operators ${operators}`)
            .join("\n"),
    );
    console.log(`store ${fleet.storeAddress}\n\ntry:`);
    console.log(`  curl 'http://${first!.callers}/v1/lookup?service=${service!.name}&client=127.1.0.1'`);
    console.log(`  curl -i http://${first!.callers}/${service!.name}${service!.routes[0]!.path}/7`);
    console.log(
        `  curl -H 'authorization: Bearer ${fleetKey}' http://${first!.operators}/status\n\nCtrl-C stops all processes.`,
    );
    await new Promise(resolve => process.once("SIGINT", resolve));
}

async function runScenario(flags: Flags, fleet: Fleet, folder: string): Promise<boolean> {
    const addresses = fleet.entries.map(entry => entry.callers).join(",");
    const args = [
        "--deployment",
        flags.deployment,
        "--entries",
        addresses,
        "--rate",
        String(flags.rate),
        "--seconds",
        String(flags.seconds),
        "--seed",
        String(flags.seed),
    ];
    const load = runToCompletion(findBinary("stand-ins", "load-driver"), args);
    await sleep(flags.seconds * 250);
    const drain = await drainSite(fleet, folder);
    await sleep(flags.seconds * 150);
    const stop = await stopEntry(fleet);
    const { stdout, code, stderr } = await load;
    if (code !== 0) {
        throw new Error(`the load driver failed: ${stderr}`);
    }
    const report = JSON.parse(stdout) as LoadReport;
    const runs = await countRuns(fleet.backends, report);
    return printReport(report, runs, drain, stop);
}

/** Drains the first site of the first service by a push and waits until its servers are idle. */
async function drainSite(fleet: Fleet, folder: string): Promise<DrainResult> {
    const manifest = structuredClone(fleet.manifest);
    const service = manifest.services[0]!.name;
    const place = manifest.services[0]!.sites[0]!.site;
    manifest.drains.push({ place, service, startsAt: new Date().toISOString() });
    const file = join(folder, "drain.manifest.jsonc");
    await writeFile(file, JSON.stringify(manifest, undefined, 4));
    const pushed = await fleet.runCommand(["push", file, "--base", "1"]);
    if (pushed.code !== 0) {
        throw new Error(`push of the drain failed with exit code ${pushed.code}: ${pushed.stderr}`);
    }
    const acceptedAt = Date.now();
    const drained = fleet.backends.filter(backend => backend.service === service && backend.site === place);
    const before = await readTotals(drained);
    let idleAt = acceptedAt;
    let last = before;
    while (Date.now() - acceptedAt < drainGraceMs) {
        await sleep(50);
        const now = await readTotals(drained);
        if (now.busy > 0 || now.started > last.started) {
            idleAt = Date.now();
        }
        last = now;
    }
    const startedWithinGrace = last.started;
    while (last.busy > 0 && Date.now() - acceptedAt < drainTimeoutMs) {
        await sleep(50);
        last = await readTotals(drained);
        idleAt = Date.now();
    }
    await sleep(1000);
    last = await readTotals(drained);
    return {
        place,
        servers: drained.length,
        idleSeconds: (idleAt - acceptedAt) / 1000,
        lateStarts: last.started - startedWithinGrace,
    };
}

async function readTotals(backends: FleetBackend[]): Promise<{ busy: number; started: number }> {
    const states = await Promise.all(backends.map(readBackendState));
    const sum = (read: (state: (typeof states)[number]) => number) =>
        states.reduce((total, state) => total + read(state), 0);
    return {
        busy: sum(state => state.busy),
        started: sum(state => (state as unknown as { started: number }).started),
    };
}

async function stopEntry(fleet: Fleet): Promise<StopResult> {
    const entry = fleet.entries.at(-1)!;
    const startedAt = Date.now();
    entry.process.child.kill("SIGTERM");
    const exitCode = await entry.process.exited;
    return { entry: entry.id, seconds: (Date.now() - startedAt) / 1000, exitCode };
}

function printReport(report: LoadReport, runs: RunCounts, drain: DrainResult, stop: StopResult): boolean {
    const rows: [string, string | number, boolean][] = [
        ["requests", report.requests, true],
        ["answered", report.answered, report.answered > 0],
        ["not run", report.notRun, true],
        ["unknown outcome", report.unknown, true],
        ["retried by callers", report.sentAgain, true],
        ["replayed for a repeated key", report.replayed, true],
        ["wrong responses", report.wrong, report.wrong === 0],
        ["keys run more than once", runs.duplicated, runs.duplicated === 0],
        ["keys answered but not run", runs.lost, runs.lost === 0],
        ["keys reported as not run but run", runs.falseNotRun, runs.falseNotRun === 0],
        ["max concurrent requests on a server", runs.peakBusy, runs.peakBusy <= 3],
        ...report.latency.flatMap(({ requestClass, p50Ms, p99Ms }): [string, string, boolean][] => [
            [`${requestClass} p50 / p99 ms`, `${p50Ms} / ${p99Ms}`, true],
        ]),
        [`drain of ${drain.place} (${drain.servers} servers): seconds until idle`, drain.idleSeconds, true],
        ["requests started on drained servers after 5 s", drain.lateStarts, drain.lateStarts === 0],
        [`graceful shutdown of ${stop.entry}: seconds`, stop.seconds, stop.exitCode === 0],
    ];
    for (const [name, value, ok] of rows) {
        console.log(`${ok ? "  " : "! "}${name.padEnd(58)}${value}`);
    }
    if (Object.keys(report.reasons).length > 0) {
        console.log(`  reasons: ${JSON.stringify(report.reasons)}`);
    }
    const passed = rows.every(([, , ok]) => ok) && report.unknown === 0;
    console.log(
        passed
            ? "all promises held"
            : "a promise was broken or the outcome of a request is unknown (see above)",
    );
    return passed;
}

sade("waxwingdale-demo", true)
    .option("--deployment", "Deployment: association or khata", "association")
    .option("--rate", "Requests per second", 300)
    .option("--seconds", "Duration of the load in seconds", 30)
    .option("--seed", "Seed of the random number generator", 1)
    .option("--serve", "Keep the processes running and print their addresses", false)
    .action((flags: Flags) => run(flags))
    .parse(process.argv);
