/** A small fleet of real processes, and a caller that keeps every answer it gets. */
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
import { askOperator, launchFleet, readBackendState } from "@waxwingdale/stand-ins";
import type { BackendState, Fleet, FleetBackend, FleetEntry } from "@waxwingdale/stand-ins";
import { Agent, request } from "undici";

export const fleetKey = "key-of-the-fleet-under-test";
export const sleep = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));

export interface TestFleetOptions {
    regions: string[];
    entriesPerRegion: number;
    /** Servers of each region's one site. */
    servers: number;
    workMs?: number;
    /** Cap on shifted requests per second of each pair. */
    shiftCap?: number;
}

/** The service `desk` has a look-up route, a non-idempotent route and a download route. */
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
    /** Calls a control path of a backend server. */
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

/** Starts a fleet before the tests of a file, and kills it after them. The returned function gives the fleet. */
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
            status: entry => askOperator<EntryStatus>(entry.operators, "/status", fleetKey),
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

/** Waits for a condition that has to come true within a stated time. */
export async function until(what: string, ms: number, condition: () => Promise<boolean>): Promise<void> {
    const end = Date.now() + ms;
    while (!(await condition())) {
        assert.ok(Date.now() < end, `${what}: not within ${ms} ms`);
        await sleep(100);
    }
}

export interface Answer {
    /** Number of the caller's home region. */
    home: number;
    outcome: Outcome;
    /** True when no connection could be made or it broke before an answer. */
    broken: boolean;
    status: number;
    reason: string;
    requestId: string;
    retryAfter: string;
    body: string;
    sentAt: number;
    endedAt: number;
}

export interface Sending {
    method?: string;
    /** Path after the service's name. */
    path: string;
    key?: string;
    /** Number of the caller's home region. */
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

/** Sends one request once. A refused connection is "not run", a broken one is "unknown". */
export async function send(entry: { callers: string }, wanted: Sending): Promise<Answer> {
    const { path, key, home = 0 } = wanted;
    const headers = { ...wanted.headers, ...(key === undefined ? {} : { [idempotencyKeyHeader]: key }) };
    const sentAt = Date.now();
    const failed = { home, broken: true, status: 0, requestId: "", retryAfter: "", body: "", sentAt };
    try {
        const res = await request(`http://${entry.callers}/desk${path}`, {
            method: (wanted.method ?? "GET") as "GET",
            headers,
            dispatcher: getAgent(home),
        });
        const body = await res.body.text();
        const read = (name: string) => String(res.headers[name] ?? "");
        return {
            home,
            outcome: read(outcomeHeader) as Outcome,
            broken: false,
            status: res.statusCode,
            reason: read(reasonHeader),
            requestId: read(requestIdHeader),
            retryAfter: read("retry-after"),
            body,
            sentAt,
            endedAt: Date.now(),
        };
    } catch (err) {
        const reason = (err as NodeJS.ErrnoException).code ?? String(err);
        const outcome = reason === "ECONNREFUSED" ? Outcome.NotRun : Outcome.Unknown;
        return { ...failed, outcome, reason, endedAt: Date.now() };
    }
}

/** Resolves when every entry has answered a request, so its slots are in use. */
export async function warmUp(fleet: TestFleet): Promise<void> {
    const answers = await Promise.all(fleet.entries.map(entry => send(entry, { path: "/items/first" })));
    answers.forEach(({ outcome, requestId }) => assert.equal(outcome, Outcome.Ran, requestId));
}

/** Counts the runs of each key over all backend servers. */
export async function countKeys(fleet: TestFleet): Promise<Map<string, number>> {
    const runs = new Map<string, number>();
    for (const { keys } of await fleet.states()) {
        for (const [key, count] of Object.entries(keys ?? {})) {
            runs.set(key, (runs.get(key) ?? 0) + count);
        }
    }
    return runs;
}

/** Sends requests at a constant rate, whatever the answers take. Resolves when every answer is in. */
export async function sendAtRate(
    choose: (number: number) => FleetEntry,
    requestsPerSecond: number,
    seconds: number,
    create: (number: number) => Sending,
): Promise<Answer[]> {
    const startedAt = Date.now();
    const answers: Promise<Answer>[] = [];
    for (let i = 0; i < requestsPerSecond * seconds; i++) {
        const due = startedAt + (i * 1000) / requestsPerSecond;
        if (due > Date.now()) {
            await sleep(due - Date.now());
        }
        answers.push(send(choose(i), create(i)));
    }
    return Promise.all(answers);
}
