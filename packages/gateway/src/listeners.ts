/** HTTP listeners of a gateway instance. */
import { STATUS_CODES, createServer } from "node:http";
import { Server as NetServer } from "node:net";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
    WaxwingdaleError,
    createByteCollector,
    createPieceLimit,
    handleInOrder,
    isFleetKey,
    maxRpcBodyBytes,
    splitAddress,
} from "@waxwingdale/core";
import type { Logger, RequestHandler, RpcServer } from "@waxwingdale/core";
import { callerServerOptions } from "@waxwingdale/relay";

/** Thrown if a listener cannot be opened. */
export class GatewayListenError extends WaxwingdaleError {
    constructor(message: string, cause: unknown) {
        super("GatewayListenError", message, { cause });
    }
}

export interface Listener {
    server: Server;
    /** Makes all further responses close their connections. */
    disableKeepAlive(): void;
    /** Stops listening. Open connections stay open, also those on which a response is being sent. */
    close(): void;
}

/** Maximum size of request headers in bytes; the configuration sets a lower limit for callers. */
const maxHeaderSize = 65_536;
/** Length of the accept queue, for a fleet of clients that reconnects at the same time. */
const backlog = 1024;

const badRequestStatus = 400;
const malformedStatuses = new Map([
    ["HPE_HEADER_OVERFLOW", 431],
    ["HPE_CHUNK_EXTENSIONS_OVERFLOW", 413],
    ["ERR_HTTP_REQUEST_TIMEOUT", 408],
]);

function rejectMalformed(err: NodeJS.ErrnoException, socket: Socket): void {
    const status = malformedStatuses.get(err.code ?? "") ?? badRequestStatus;
    socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\nConnection: close\r\n\r\n`);
    socket.destroySoon();
}

export async function openListener(address: string, handler: RequestHandler): Promise<Listener> {
    let isKeepAliveDisabled = false;
    const server = createServer({ ...callerServerOptions, maxHeaderSize });
    const handle: RequestHandler = (req, res) => {
        if (isKeepAliveDisabled) {
            res.shouldKeepAlive = false;
        }
        handler(req, res);
    };
    handleInOrder(server, handle, rejectMalformed);
    server.on("connection", socket => socket.setMaxListeners(0));
    const { host, port } = splitAddress(address);
    await new Promise<void>((resolve, reject) => {
        server.once("error", err => reject(new GatewayListenError(`cannot listen on ${address}`, err)));
        server.listen({ host, port, backlog }, () => {
            server.removeAllListeners("error");
            resolve();
        });
    });
    return {
        server,
        disableKeepAlive: () => {
            isKeepAliveDisabled = true;
        },
        // `close` of an HTTP server also closes connections whose responses are still being sent.
        close: () => void NetServer.prototype.close.call(server),
    };
}

/** Followed by the fingerprint of a request that an operator no longer wants to be rejected. */
const liftPath = "/crash-suspects/lift/";

/** Creates the handler of the peer listener: calls between instances, process state and metrics. */
export function createPeerHandler(options: {
    fleetKey: string;
    rpc: RpcServer;
    logger: Logger;
    metrics: () => Promise<string>;
    state: () => unknown;
    /** Ends suspicions that a request crashes servers. Returns their number. */
    liftSuspicions: (fingerprint: string) => number;
}): RequestHandler {
    const handleRpc = async (req: IncomingMessage, res: ServerResponse) => {
        const body = createByteCollector();
        const pieces = createPieceLimit();
        for await (const chunk of req as AsyncIterable<Buffer>) {
            body.add(chunk);
            if (body.byteLength > maxRpcBodyBytes || pieces.isExceededBy(chunk.length)) {
                res.writeHead(413).end();
                return;
            }
        }
        const from = String(req.headers["waxwingdale-peer"] ?? "");
        sendText(res, "application/json", await options.rpc.receive(body.toBuffer().toString(), from));
    };

    const handle = async (req: IncomingMessage, res: ServerResponse) => {
        if (req.url === "/rpc" && isFleetKey(req.headers.authorization, options.fleetKey)) {
            await handleRpc(req, res);
        } else if (req.url === "/metrics") {
            sendText(res, "text/plain; version=0.0.4", await options.metrics());
        } else if (req.method === "POST" && req.url?.startsWith(liftPath) === true) {
            req.resume();
            const fingerprint = req.url.slice(liftPath.length);
            sendText(
                res,
                "application/json",
                JSON.stringify({ lifted: options.liftSuspicions(fingerprint) }),
            );
        } else if (req.url === "/state") {
            sendText(res, "application/json", JSON.stringify(options.state()));
        } else {
            req.resume();
            res.writeHead(404, { "content-length": 0 }).end();
        }
    };

    return (req, res) => {
        handle(req, res).catch((err: unknown) => {
            options.logger.warn("peer-call-failed", { path: req.url, error: String(err) });
            res.destroy();
        });
    };
}

function sendText(res: ServerResponse, type: string, text: string): void {
    res.writeHead(200, { "content-type": type, "content-length": Buffer.byteLength(text) });
    res.end(text);
}
