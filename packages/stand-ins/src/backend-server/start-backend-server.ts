/** Stand-in backend server over HTTP. */
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import {
    backendLoadHeader,
    deadlineHeader,
    drainingHeader,
    idempotencyKeyHeader,
    notStartedHeader,
    waitForDrain,
} from "@waxwingdale/core";
import type { Clock, Random } from "@waxwingdale/core";
import { defaultBehavior, noFaults } from "./backend-behavior.js";
import type { BackendBehavior, BackendFaults } from "./backend-behavior.js";
import { createLoadHistory } from "./load-history.js";
import { createPattern, createPatternChecker } from "./pattern.js";
import { createRunRecord } from "./run-record.js";
import type { RunRecord } from "./run-record.js";

export interface BackendServerOptions {
    id: string;
    service: string;
    clock: Clock;
    random: Random;
    /** @default 127.0.0.1 */
    host?: string;
    /** @default a free port */
    port?: number;
    behavior?: Partial<BackendBehavior>;
    /** Called when a drain starts or ends. */
    onDrain?: (draining: boolean) => void;
}

export interface RunningBackendServer {
    address: string;
    record: RunRecord;
    faults: BackendFaults;
    busy(): number;
    isDraining(): boolean;
    setDraining(draining: boolean): void;
    /** Resets all connections and stops listening for `restartMs`. */
    crash(): void;
    close(): Promise<void>;
}

/** Milliseconds after the start of a drain during which new requests may still arrive. */
const drainGraceMs = 5000;
/** Request header that the response repeats, so that a caller can verify that the response is its own. */
export const nonceHeader = "x-nonce";

/** Starts the server and resolves once it is listening. */
export async function startBackendServer(options: BackendServerOptions): Promise<RunningBackendServer> {
    const { clock, random } = options;
    const behavior = { ...defaultBehavior, ...options.behavior };
    const faults = { ...noFaults };
    const record = createRunRecord();
    const loadHistory = createLoadHistory(clock);
    const sockets = new Set<Socket>();
    const usedSockets = new WeakSet<Socket>();
    let draining = false;
    let busy = 0;
    let startedAt = clock.now();
    let closed = false;

    const setBusy = (value: number) => {
        busy = value;
        loadHistory.record(busy);
        record.summary.peakBusy = Math.max(record.summary.peakBusy, busy);
        if (busy === 0) {
            record.summary.idleAt = clock.now();
        }
    };

    const createHeaders = (hidesDrain = faults.answersHideDrain): Record<string, string> => {
        const load = faults.reportedLoad ?? loadHistory.getBusySlots(faults.reportLagMs);
        const headers: Record<string, string> = { [backendLoadHeader]: String(load) };
        if (draining && !hidesDrain) {
            headers[drainingHeader] = "1";
        }
        return headers;
    };

    const rejectRequest = (req: IncomingMessage, res: ServerResponse) => {
        record.summary.refused++;
        req.resume();
        res.writeHead(503, { ...createHeaders(), [notStartedHeader]: "1" });
        res.end();
    };

    const getWorkMs = (req: IncomingMessage, query: URLSearchParams): number => {
        const mean = Number(query.get("workMs") ?? behavior.workMs);
        const age = clock.now() - startedAt;
        const cold = behavior.warmUpMs > 0 ? Math.max(0, 1 - age / behavior.warmUpMs) : 0;
        const work = behavior.randomWork ? -Math.log(1 - random()) * mean : mean;
        const connect = usedSockets.has(req.socket) ? 0 : behavior.connectionCostMs;
        usedSockets.add(req.socket);
        return work * faults.slowFactor * (1 + cold * (behavior.coldFactor - 1)) + connect;
    };

    const recordStart = () => {
        const { summary } = record;
        summary.started++;
        summary.lastStartAt = clock.now();
        if (summary.drainStartedAt !== undefined && clock.now() - summary.drainStartedAt > drainGraceMs) {
            summary.startsAfterDrain.push(clock.now() - summary.drainStartedAt);
        }
    };

    const handleRequest = async (req: IncomingMessage, res: ServerResponse, url: URL) => {
        const deadline = Number(req.headers[deadlineHeader] ?? Infinity);
        if (busy >= behavior.slots || faults.refuseAll || deadline <= 0) {
            rejectRequest(req, res);
            return;
        }
        recordStart();
        setBusy(busy + 1);
        try {
            await runRequest(req, res, url);
            record.summary.completed++;
        } finally {
            setBusy(busy - 1);
        }
    };

    const runRequest = async (req: IncomingMessage, res: ServerResponse, url: URL) => {
        const upload = createPatternChecker();
        for await (const chunk of req) {
            upload.add(chunk as Buffer);
        }
        const key = req.headers[idempotencyKeyHeader] as string | undefined;
        const runs = key === undefined ? 0 : record.recordRun(key);
        if (url.searchParams.get("crash") === "1") {
            crash();
            return;
        }
        const disconnected = new AbortController();
        res.once("close", () => disconnected.abort());
        // A request other than GET has effects, so it keeps running after the caller disconnected.
        const signal = req.method === "GET" ? disconnected.signal : undefined;
        const workMs = getWorkMs(req, url.searchParams);
        if (workMs > 0) {
            await clock.sleep(workMs, signal);
        }
        const bytes = Number(url.searchParams.get("bytes") ?? 0);
        const headers = { ...createHeaders(), [nonceHeader]: String(req.headers[nonceHeader] ?? "") };
        if (bytes > 0) {
            await sendPattern(res, bytes, headers);
            return;
        }
        const { length, correct } = upload.result();
        const body = JSON.stringify({
            server: options.id,
            path: url.pathname,
            nonce: req.headers[nonceHeader],
            key,
            runs,
            received: length,
            correct,
        });
        res.writeHead(200, {
            ...headers,
            "content-type": "application/json",
            "content-length": Buffer.byteLength(body),
        });
        res.end(body);
    };

    const sendPattern = async (res: ServerResponse, bytes: number, headers: Record<string, string>) => {
        res.writeHead(200, {
            ...headers,
            "content-type": "application/octet-stream",
            "content-length": bytes,
        });
        const truncateAt = random() < faults.cutShare ? bytes / 2 : Infinity;
        let sent = 0;
        for (const chunk of createPattern(bytes)) {
            if (sent >= truncateAt) {
                res.destroy();
                return;
            }
            sent += chunk.length;
            if (!res.write(chunk) && !res.destroyed) {
                await waitForDrain(res);
            }
            if (res.destroyed) {
                return;
            }
        }
        res.end();
    };

    const crash = () => {
        record.summary.crashes++;
        server.close();
        for (const socket of sockets) {
            socket.resetAndDestroy();
        }
        clock.setTimer(behavior.restartMs, () => {
            startedAt = clock.now();
            if (!closed) {
                server.listen(port, address);
            }
        });
    };

    const setDraining = (value: boolean) => {
        if (draining !== value) {
            draining = value;
            record.summary.drainStartedAt = value ? clock.now() : undefined;
            options.onDrain?.(value);
        }
    };

    const sendHealth = (res: ServerResponse) => {
        res.writeHead(200, createHeaders(faults.healthHidesDrain));
        res.end("ok");
    };

    const handleControl = async (req: IncomingMessage, res: ServerResponse, path: string) => {
        const body = await readJson(req);
        if (path === "/control/faults") {
            Object.assign(faults, body);
        } else if (path === "/control/drain") {
            setDraining((body as { draining?: boolean }).draining ?? true);
        } else if (path === "/control/crash") {
            crash();
        }
        const state = {
            id: options.id,
            busy,
            draining,
            faults,
            now: clock.now(),
            cpuSeconds: getCpuSeconds(),
            ...record.summary,
            keys: path === "/control/runs" ? record.keys() : undefined,
        };
        res.writeHead(200, { "content-type": "application/json" });
        res.end(JSON.stringify(state));
    };

    const server = createServer((req, res) => {
        const url = new URL(req.url ?? "/", "http://backend");
        res.on("error", () => undefined);
        if (url.pathname === "/health") {
            sendHealth(res);
        } else if (url.pathname.startsWith("/control/")) {
            void handleControl(req, res, url.pathname);
        } else {
            handleRequest(req, res, url).catch(() => res.destroy());
        }
    });
    server.keepAliveTimeout = 30_000;
    server.on("connection", socket => {
        if (sockets.size >= behavior.maxConnections) {
            socket.resetAndDestroy();
            return;
        }
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.once("close", () => sockets.delete(socket));
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port ?? 0, options.host ?? "127.0.0.1", resolve);
    });
    const { address, port } = server.address() as AddressInfo;
    return {
        address: `${address}:${port}`,
        record,
        faults,
        busy: () => busy,
        isDraining: () => draining,
        setDraining,
        crash,
        close: () =>
            new Promise(resolve => {
                closed = true;
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
}

function getCpuSeconds(): number {
    const { user, system } = process.cpuUsage();
    return (user + system) / 1e6;
}

async function readJson(req: IncomingMessage): Promise<unknown> {
    const chunks: Buffer[] = [];
    for await (const chunk of req) {
        chunks.push(chunk as Buffer);
    }
    const text = Buffer.concat(chunks).toString();
    return text === "" ? {} : JSON.parse(text);
}
