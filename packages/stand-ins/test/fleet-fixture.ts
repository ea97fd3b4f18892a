/** Small fleet of real processes, and a client that records the result of every request. */
import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before } from "node:test";
import {
    Outcome,
    idempotencyKeyHeader,
    outcomeHeader,
    reasonHeader,
    requestIdHeader,
} from "@waxwingdale/core";
import { fetchOperatorJson, launchFleet, readBackendState } from "@waxwingdale/stand-ins";
import type { BackendState, Fleet, FleetBackend, FleetEntry } from "@waxwingdale/stand-ins";
import { Agent, request } from "undici";

export const fleetKey = "key-of-the-fleet-under-test";
export const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));

export interface TestFleetOptions {
    regions: string[];
    entriesPerRegion: number;
    /** Backend servers of the single site in each region. */
    servers: number;
    workMs?: number;
    /** Cap on shifted requests per second between each pair of regions. */
    shiftCap?: number;
}

/** Creates a manifest whose service `desk` has a lookup, a non-idempotent, a download and an upload route. */
export function createTestManifest(options: TestFleetOptions) {
    const { regions, servers, shiftCap = 50 } = options;
    const pairs = regions.flatMap(from => regions.filter(to => to !== from).map(to => ({ from, to })));
    const route = { maxBodyBytes: 4096, retryBudget: 0.2, timeoutMs: 10_000 };
    return {
        formatVersion: 1,
        deployment: "proof",
        regions: regions.map(name => ({ name, zones: ["a"] })),
        storeRegion: regions[0],
        links: pairs.map(pair => ({ ...pair, megabitsPerSecond: 4000, oneWayDelayMs: 5 })),
        sites: regions.map(region => ({ name: `${region}-a`, region, zone: "a" })),
        services: [
            {
                name: "desk",
                backend: { slots: 3, maxConnections: 330, warmUpSeconds: 0, coldShare: 1 },
                sites: regions.map(region => ({ site: `${region}-a`, servers, maxRequestsPerSecond: 1000 })),
                routes: [
                    {
                        ...route,
                        name: "find",
                        methods: ["GET"],
                        path: "/items",
                        class: "lookup",
                        idempotent: true,
                    },
                    {
                        ...route,
                        name: "issue",
                        methods: ["POST"],
                        path: "/certs",
                        class: "write",
                        idempotent: false,
                        retryBudget: 0,
                    },
                    {
                        ...route,
                        name: "fetch",
                        methods: ["GET"],
                        path: "/files",
                        class: "bulk",
                        idempotent: true,
                        timeoutMs: 30_000,
                    },
                    {
                        ...route,
                        maxBodyBytes: 1_000_000,
                        name: "store",
                        methods: ["PUT"],
                        path: "/files",
                        class: "bulk",
                        idempotent: true,
                        timeoutMs: 30_000,
                    },
                ],
            },
        ],
        shiftCaps: pairs.map(pair => ({
            ...pair,
            maxRequestsPerSecond: shiftCap,
            maxIncreasePerSecond: shiftCap,
        })),
        drains: [] as object[],
        clientBlocks: [],
        defaultRegion: regions[0],
        lookup: { ttlSeconds: 2 },
        claims: { shards: 4, maxWritesPerSecond: 100, retentionSeconds: 3600, maxOutcomeBytes: 16384 },
        quarantine: { crashLimit: 2, quarantineSeconds: 600 },
        shutdown: { maxWaitSeconds: 40 },
    };
}

export interface TestFleet extends Fleet {
    folder: string;
    setStoreFaults(faults: object): Promise<void>;
    /** Sends a request to a control endpoint of a backend server. */
    control(backend: FleetBackend, path: string, body: object): Promise<void>;
    status(entry: FleetEntry): Promise<EntryStatus | undefined>;
    states(): Promise<BackendState[]>;
}

export interface EntryStatus {
    ready: boolean;
    notReady?: string;
    config: { generation?: number };
    members: { id: string; status: string }[];
}

/** Starts a fleet before the tests of a file and kills it after them. Returns a function that returns the fleet. */
export function useFleet(options: TestFleetOptions): () => TestFleet {
    let fleet: TestFleet | undefined;
    before(async () => {
        const folder = await mkdtemp(join(tmpdir(), "proof-"));
        const manifestFile = join(folder, "first.json");
        await writeFile(manifestFile, JSON.stringify(createTestManifest(options)));
        const { entriesPerRegion, workMs } = options;
        const launched = await launchFleet({ manifestFile, folder, fleetKey, entriesPerRegion, workMs });
        fleet = {
            ...launched,
            folder,
            setStoreFaults: faults => put(`http://${launched.storeAddress}/control/faults`, faults),
            control: (backend, path, body) => put(`http://${backend.address}/control/${path}`, body),
            status: entry => fetchOperatorJson<EntryStatus>(entry.operators, "/status", fleetKey),
            states: () => Promise.all(launched.backends.map(readBackendState)),
        };
    });
    after(async () => {
        await fleet?.stop();
        if (fleet !== undefined && process.env.KEEP_LOGS === undefined) {
            await rm(fleet.folder, { recursive: true, force: true });
        }
        await Promise.all([...agents.values()].map(agent => agent.destroy()));
    });
    return () => fleet!;
}

async function put(url: string, body: object): Promise<void> {
    const res = await request(url, { method: "PUT", body: JSON.stringify(body) });
    await res.body.dump();
    assert.equal(res.statusCode, 200, url);
}

/** Waits for a condition and fails if it is not met within `ms` milliseconds. */
export async function waitUntil(what: string, ms: number, condition: () => Promise<boolean>): Promise<void> {
    const end = Date.now() + ms;
    while (!(await condition())) {
        assert.ok(Date.now() < end, `${what}: not met within ${ms} ms`);
        await sleep(100);
    }
}

export interface SendResult {
    /** Index of the caller's home region. */
    home: number;
    outcome: Outcome;
    /** Whether the connection failed or broke before a response. */
    broken: boolean;
    status: number;
    reason: string;
    requestId: string;
    retryAfter: string;
    body: string;
    sentAt: number;
    endedAt: number;
}

export interface TestRequest {
    method?: string;
    /** Path below the service's prefix. */
    path: string;
    key?: string;
    /** Index of the caller's home region. */
    home?: number;
    headers?: Record<string, string>;
}

const agents = new Map<number, Agent>();

function getAgent(home: number): Agent {
    const found = agents.get(home);
    if (found !== undefined) {
        return found;
    }
    const localAddress = `127.${home + 1}.0.1`;
    const agent = new Agent({
        connections: 400,
        connect: { timeout: 1000 },
        localAddress,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    agents.set(home, agent);
    return agent;
}

/** Sends a request without retries. A refused connection counts as "not run", a broken one as "unknown". */
export async function sendRequest(entry: { callers: string }, testRequest: TestRequest): Promise<SendResult> {
    const { path, key, home = 0 } = testRequest;
    const headers = { ...testRequest.headers, ...(key === undefined ? {} : { [idempotencyKeyHeader]: key }) };
    const sentAt = Date.now();
    const failure = { home, broken: true, status: 0, requestId: "", retryAfter: "", body: "", sentAt };
    try {
        const res = await request(`http://${entry.callers}/desk${path}`, {
            method: (testRequest.method ?? "GET") as "GET",
            headers,
            dispatcher: getAgent(home),
        });
        const body = await res.body.text();
        const readHeader = (name: string) => String(res.headers[name] ?? "");
        return {
            home,
            outcome: readHeader(outcomeHeader) as Outcome,
            broken: false,
            status: res.statusCode,
            reason: readHeader(reasonHeader),
            requestId: readHeader(requestIdHeader),
            retryAfter: readHeader("retry-after"),
            body,
            sentAt,
            endedAt: Date.now(),
        };
    } catch (err) {
        const reason = (err as NodeJS.ErrnoException).code ?? String(err);
        const outcome = reason === "ECONNREFUSED" ? Outcome.NotRun : Outcome.Unknown;
        return { ...failure, outcome, reason, endedAt: Date.now() };
    }
}

/** Resolves once every entry has served a request and therefore holds slots. */
export async function warmUp(fleet: TestFleet): Promise<void> {
    const results = await Promise.all(
        fleet.entries.map(entry => sendRequest(entry, { path: "/items/first" })),
    );
    results.forEach(({ outcome, requestId }) => assert.equal(outcome, Outcome.Ran, requestId));
}

/** Returns the number of runs of each key on all backend servers. */
export async function countRunsByKey(fleet: TestFleet): Promise<Map<string, number>> {
    const runs = new Map<string, number>();
    for (const { keys } of await fleet.states()) {
        for (const [key, count] of Object.entries(keys ?? {})) {
            runs.set(key, (runs.get(key) ?? 0) + count);
        }
    }
    return runs;
}

/** Sends requests at a constant rate, independent of the response times, and resolves with all results. */
export async function sendAtRate(
    chooseEntry: (number: number) => FleetEntry,
    requestsPerSecond: number,
    seconds: number,
    createRequest: (number: number) => TestRequest,
): Promise<SendResult[]> {
    const startedAt = Date.now();
    const results: Promise<SendResult>[] = [];
    for (let i = 0; i < requestsPerSecond * seconds; i++) {
        const due = startedAt + (i * 1000) / requestsPerSecond;
        if (due > Date.now()) {
            await sleep(due - Date.now());
        }
        results.push(sendRequest(chooseEntry(i), createRequest(i)));
    }
    return Promise.all(results);
}
