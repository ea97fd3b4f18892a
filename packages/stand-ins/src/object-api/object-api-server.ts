/** Stand-in of the platform's object API: an HTTP server over an object store in memory. */
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import {
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
    getErrorMessage,
    keepAliveTimeoutMs,
    maxObjectBytes,
} from "@waxwingdale/core";
import type { Clock } from "@waxwingdale/core";
import { instanceSchema } from "@waxwingdale/store";
import * as v from "valibot";
import { createCallBudget } from "./call-budget.js";
import type { CallCounters } from "./call-budget.js";
import { LaggingObjectStore } from "./lagging-object-store.js";
import { faultsSchema } from "./object-api-faults.js";
import type { ObjectApiFaults } from "./object-api-faults.js";

export interface ObjectApiOptions {
    clock: Clock;
    /** @default "127.0.0.1" */
    host?: string;
    /**
     * Port; 0 picks a free one.
     * @default 0
     */
    port?: number;
    /**
     * Writes that the store accepts each second.
     * @default 400
     */
    writesPerSecond?: number;
    /**
     * Reads that the store accepts each second. A waiting watch counts as one read each second.
     * @default 2000
     */
    readsPerSecond?: number;
}

export interface ObjectApi {
    /** Address and port. */
    readonly address: string;
    /** The state, for tests in the same process. */
    readonly store: LaggingObjectStore;
    setFaults(faults: Partial<ObjectApiFaults>): void;
    counters(): ObjectApiCounters;
    close(): Promise<void>;
}

export interface ObjectApiCounters {
    reads: CallCounters;
    writes: CallCounters;
    /** Connections reset by faults. */
    resets: number;
}

interface Call {
    method: string;
    path: string;
    query: URLSearchParams;
    req: IncomingMessage;
    /** JSON value of a PUT. */
    body: unknown;
    signal: AbortSignal;
}

interface Answer {
    status: number;
    body?: unknown;
}

/** Ends a call by a reset of its connection. */
class ConnectionReset extends Error {}

const objectsPath = "/v1/objects";
const instancesPath = "/v1/instances";
const longestWatchMs = 60_000;

/** Starts the stand-in and resolves when it listens. */
export async function startObjectApi(options: ObjectApiOptions): Promise<ObjectApi> {
    const { clock } = options;
    const store = new LaggingObjectStore(clock);
    const writes = createCallBudget(clock, options.writesPerSecond ?? 400);
    const reads = createCallBudget(clock, options.readsPerSecond ?? 2000);
    let faults = v.parse(faultsSchema, {});
    let resets = 0;
    /** Resets the connection of each call to the store that runs. */
    const running = new Set<() => void>();

    const setFaults = (next: Partial<ObjectApiFaults>) => {
        faults = v.parse(faultsSchema, next);
        store.faults.loseWriteAnswers = faults.loseWriteAnswers;
        store.setStaleReads(faults.staleReadsMs);
        store.setInstanceListLag(faults.instanceListLagMs);
        if (faults.down) {
            [...running].forEach(reset => reset());
        }
    };

    const counters = () => ({ reads: reads.counters(), writes: writes.counters(), resets });

    const runControl = async ({ method, path, body }: Call): Promise<Answer> => {
        if (path === "/control/faults" && method === "PUT") {
            setFaults(v.parse(faultsSchema, body));
            return { status: 200, body: faults };
        }
        if (path === "/control/faults" && method === "GET") {
            return {
                status: 200,
                body: { ...faults, loseWriteAnswers: store.faults.loseWriteAnswers },
            };
        }
        if (path === "/control/counters" && method === "GET") {
            return { status: 200, body: counters() };
        }
        return { status: 404 };
    };

    const runObject = async ({ method, body, req, signal }: Call, key: string): Promise<Answer> => {
        if (method === "GET") {
            const object = await store.get(key, signal);
            return object === undefined ? { status: 404 } : { status: 200, body: object };
        }
        const expectedVersion = v.parse(versionHeader, req.headers["if-match"]);
        if (method === "DELETE") {
            await store.delete(key, expectedVersion);
            return { status: 200, body: {} };
        }
        return { status: 200, body: { version: await store.put(key, body, expectedVersion) } };
    };

    const runWatch = async ({ query, signal }: Call): Promise<Answer> => {
        const { since, waitMs } = v.parse(watchQuery, Object.fromEntries(query));
        const release = reads.holdWatch();
        try {
            const body = await store.watch(query.get("prefix") ?? "", since, waitMs, signal);
            return { status: 200, body };
        } finally {
            release();
        }
    };

    const runStoreCall = async (call: Call): Promise<Answer> => {
        const { method, path, query, signal } = call;
        if (faults.slow > 0) {
            // A write goes on when its caller has given up, so it can take effect later.
            await clock.sleep(faults.slow, method === "GET" ? signal : undefined);
        }
        if (faults.down) {
            throw new ConnectionReset();
        }
        const budget = method === "GET" ? reads : writes;
        if (!budget.take()) {
            return { status: 429 };
        }
        if (path === objectsPath && method === "GET") {
            return { status: 200, body: { objects: await store.list(query.get("prefix") ?? "", signal) } };
        }
        if (path === instancesPath && method === "GET") {
            return { status: 200, body: { instances: await store.listInstances(signal) } };
        }
        if (path.startsWith(`${objectsPath}/`) && ["GET", "PUT", "DELETE"].includes(method)) {
            return runObject(call, decodeURIComponent(path.slice(objectsPath.length + 1)));
        }
        return path === "/v1/watch" && method === "GET" ? runWatch(call) : { status: 404 };
    };

    /** Runs a change of the list of instances. The platform makes it itself, so faults and budgets don't apply. */
    const runInstance = async ({ method, body }: Call, id: string): Promise<Answer> => {
        if (method === "GET") {
            const row = store.findInstance(id);
            return row === undefined ? { status: 404 } : { status: 200, body: row };
        }
        if (method !== "PUT" && method !== "DELETE") {
            return { status: 404 };
        }
        const row = method === "PUT" ? { ...v.parse(instanceSchema, body), id } : undefined;
        store.setInstance(id, row);
        return { status: 200, body: {} };
    };

    const dispatch = (call: Call): Promise<Answer> => {
        if (call.path.startsWith("/control/")) {
            return runControl(call);
        }
        if (call.path.startsWith(`${instancesPath}/`)) {
            return runInstance(call, decodeURIComponent(call.path.slice(instancesPath.length + 1)));
        }
        return runStoreCall(call);
    };

    const serve = async (req: IncomingMessage, res: ServerResponse) => {
        const controller = new AbortController();
        const reset = () => {
            resets++;
            req.socket.resetAndDestroy();
        };
        const [path = "/", search = ""] = (req.url ?? "/").split("?", 2);
        if (!path.startsWith("/control/")) {
            running.add(reset);
        }
        res.on("close", () => {
            running.delete(reset);
            controller.abort();
        });
        const query = new URLSearchParams(search);
        const method = req.method ?? "GET";
        try {
            const body = method === "PUT" ? await readJson(req) : undefined;
            send(res, await dispatch({ method, path, query, req, body, signal: controller.signal }));
        } catch (err) {
            const answer = toAnswer(err);
            if (answer !== undefined) {
                send(res, answer);
            } else if (!res.destroyed) {
                reset();
            }
        }
    };

    const server = createServer({ keepAliveTimeout: keepAliveTimeoutMs }, (req, res) => void serve(req, res));
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port ?? 0, options.host ?? "127.0.0.1", resolve);
    });
    const { address, port } = server.address() as AddressInfo;
    return {
        address: `${address}:${port}`,
        store,
        setFaults,
        counters,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}

const integerText = v.pipe(v.string(), v.regex(/^\d{1,15}$/), v.transform(Number));
const versionHeader = integerText;
const watchQuery = v.object({
    prefix: v.optional(v.string(), ""),
    since: integerText,
    waitMs: v.pipe(
        integerText,
        v.transform(waitMs => Math.min(waitMs, longestWatchMs)),
    ),
});

async function readJson(req: IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = [];
    let size = 0;
    for await (const chunk of req as AsyncIterable<Buffer>) {
        size += chunk.length;
        if (size <= maxObjectBytes) {
            chunks.push(chunk);
        }
    }
    // The rest of a body that is too large is read, since a connection closed early loses the answer.
    if (size > maxObjectBytes) {
        throw new StoreRejectedError(`the body is larger than ${maxObjectBytes} bytes`);
    }
    return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}

function send(res: ServerResponse, { status, body }: Answer): void {
    if (res.destroyed) {
        return;
    }
    const text = JSON.stringify(body ?? {});
    res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    res.end(text);
}

/** Returns the answer to a failed call, or undefined when the connection is to be reset. */
function toAnswer(err: unknown): Answer | undefined {
    if (err instanceof ConnectionReset || err instanceof StoreOutcomeUnknownError) {
        return undefined;
    }
    if (err instanceof StoreConflictError) {
        return { status: 409, body: { version: err.currentVersion } };
    }
    if (err instanceof StoreRejectedError) {
        return { status: 413, body: { error: err.message } };
    }
    if (err instanceof StoreUnavailableError) {
        return { status: 503, body: { error: err.message } };
    }
    return { status: 400, body: { error: getErrorMessage(err) } };
}
