/** Client of the object API over HTTP keep-alive connections. */
import {
    InstanceRole,
    InstanceState,
    ObjectStore,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
    getErrorCode,
} from "@waxwingdale/core";
import type { Clock, InstanceRecord, StoredObject, WatchResult } from "@waxwingdale/core";
import { Pool } from "undici";
import * as v from "valibot";

export interface HttpObjectStoreOptions {
    /** Address and port of the object API, such as 127.0.0.1:7400. */
    address: string;
    clock: Clock;
    /**
     * Timeout of a call in milliseconds. For a watch, its wait is added.
     * @default 2000
     */
    requestTimeoutMs?: number;
    /**
     * Timeout for opening a connection, in milliseconds.
     * @default 1000
     */
    connectTimeoutMs?: number;
    /**
     * Maximum number of connections for calls other than watches. Each pending watch has its own connection.
     * @default 8
     */
    connections?: number;
}

interface HttpCall {
    method: "GET" | "PUT" | "DELETE";
    path: string;
    expectedVersion?: number;
    body?: string;
    signal?: AbortSignal;
    /** Time for which the store may delay the response, in milliseconds. */
    waitMs?: number;
}

interface HttpResponse {
    status: number;
    text: string;
}

/** Connection failures after which no part of the request was sent. */
const notSentCodes = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "EADDRNOTAVAIL",
    "ENOTFOUND",
    "UND_ERR_CONNECT_TIMEOUT",
]);

const objectSchema = v.object({ key: v.string(), version: v.number(), value: v.unknown() });
const objectsSchema = v.object({ objects: v.array(objectSchema) });
const versionSchema = v.object({ version: v.number() });
const watchSchema = v.object({
    changes: v.array(
        v.object({
            key: v.string(),
            version: v.number(),
            value: v.optional(v.unknown()),
            deleted: v.boolean(),
        }),
    ),
    version: v.number(),
    expired: v.boolean(),
});

/** Row of the platform's instance list. */
export const instanceSchema = v.object({
    id: v.string(),
    role: v.enum(InstanceRole),
    address: v.string(),
    region: v.string(),
    zone: v.string(),
    site: v.optional(v.string()),
    service: v.optional(v.string()),
    state: v.enum(InstanceState),
});
const instancesSchema = v.object({ instances: v.array(instanceSchema) });

/** Maps HTTP statuses and connection failures to store errors. */
export class HttpObjectStore extends ObjectStore {
    private readonly callPool: Pool;
    private readonly watchPool: Pool;
    private readonly requestTimeoutMs: number;

    constructor(private readonly options: HttpObjectStoreOptions) {
        super();
        const origin = `http://${options.address}`;
        const connect = { timeout: options.connectTimeoutMs ?? 1000 };
        this.requestTimeoutMs = options.requestTimeoutMs ?? 2000;
        this.callPool = new Pool(origin, { connections: options.connections ?? 8, pipelining: 1, connect });
        this.watchPool = new Pool(origin, { pipelining: 1, connect });
    }

    async get(key: string, signal?: AbortSignal): Promise<StoredObject | undefined> {
        const res = await this.read({ method: "GET", path: getObjectPath(key), signal }, [404]);
        return res.status === 404 ? undefined : this.parseRead(objectSchema, res);
    }

    async list(prefix: string, signal?: AbortSignal): Promise<StoredObject[]> {
        const path = `/v1/objects?prefix=${encodeURIComponent(prefix)}`;
        return this.parseRead(objectsSchema, await this.read({ method: "GET", path, signal })).objects;
    }

    async put(key: string, value: unknown, expectedVersion: number, signal?: AbortSignal): Promise<number> {
        const body = JSON.stringify(value);
        const path = getObjectPath(key);
        const res = await this.write({ method: "PUT", path, body, expectedVersion, signal });
        try {
            return v.parse(versionSchema, JSON.parse(res.text)).version;
        } catch (err) {
            throw new StoreOutcomeUnknownError(`cannot read the answer to the write of ${key}`, {
                cause: err,
            });
        }
    }

    async delete(key: string, expectedVersion: number, signal?: AbortSignal): Promise<void> {
        await this.write({ method: "DELETE", path: getObjectPath(key), expectedVersion, signal });
    }

    async watch(
        prefix: string,
        sinceVersion: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<WatchResult> {
        const query = `prefix=${encodeURIComponent(prefix)}&since=${sinceVersion}&waitMs=${waitMs}`;
        const res = await this.read({ method: "GET", path: `/v1/watch?${query}`, waitMs, signal });
        const { changes, version, expired } = this.parseRead(watchSchema, res);
        return { changes: changes.map(change => ({ ...change, value: change.value })), version, expired };
    }

    async listInstances(signal?: AbortSignal): Promise<InstanceRecord[]> {
        const res = await this.read({ method: "GET", path: "/v1/instances", signal });
        return this.parseRead(instancesSchema, res).instances;
    }

    /** Closes all connections. Pending calls fail. */
    async close(): Promise<void> {
        await Promise.all([this.callPool.destroy(), this.watchPool.destroy()]);
    }

    private async read(call: HttpCall, expected: readonly number[] = []): Promise<HttpResponse> {
        let res: HttpResponse;
        try {
            res = await this.send(call);
        } catch (err) {
            throw new StoreUnavailableError(`cannot read ${call.path} from the store`, { cause: err });
        }
        if (res.status === 200 || expected.includes(res.status)) {
            return res;
        }
        throw isPermanentFailure(res.status)
            ? new StoreRejectedError(`the store rejected the read of ${call.path} with status ${res.status}`)
            : new StoreUnavailableError(
                  `the store answered the read of ${call.path} with status ${res.status}`,
              );
    }

    private async write(call: HttpCall): Promise<HttpResponse> {
        if (call.signal?.aborted) {
            throw new StoreUnavailableError(`the write of ${call.path} was canceled before it was sent`);
        }
        let res: HttpResponse;
        try {
            res = await this.send(call);
        } catch (err) {
            if (notSentCodes.has(getErrorCode(err) ?? "")) {
                throw new StoreUnavailableError(`cannot connect to the store to write ${call.path}`, {
                    cause: err,
                });
            }
            throw new StoreOutcomeUnknownError(`no answer from the store to the write of ${call.path}`, {
                cause: err,
            });
        }
        if (res.status !== 200) {
            throw toWriteError(call.path, res);
        }
        return res;
    }

    private async send(call: HttpCall): Promise<HttpResponse> {
        const controller = new AbortController();
        const abort = () => controller.abort();
        const timeoutMs = this.requestTimeoutMs + (call.waitMs ?? 0);
        const timer = this.options.clock.setTimer(timeoutMs, () =>
            controller.abort(new Error(`no answer within ${timeoutMs} ms`)),
        );
        call.signal?.addEventListener("abort", abort, { once: true });
        if (call.signal?.aborted) {
            abort();
        }
        try {
            const pool = call.waitMs === undefined ? this.callPool : this.watchPool;
            const res = await pool.request({
                method: call.method,
                path: call.path,
                headers: getHeaders(call),
                body: call.body,
                signal: controller.signal,
                // The timer above covers the whole call.
                headersTimeout: 0,
                bodyTimeout: 0,
            });
            return { status: res.statusCode, text: await res.body.text() };
        } finally {
            timer.cancel();
            call.signal?.removeEventListener("abort", abort);
        }
    }

    private parseRead<Schema extends v.GenericSchema>(
        schema: Schema,
        res: HttpResponse,
    ): v.InferOutput<Schema> {
        try {
            return v.parse(schema, JSON.parse(res.text));
        } catch (err) {
            throw new StoreUnavailableError("the store's answer is not in the format of the object API", {
                cause: err,
            });
        }
    }
}

/** Creates a client of the object API. */
export function createHttpObjectStore(options: HttpObjectStoreOptions): HttpObjectStore {
    return new HttpObjectStore(options);
}

function getObjectPath(key: string): string {
    return `/v1/objects/${encodeURIComponent(key)}`;
}

function getHeaders(call: HttpCall): Record<string, string> {
    return {
        ...(call.body !== undefined && { "content-type": "application/json" }),
        ...(call.expectedVersion !== undefined && { "if-match": String(call.expectedVersion) }),
    };
}

/** Returns whether a status means that a retry of the same call will fail as well. */
function isPermanentFailure(status: number): boolean {
    return status >= 400 && status < 500 && status !== 408 && status !== 429;
}

function toWriteError(path: string, { status, text }: HttpResponse): Error {
    if (status === 409) {
        return new StoreConflictError(`${path} has another version in the store`, readVersion(text));
    }
    if (status === 429 || status === 503) {
        return new StoreUnavailableError(`the store refused the write of ${path} with status ${status}`);
    }
    if (isPermanentFailure(status)) {
        return new StoreRejectedError(`the store rejected the write of ${path} with status ${status}`);
    }
    // A gateway in front of the store may return 500, 502 or 504 after the write has taken effect.
    return new StoreOutcomeUnknownError(`the store answered the write of ${path} with status ${status}`);
}

function readVersion(text: string): number | undefined {
    try {
        return v.parse(versionSchema, JSON.parse(text)).version;
    } catch {
        return undefined;
    }
}
