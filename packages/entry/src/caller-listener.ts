/** HTTP interface for callers: lookups, outcomes of idempotency keys, and requests to services. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { App } from "@tinyhttp/app";
import type { Request, Response } from "@tinyhttp/app";
import type { Carrier } from "@waxwingdale/carrier";
import { ClaimState, ClaimsUnavailableError, Outcome, outcomeHeader } from "@waxwingdale/core";
import type { ClaimService, LookupDirectory } from "@waxwingdale/core";

export interface CallerListenerOptions {
    carrier: Carrier;
    claims: ClaimService;
    directory: LookupDirectory;
    /** Returns why this entry is not ready, or undefined if it is. */
    getNotReadyReason: () => string | undefined;
    recordLookup: () => void;
}

const outcomeByState: Record<ClaimState, Outcome> = {
    [ClaimState.Granted]: Outcome.Unknown,
    [ClaimState.Running]: Outcome.Unknown,
    [ClaimState.Unknown]: Outcome.Unknown,
    [ClaimState.KeyReused]: Outcome.Unknown,
    [ClaimState.Finished]: Outcome.Ran,
    [ClaimState.Absent]: Outcome.NotRun,
};

export interface CallerApp {
    handler(req: IncomingMessage, res: ServerResponse): void;
}

/** Path prefixes of the built-in endpoints. Lookups bypass the router, since they are the most frequent. */
const builtInPaths = ["/v1/", "/health", "/ready"];
const lookupPrefix = "/v1/lookup?";

export function createCallerApp(options: CallerListenerOptions): CallerApp {
    const router = createRouter(options);
    return {
        handler: (req, res) => {
            const url = req.url ?? "/";
            // Most requests are forwarded, so they bypass the router, which would find no endpoint for them.
            if (req.method === "GET" && url.startsWith(lookupPrefix)) {
                handleLookup(options, req, res);
            } else if (builtInPaths.some(start => url.startsWith(start))) {
                void router.handler(req as Request, res as Response);
            } else {
                void options.carrier.handleCaller(req, res);
            }
        },
    };
}

function createRouter(options: CallerListenerOptions): App {
    const app = new App({
        settings: { xPoweredBy: false },
        noMatchHandler: (req, res) => void options.carrier.handleCaller(req, res),
    });
    app.get("/v1/lookup", (req, res) => handleLookup(options, req, res));
    app.get("/v1/outcomes/:service/:key", (req, res) => handleOutcome(options, req, res));
    app.get("/health", (_req, res) => void res.end("ok\n"));
    app.get("/ready", (_req, res) => handleReady(options, res));
    return app;
}

function handleLookup(
    { directory, recordLookup }: CallerListenerOptions,
    req: IncomingMessage,
    res: ServerResponse,
): void {
    recordLookup();
    const query = parseQuery(req.url ?? "");
    const service = query.get("service") ?? undefined;
    if (service === undefined) {
        sendJson(res, 400, { message: "the query needs a service, such as /v1/lookup?service=register" });
        return;
    }
    const client = query.get("client") ?? req.socket.remoteAddress?.replace(/^::ffff:/, "");
    const found = directory.lookup(service, client);
    if (found === undefined) {
        sendJson(res, 404, { message: `no service ${service} in the manifest` });
        return;
    }
    res.setHeader("cache-control", `max-age=${found.ttlSeconds}`);
    sendJson(res, 200, found);
}

async function handleOutcome({ claims }: CallerListenerOptions, req: Request, res: Response): Promise<void> {
    try {
        const { service, key } = req.params;
        const found = await claims.find(service!, decodeURIComponent(key!));
        res.setHeader(outcomeHeader, outcomeByState[found.state]);
        sendJson(res, 200, {
            state: found.state,
            outcome: outcomeByState[found.state],
            response: found.response,
        });
    } catch (err) {
        if (!(err instanceof ClaimsUnavailableError)) {
            throw err;
        }
        res.setHeader("retry-after", "2");
        sendJson(res, 503, { state: "unavailable", message: err.message });
    }
}

function handleReady({ getNotReadyReason }: CallerListenerOptions, res: Response): void {
    const reason = getNotReadyReason();
    sendJson(res, reason === undefined ? 200 : 503, { ready: reason === undefined, reason });
}

export function sendJson(res: ServerResponse, status: number, value: unknown): void {
    const body = JSON.stringify(value);
    res.writeHead(status, { "content-type": "application/json", "content-length": Buffer.byteLength(body) });
    res.end(body);
}

function parseQuery(url: string): URLSearchParams {
    const start = url.indexOf("?");
    return new URLSearchParams(start < 0 ? "" : url.slice(start));
}
