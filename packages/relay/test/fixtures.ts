/** Starts an instance and scripted backend servers on loopback addresses. */
import assert from "node:assert/strict";
import { createServer as createHttpServer } from "node:http";
import type { AddressInfo } from "node:net";
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import {
    ReportSource,
    RequestKind,
    ServerPhase,
    createAdmissionControl,
    createBackendTable,
    createBalancer,
    createWindowedRetryBudget,
    createOpenQuotaGate,
    createRouteIndex,
} from "@waxwingdale/balancing";
import type { QuotaGate, Route, Workspace } from "@waxwingdale/balancing";
import { createEventLoopMonitor, createSilentLogger, createSystemClock } from "@waxwingdale/core";
import {
    WireProtocol,
    callerServerOptions,
    createCrashSuspects,
    createRelay,
    createServerExaminer,
    createStartupGate,
    createUpstreamPool,
} from "@waxwingdale/relay";
import type {
    ClearedSuspicion,
    LossExamination,
    RequestInfo,
    RequestRecord,
    ResponseInfo,
    SkippedResponse,
} from "@waxwingdale/relay";

/** Protocol with short header names. */
class TestProtocol extends WireProtocol {
    override readRequest(headers: Record<string, unknown>): RequestInfo {
        return {
            requestId: (headers["x-id"] as string | undefined) || undefined,
            deadlineMs: Number(headers["x-deadline"] ?? 1000),
            objectKey: (headers["x-object"] as string | undefined) ?? "1",
            apiKey: headers["x-key"] as string | undefined,
        };
    }

    override replacesRequestHeader(name: string, needsKeys: boolean): boolean {
        return name === "x-deadline" || (needsKeys && (name === "x-key" || name === "x-workspace"));
    }

    override formatWorkspaceHeaders(workspaceName: string): string {
        return `X-Workspace: ${workspaceName}\r\n`;
    }

    override formatAttemptHeaders(deadlineMs: number, serverId: string): string {
        return `X-Deadline: ${deadlineMs}\r\nX-Server: ${serverId}\r\n`;
    }

    override readResponse(
        status: number,
        headers: ReadonlyMap<string, string>,
        contradictory: ReadonlyMap<string, readonly string[]> = new Map(),
    ): ResponseInfo {
        return {
            requestIds: (contradictory.get("x-id") ?? [headers.get("x-id") ?? ""]).filter(id => id !== ""),
            serverId: headers.get("x-server"),
            isNotRun: headers.has("x-not-run"),
            isMisdirected: status === 421,
            isSigned: headers.has("x-signature"),
            load: undefined,
            rateLimit: undefined,
            retryAfterMs: headers.has("x-retry-ms") ? Number(headers.get("x-retry-ms")) : undefined,
            isLeaving: headers.has("x-leaving"),
        };
    }

    override formatRetryAfter(retryAfterMs: number): Record<string, string> {
        return { "Retry-After": (retryAfterMs / 1000).toFixed(3) };
    }
}

const healthPath = "/health";

function respondHealthy(_text: string, socket: Socket): void {
    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
}

/** Responds to one request, given as raw text. `count` is the number of requests before it. */
export type Script = (text: string, socket: Socket, count: number) => void;

export interface ScriptedServer {
    address: string;
    requests: string[];
    connections: Set<Socket>;
    /** Calls `onSocket` for each new connection, before the script gets its data. */
    onConnection(onSocket: (socket: Socket) => void): void;
    /** Responds to health checks in place of a response that the server is healthy. They are not among `requests`. */
    onHealthCheck(listener: (text: string, socket: Socket) => void): void;
    close(): void;
}

/** Starts a backend server that runs a script for each request. */
export async function startServer(script: Script): Promise<ScriptedServer> {
    const requests: string[] = [];
    const connections = new Set<Socket>();
    let onSocket: (socket: Socket) => void = () => undefined;
    let onHealthCheck = respondHealthy;
    const server: Server = createServer(socket => {
        connections.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => connections.delete(socket));
        onSocket(socket);
        socket.on("data", chunk => {
            const text = chunk.toString("latin1");
            if (text.startsWith(`GET ${healthPath} `)) {
                onHealthCheck(text, socket);
                return;
            }
            requests.push(text);
            script(text, socket, requests.length - 1);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        requests,
        connections,
        onConnection: listener => {
            onSocket = listener;
        },
        onHealthCheck: listener => {
            onHealthCheck = listener;
        },
        close: () => {
            connections.forEach(socket => socket.destroy());
            server.close();
        },
    };
}

/** Formats a signed response to the request in `text`. */
export function formatResponse(
    text: string,
    body: string,
    fields: { id?: string; status?: number; extra?: string } = {},
): string {
    const id = fields.id ?? getRequestId(text);
    const status = fields.status ?? 200;
    return `HTTP/1.1 ${status} X\r\nX-Id: ${id}\r\nX-Signature: s\r\n${fields.extra ?? ""}Content-Length: ${body.length}\r\n\r\n${body}`;
}

export function getRequestId(text: string): string {
    return /x-id: (\S+)/i.exec(text)?.[1] ?? "";
}

export interface TestInstance {
    port: number;
    records: RequestRecord[];
    examinations: LossExamination[];
    cleared: ClearedSuspicion[];
    skipped: SkippedResponse[];
    /** Number of requests in progress. */
    active(): number;
    /** Number of connections to backend servers, including those that are being opened. */
    connectionCount(): number;
    /** Ends the startup of an instance that was started with `isStarting`. */
    openGate(): void;
    close(): void;
}

const limits = { headerBytes: 8192, bodyBytes: 1000, headerTimeoutMs: 1000, idleTimeoutMs: 5000 };

export function createTestRoute(kind: RequestKind): Route {
    return {
        name: kind,
        host: "h",
        pathPrefix: `/${kind}/`,
        kind,
        timeoutMs: 800,
        targetLatencyMs: 200,
        priority: 1,
        maxAttempts: 2,
        hasAffinity: true,
        allowedRegions: [],
        shares: [{ service: "files", weight: 1 }],
        isPublic: false,
    };
}

/** Interval of the event loop monitor in milliseconds, as in the gateway. */
const tickIntervalMs = 100;
const soleSenders: readonly (readonly string[])[] = [["g-1"]];

export interface InstanceOptions {
    /** Whether the instance has no configuration until `openGate` is called. */
    isStarting?: boolean;
    bodyBytes?: number;
    /** @default no workspaces, so that requests need no keys */
    workspaces?: readonly Workspace[];
    quota?: QuotaGate;
    mayServeKeys?: () => boolean;
}

/** Starts an instance that forwards requests to the given servers. */
export async function startInstance(
    servers: readonly ScriptedServer[],
    {
        isStarting = false,
        bodyBytes = limits.bodyBytes,
        workspaces,
        quota = createOpenQuotaGate(),
        mayServeKeys = () => true,
    }: InstanceOptions = {},
): Promise<TestInstance> {
    const clock = createSystemClock();
    const protocol = new TestProtocol();
    const table = createBackendTable({
        clock,
        logger: createSilentLogger(),
        regionOf: () => "north",
        coldRequestsPerSecond: () => 100,
        self: "g-1",
        recentColdSenders: () => soleSenders,
        rateLimits: {
            random: () => 0,
            countInstances: () => 1,
            recentCandidates: () => soleSenders,
        },
        onServerRemoved: () => undefined,
    });
    servers.forEach(({ address }, index) =>
        table.apply(
            {
                id: `i-${index}`,
                startedAt: 1,
                service: "files",
                address,
                zone: "n-a",
                slots: 3,
                phase: ServerPhase.Ready,
                coldRemainingMs: 0,
            },
            false,
        ),
    );
    const balancer = createBalancer({
        clock,
        table,
        zone: "n-a",
        region: "north",
        regions: 1,
        maxRegionShift: 0.15,
        countInstances: () => 1,
    });
    const retryBudget = createWindowedRetryBudget({
        windowMs: 10_000,
        ratio: 0.2,
        slack: 50,
        instances: () => 1,
        startedAt: -Infinity,
    });
    const skipped: SkippedResponse[] = [];
    const eventLoop = createEventLoopMonitor(clock, tickIntervalMs);
    const tickTimer = setInterval(() => eventLoop.tick(), tickIntervalMs);
    const pool = createUpstreamPool({
        clock,
        eventLoop,
        protocol,
        roundTripMs: () => 1,
        recordConnectTime: () => undefined,
        healthPath: () => healthPath,
        onSkipped: (_server, response) => skipped.push(response),
    });
    const crashSuspects = createCrashSuspects(clock);
    const routes = [RequestKind.Idempotent, RequestKind.NonIdempotent].map(createTestRoute);
    const index = createRouteIndex({ version: 1, routes, services: [], limits, workspaces });
    const records: RequestRecord[] = [];
    const examinations: LossExamination[] = [];
    const cleared: ClearedSuspicion[] = [];
    const startupGate = createStartupGate(clock);
    if (!isStarting) {
        startupGate.open();
    }
    const relay = createRelay({
        clock,
        eventLoop,
        protocol,
        balancer,
        admission: createAdmissionControl({ clock, balancer }),
        quota,
        pool,
        crashSuspects,
        beginTrial: async identity => crashSuspects.beginTrial(identity),
        serverExaminer: createServerExaminer({ clock, pool, mayCheckHealth: () => true }),
        crashObserver: {
            onExamined: examination => examinations.push(examination),
            onCleared: suspicion => cleared.push(suspicion),
        },
        getRetryBudget: () => retryBudget,
        routes: () => (startupGate.isOpen() ? index : undefined),
        instances: () => 1,
        random: () => 0,
        startupGate,
        maxBodyBytes: () => bodyBytes,
        mayServeKeys,
        onRequest: record => records.push(record),
        onMisdirected: id => table.remove(id),
        onLeaving: id => table.markLeaving(id, ReportSource.Response),
    });
    const server = createHttpServer(callerServerOptions, (req, res) => relay.handle(req, res));
    server.on("connection", socket => relay.handleConnection(socket));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return {
        port: (server.address() as AddressInfo).port,
        records,
        examinations,
        cleared,
        skipped,
        active: () => relay.active(),
        connectionCount: () => pool.connectionCount(),
        openGate: () => startupGate.open(),
        close: () => {
            clearInterval(tickTimer);
            server.closeAllConnections();
            server.close();
            pool.destroy();
        },
    };
}

/** Sends raw text and returns what was received once there are `count` responses or the connection has closed. */
export function sendRaw(port: number, text: string, count: number): Promise<string> {
    return new Promise((resolve, reject) => {
        let received = "";
        const socket = connect(port, "127.0.0.1", () => socket.write(text));
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
            if (received.split("HTTP/1.1 ").length - 1 >= count && /\r\n\r\n[^]+$/.test(received)) {
                setTimeout(() => socket.destroy(), 20);
            }
        });
        socket.on("error", reject);
        socket.on("close", () => resolve(received));
    });
}

export function formatRequest(kind: RequestKind, id: string, name = "1"): string {
    const method = kind === RequestKind.NonIdempotent ? "POST" : "GET";
    const body = kind === RequestKind.NonIdempotent ? "Content-Length: 2\r\n\r\nhi" : "\r\n";
    return `${method} /${kind}/${name} HTTP/1.1\r\nHost: h\r\nX-Id: ${id}\r\nX-Deadline: 700\r\n${body}`;
}

export async function waitUntil(condition: () => boolean, wait: () => Promise<unknown> = () => sleep(5)) {
    for (let round = 0; round < 1000 && !condition(); round++) {
        await wait();
    }
    assert.ok(condition());
}
