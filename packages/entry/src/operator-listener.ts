/** HTTP interface for operators: status, state dump, explanations, metrics and traces. */
import { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import { App } from "@tinyhttp/app";
import type { Request, Response } from "@tinyhttp/app";
import type { RequestRecords } from "@waxwingdale/carrier";
import { getErrorMessage, isFleetKey } from "@waxwingdale/core";
import type { Logger, LookupDirectory } from "@waxwingdale/core";
import { maxTraceSeconds } from "@waxwingdale/trace";
import type { TraceRecorder } from "@waxwingdale/trace";
import type { Registry } from "prom-client";
import { sendJson } from "./caller-listener.js";

export interface OperatorListenerOptions {
    fleetKey: string;
    logger: Logger;
    records: RequestRecords;
    directory: LookupDirectory;
    services: () => string[];
    registry: Registry;
    trace: TraceRecorder;
    getNotReadyReason: () => string | undefined;
    status: () => unknown;
    /** Returns the state of all components, by name. */
    dump: () => Record<string, unknown>;
}

/** Number of requests listed in the explanation of a client address. */
const maxExplainedRequests = 20;
/** Duration of a recording if the query has none. */
const defaultTraceSeconds = 60;
/** Traces are written in chunks of this size, so that other requests are served in between. */
const traceChunkBytes = 64 * 1024;

export function createOperatorApp(options: OperatorListenerOptions): App {
    const app = new App({
        settings: { xPoweredBy: false },
        noMatchHandler: (_req, res) => void sendJson(res, 404, { message: "no such page" }),
    });
    app.use((req, res, next) => {
        if (isFleetKey(req.headers.authorization, options.fleetKey)) {
            next?.();
            return;
        }
        options.logger.warn("operator-refused", {
            remote: req.socket.remoteAddress,
            path: req.url.slice(0, 100),
        });
        sendJson(res, 401, { message: "the authorization header must be: Bearer <fleet key>" });
    });
    app.get("/health", (_req, res) => sendJson(res, 200, { healthy: true }));
    app.get("/ready", (_req, res) => {
        const reason = options.getNotReadyReason();
        sendJson(res, reason === undefined ? 200 : 503, { ready: reason === undefined, reason });
    });
    app.get("/status", (_req, res) => sendJson(res, 200, options.status()));
    app.get("/dump", (_req, res) => sendJson(res, 200, options.dump()));
    app.get("/explain", (req, res) => handleExplain(options, req, res));
    app.get("/requests", (req, res) =>
        sendJson(res, 200, options.records.latest(Number(req.query.limit ?? 100))),
    );
    app.get("/metrics", async (_req, res) => {
        const text = await options.registry.metrics();
        res.writeHead(200, { "content-type": options.registry.contentType });
        res.end(text);
    });
    app.put("/trace", (req, res) => handleTraceStart(options, req, res));
    app.get("/trace", (_req, res) => void sendTrace(options, res));
    return app;
}

function handleTraceStart({ trace, logger }: OperatorListenerOptions, req: Request, res: Response): void {
    const seconds = Number(req.query.seconds ?? defaultTraceSeconds);
    if (!Number.isInteger(seconds) || seconds < 1 || seconds > maxTraceSeconds) {
        sendJson(res, 400, { message: `seconds must be a whole number from 1 to ${maxTraceSeconds}` });
        return;
    }
    trace.start(seconds);
    logger.info("trace-started", { seconds });
    sendJson(res, 200, { seconds });
}

/** Streams the trace with backpressure. */
async function sendTrace({ trace, logger }: OperatorListenerOptions, res: Response): Promise<void> {
    res.writeHead(200, { "content-type": "application/jsonl" });
    try {
        await pipeline(Readable.from(joinLines(trace.lines())), res);
    } catch (err) {
        logger.debug("trace-cut-off", { error: getErrorMessage(err) });
    }
}

function* joinLines(lines: readonly string[]): Generator<string> {
    let chunk = "";
    for (const line of lines) {
        chunk += `${line}\n`;
        if (chunk.length >= traceChunkBytes) {
            yield chunk;
            chunk = "";
        }
    }
    yield chunk;
}

/** Explains a request by its record, or a client address by its lookup responses and latest requests. */
function handleExplain(options: OperatorListenerOptions, req: Request, res: Response): void {
    const id = req.query.request as string | undefined;
    const client = req.query.client as string | undefined;
    if (id !== undefined) {
        const record = options.records.find(id);
        sendJson(
            res,
            record === undefined ? 404 : 200,
            record ?? {
                message: `this entry has no record of request ${id}; ask the entry whose id it starts with`,
            },
        );
        return;
    }
    if (client === undefined) {
        sendJson(res, 400, { message: "the query needs a request id or a client address" });
        return;
    }
    const lookups = options.services().map(service => options.directory.lookup(service, client));
    sendJson(res, 200, {
        client,
        lookups,
        requests: options.records.findByClient(client, maxExplainedRequests),
    });
}
