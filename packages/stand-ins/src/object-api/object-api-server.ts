/** Stand-in for the platform's object API: an HTTP server backed by an in-memory object store. */
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
import { createCallRateLimiter } from "./call-rate-limiter.js";
import type { CallCounters } from "./call-rate-limiter.js";
import { LaggingObjectStore } from "./lagging-object-store.js";
import { faultsSchema } from "./object-api-faults.js";
import type { ObjectApiFaults } from "./object-api-faults.js";

export interface ObjectApiOptions {
    clock: Clock;
    /** @default "127.0.0.1" */
    host?: string;
    /**
     * Port to listen on; 0 selects a free port.
     * @default 0
     */
    port?: number;
    /**
     * Maximum number of writes per second.
     * @default 400
     */
    writesPerSecond?: number;
    /**
     * Maximum number of reads per second. A waiting watch counts as one read in each second.
     * @default 2000
     */
    readsPerSecond?: number;
}

export interface ObjectApi {
    /** Host and port that the server listens on. */
    readonly address: string;
    /** The underlying store, for tests in the same process. */
    readonly store: LaggingObjectStore;
    setFaults(faults: Partial<ObjectApiFaults>): void;
    counters(): ObjectApiCounters;
    close(): Promise<void>;
}

export interface ObjectApiCounters {
    reads: CallCounters;
    writes: CallCounters;
    /** Number of connections reset by injected faults. */
    resets: number;
}

interface ApiCall {
    method: string;
    path: string;
    query: URLSearchParams;
    req: IncomingMessage;
    /** Parsed JSON body of a PUT request. */
    body: unknown;
    signal: AbortSignal;
}

interface ApiResponse {
    status: number;
    body?: unknown;
}

/** Thrown to reset the connection of a call instead of sending a response. */
class ConnectionReset extends Error {}

const objectsPath = "/v1/objects";
const instancesPath = "/v1/instances";
const maxWatchMs = 60_000;

/** Starts the server and resolves once it is listening. */
export async function startObjectApi(options: ObjectApiOptions): Promise<ObjectApi> {
    const { clock } = options;
    const store = new LaggingObjectStore(clock);
    const writeLimiter = createCallRateLimiter(clock, options.writesPerSecond ?? 400);
    const readLimiter = createCallRateLimiter(clock, options.readsPerSecond ?? 2000);
    let faults = v.parse(faultsSchema, {});
    let resets = 0;
    /** Functions that reset the connection of each active call to the store. */
    const activeCallResets = new Set<() => void>();

    const setFaults = (next: Partial<ObjectApiFaults>) => {
        faults = v.parse(faultsSchema, next);
        store.faults.loseWriteAnswers = faults.loseWriteAnswers;
        store.setStaleReads(faults.staleReadsMs);
        store.setInstanceListLag(faults.instanceListLagMs);
        if (faults.down) {
            [...activeCallResets].forEach(reset => reset());
        }
    };

    const counters = () => ({ reads: readLimiter.counters(), writes: writeLimiter.counters(), resets });

    const handleControl = async ({ method, path, body }: ApiCall): Promise<ApiResponse> => {
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

    const handleObject = async (
        { method, body, req, signal }: ApiCall,
        key: string,
    ): Promise<ApiResponse> => {
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

    const handleWatch = async ({ query, signal }: ApiCall): Promise<ApiResponse> => {
        const { since, waitMs } = v.parse(watchQuery, Object.fromEntries(query));
        const release = readLimiter.trackWatch();
        try {
            const body = await store.watch(query.get("prefix") ?? "", since, waitMs, signal);
            return { status: 200, body };
        } finally {
            release();
        }
    };

    const handleStoreCall = async (call: ApiCall): Promise<ApiResponse> => {
        const { method, path, query, signal } = call;
        if (faults.slow > 0) {
            // A write continues after its caller timed out, so it can still take effect.
            await clock.sleep(faults.slow, method === "GET" ? signal : undefined);
        }
        if (faults.down) {
            throw new ConnectionReset();
        }
        const limiter = method === "GET" ? readLimiter : writeLimiter;
        if (!limiter.tryAcquire()) {
            return { status: 429 };
        }
        if (path === objectsPath && method === "GET") {
            return { status: 200, body: { objects: await store.list(query.get("prefix") ?? "", signal) } };
        }
        if (path === instancesPath && method === "GET") {
            return { status: 200, body: { instances: await store.listInstances(signal) } };
        }
        if (path.startsWith(`${objectsPath}/`) && ["GET", "PUT", "DELETE"].includes(method)) {
            return handleObject(call, decodeURIComponent(path.slice(objectsPath.length + 1)));
        }
        return path === "/v1/watch" && method === "GET" ? handleWatch(call) : { status: 404 };
    };

    /** Serves the platform's own access to the instance list, so faults and rate limits don't apply. */
    const handleInstance = async ({ method, body }: ApiCall, id: string): Promise<ApiResponse> => {
        if (method === "GET") {
            const instance = store.findInstance(id);
            return instance === undefined ? { status: 404 } : { status: 200, body: instance };
        }
        if (method !== "PUT" && method !== "DELETE") {
            return { status: 404 };
        }
        const instance = method === "PUT" ? { ...v.parse(instanceSchema, body), id } : undefined;
        store.setInstance(id, instance);
        return { status: 200, body: {} };
    };

    const dispatch = (call: ApiCall): Promise<ApiResponse> => {
        if (call.path.startsWith("/control/")) {
            return handleControl(call);
        }
        if (call.path.startsWith(`${instancesPath}/`)) {
            return handleInstance(call, decodeURIComponent(call.path.slice(instancesPath.length + 1)));
        }
        return handleStoreCall(call);
    };

    const handleRequest = async (req: IncomingMessage, res: ServerResponse) => {
        const controller = new AbortController();
        const resetConnection = () => {
            resets++;
            req.socket.resetAndDestroy();
        };
        const [path = "/", search = ""] = (req.url ?? "/").split("?", 2);
        if (!path.startsWith("/control/")) {
            activeCallResets.add(resetConnection);
        }
        res.on("close", () => {
            activeCallResets.delete(resetConnection);
            controller.abort();
        });
        const query = new URLSearchParams(search);
        const method = req.method ?? "GET";
        try {
            const body = method === "PUT" ? await readJson(req) : undefined;
            sendResponse(res, await dispatch({ method, path, query, req, body, signal: controller.signal }));
        } catch (err) {
            const response = toErrorResponse(err);
            if (response !== undefined) {
                sendResponse(res, response);
            } else if (!res.destroyed) {
                resetConnection();
            }
        }
    };

    const server = createServer(
        { keepAliveTimeout: keepAliveTimeoutMs },
        (req, res) => void handleRequest(req, res),
    );
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

const integerString = v.pipe(v.string(), v.regex(/^\d{1,15}$/), v.transform(Number));
const versionHeader = integerString;
const watchQuery = v.object({
    prefix: v.optional(v.string(), ""),
    since: integerString,
    waitMs: v.pipe(
        integerString,
        v.transform(waitMs => Math.min(waitMs, maxWatchMs)),
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
    // The rest of an oversized body is read first, since closing the connection early would lose the response.
    if (size > maxObjectBytes) {
        throw new StoreRejectedError(`the body is larger than ${maxObjectBytes} bytes`);
    }
    return JSON.parse(Buffer.concat(chunks).toString("utf8"));
}

function sendResponse(res: ServerResponse, { status, body }: ApiResponse): void {
    if (res.destroyed) {
        return;
    }
    const text = JSON.stringify(body ?? {});
    res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
    res.end(text);
}

/** Returns the response to a failed call, or `undefined` if the connection has to be reset. */
function toErrorResponse(err: unknown): ApiResponse | undefined {
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
