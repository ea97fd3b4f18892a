/** Guards against interrupted requests, and new requests to the instance, during a drain or graceful shutdown. */
import assert from "node:assert/strict";
import { get } from "node:http";
import type { IncomingMessage } from "node:http";
import { test } from "node:test";
import { Outcome, RequestClass, createRandom, createSystemClock } from "@waxwingdale/core";
import type { LookupResponse } from "@waxwingdale/core";
import {
    CallResult,
    createCaller,
    createCallerAgent,
    createPatternChecker,
    readBackendState,
} from "@waxwingdale/stand-ins";
import type { CallReport, FleetBackend } from "@waxwingdale/stand-ins";
import { request } from "undici";
import { sleep, waitUntil, useFleet } from "./fleet-fixture.js";

const testOptions = { timeout: 40_000 };
const regions = ["east", "west"];
const getFleet = useFleet({ regions, entriesPerRegion: 2, servers: 4 });
/** Milliseconds after the start of a drain during which new requests may still start. */
const drainGraceMs = 5000;

/** Starts callers that cache lookup responses; each sends one request at a time. */
function startCallers(count: number) {
    const entries = getFleet().entries.map(({ callers }) => callers);
    const clock = createSystemClock();
    const random = createRandom(7);
    const agents = regions.map((_, i) => createCallerAgent(`127.${i + 1}.0.1`));
    const reports: CallReport[] = [];
    let stopped = false;
    const run = async (number: number) => {
        const home = number % regions.length;
        const client = `127.${home + 1}.0.${number + 1}`;
        const caller = createCaller({ clock, random, entries, client, dispatcher: agents[home]! });
        for (let i = 0; !stopped; i++) {
            const isWrite = i % 4 === 0;
            const loadRequest = {
                service: "desk",
                method: isWrite ? "POST" : "GET",
                path: isWrite ? "/certs" : `/items/${i}`,
                requestClass: isWrite ? RequestClass.Write : RequestClass.Lookup,
                idempotent: !isWrite,
                uploadBytes: 0,
                downloadBytes: 0,
            };
            reports.push(await caller.call(loadRequest));
            await sleep(20);
        }
    };
    const running = Array.from({ length: count }, (_, i) => run(i));
    return {
        reports,
        stop: async () => {
            stopped = true;
            await Promise.all(running);
            await Promise.all(agents.map(agent => agent.destroy()));
        },
    };
}

/** Downloads a body over about 6 s. */
function downloadSlowly(address: string): Promise<{ outcome: unknown; correct: boolean }> {
    return readSlowly(address).catch((err: unknown) => ({ outcome: String(err), correct: false }));
}

async function readSlowly(address: string): Promise<{ outcome: unknown; correct: boolean }> {
    const bytes = 8_000_000;
    // Uses node:http: undici reports an error for a complete body that is consumed after the connection was closed.
    const res = await new Promise<IncomingMessage>((resolve, reject) =>
        get(`http://${address}/desk/files/1?bytes=${bytes}`, resolve).once("error", reject),
    );
    const checker = createPatternChecker();
    const startedAt = Date.now();
    let readBytes = 0;
    for await (const chunk of res) {
        checker.add(chunk as Buffer);
        readBytes += (chunk as Buffer).length;
        const due = startedAt + (6000 * readBytes) / bytes;
        if (due - Date.now() > 20) {
            await sleep(due - Date.now());
        }
    }
    const { length, correct } = checker.result();
    return { outcome: res.headers["waxwingdale-outcome"], correct: correct && length === bytes };
}

/** Asserts that every request succeeded at its first attempt. */
function assertNoneInterrupted(reports: CallReport[]): void {
    assert.ok(reports.length > 0);
    const interrupted = reports.filter(
        ({ result, attempts }) => result !== CallResult.Answered || attempts !== 1,
    );
    assert.deepEqual(interrupted.slice(0, 5), [], `${interrupted.length} of ${reports.length} requests`);
}

async function assertNoLateStart(server: FleetBackend): Promise<void> {
    const { drainStartedAt, startsAfterDrain } = await readBackendState(server);
    assert.notEqual(drainStartedAt, undefined);
    assert.deepEqual(startsAfterDrain.slice(0, 5), []);
}

/** Ways in which entries detect a drain. Each test suppresses all but one of them. */
const drainSignals = [
    { signal: "response header", lagMs: 30_000, faults: { healthHidesDrain: true } },
    { signal: "health check", lagMs: 30_000, faults: { answersHideDrain: true } },
    { signal: "instance list", lagMs: 0, faults: { healthHidesDrain: true, answersHideDrain: true } },
];

for (const [i, { signal, lagMs, faults }] of drainSignals.entries()) {
    test(
        `drain of a backend server that only the ${signal} shows: no request starts after 5 s or is interrupted`,
        testOptions,
        async () => {
            const fleet = getFleet();
            const server = fleet.backends.find(({ id }) => id === `desk-${regions[i % 2]}-a-${i + 1}`)!;
            await fleet.setStoreFaults({ instanceListLagMs: lagMs });
            await fleet.control(server, "faults", faults);
            const load = startCallers(40);
            await sleep(500);
            await fleet.control(server, "drain", { draining: true });
            await sleep(drainGraceMs + 2000);
            await load.stop();
            await assertNoLateStart(server);
            assertNoneInterrupted(load.reports);
            await fleet.control(server, "faults", { healthHidesDrain: false, answersHideDrain: false });
            await fleet.control(server, "drain", { draining: false });
            await fleet.setStoreFaults({});
        },
    );
}

test(
    "SIGTERM of a backend server with slow downloads, stale instance list and false health: no request is interrupted",
    testOptions,
    async () => {
        const fleet = getFleet();
        const server = fleet.backends.find(({ id }) => id === "desk-east-a-4")!;
        await fleet.setStoreFaults({ instanceListLagMs: 30_000 });
        await fleet.control(server, "faults", { healthHidesDrain: true });
        const load = startCallers(40);
        const east = fleet.entries.filter(({ region }) => region === "east");
        const downloads = Array.from({ length: 6 }, (_, i) => downloadSlowly(east[i % 2]!.callers));
        await waitUntil(
            "a download is active on the server",
            5000,
            async () => (await readBackendState(server)).busy > 0,
        );
        await sleep(500);
        server.process.child.kill("SIGTERM");
        await sleep(drainGraceMs + 500);
        const exitCode = await server.process.exited;
        await sleep(1000);
        await load.stop();
        assert.deepEqual(
            await Promise.all(downloads),
            downloads.map(() => ({ outcome: Outcome.Ran, correct: true })),
        );
        assertNoneInterrupted(load.reports);
        assert.equal(exitCode, 0);
        await fleet.setStoreFaults({});
    },
);

test(
    "SIGTERM of an entry with slow downloads and callers with cached addresses: no request is interrupted",
    testOptions,
    async () => {
        const fleet = getFleet();
        const entry = fleet.entries.find(({ region }) => region === "east")!;
        const load = startCallers(40);
        const downloads = Array.from({ length: 4 }, () => downloadSlowly(entry.callers));
        await sleep(1000);
        entry.process.child.kill("SIGTERM");
        await waitUntil("the entry removes itself from its lookup responses", 1000, async () => {
            const res = await request(`http://${entry.callers}/v1/lookup?service=desk&client=127.1.0.1`);
            const { entries } = (await res.body.json()) as LookupResponse;
            return entries.length > 0 && entries.every(({ address }) => address !== entry.callers);
        });
        const exitCode = await entry.process.exited;
        const atExit = load.reports.length;
        await sleep(1500);
        await load.stop();
        assert.deepEqual(
            await Promise.all(downloads),
            downloads.map(() => ({ outcome: Outcome.Ran, correct: true })),
        );
        assertNoneInterrupted(load.reports);
        assert.ok(load.reports.length > atExit, "callers continue at other entries");
        assert.equal(exitCode, 0);
    },
);
