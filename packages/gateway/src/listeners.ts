/** The listeners of a gateway instance. */
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { WaxwingdaleError, isFleetKey, maxRpcBodyBytes, splitAddress } from "@waxwingdale/core";
import type { Logger, RpcServer } from "@waxwingdale/core";

/** A listener could not be opened. */
export class GatewayListenError extends WaxwingdaleError {
    constructor(message: string, cause: unknown) {
        super("GatewayListenError", message, { cause });
    }
}

export type Handler = (req: IncomingMessage, res: ServerResponse) => void;

export interface Listener {
    server: Server;
    /** Answers close their connections from now on. */
    disableKeepAlive(): void;
    /** Stops listening; connections that carry a request stay until its answer. */
    close(): void;
}

/** Bytes of a request's headers; the configuration bounds callers more narrowly. */
const maxHeaderSize = 65_536;
/** Connections that wait to be accepted, for a fleet of clients that comes back at once. */
const backlog = 1024;

/** Opens a listener. */
export async function openListener(address: string, handler: Handler): Promise<Listener> {
    let isClosing = false;
    const server = createServer({ maxHeaderSize, noDelay: true, requestTimeout: 0 }, (req, res) => {
        if (isClosing) {
            res.shouldKeepAlive = false;
        }
        handler(req, res);
    });
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
            isClosing = true;
        },
        close: () => void server.close(),
    };
}

/** Creates the handler of the peers' listener: calls between instances, the state of the process and its metrics. */
export function createPeerHandler(options: {
    fleetKey: string;
    rpc: RpcServer;
    logger: Logger;
    metrics: () => Promise<string>;
    state: () => unknown;
}): Handler {
    const answerCall = async (req: IncomingMessage, res: ServerResponse) => {
        const chunks: Buffer[] = [];
        let bytes = 0;
        for await (const chunk of req) {
            bytes += (chunk as Buffer).length;
            if (bytes > maxRpcBodyBytes) {
                res.writeHead(413).end();
                return;
            }
            chunks.push(chunk as Buffer);
        }
        const from = String(req.headers["waxwingdale-peer"] ?? "");
        sendText(res, "application/json", await options.rpc.receive(Buffer.concat(chunks).toString(), from));
    };

    const answer = async (req: IncomingMessage, res: ServerResponse) => {
        if (req.url === "/rpc" && isFleetKey(req.headers.authorization, options.fleetKey)) {
            await answerCall(req, res);
        } else if (req.url === "/metrics") {
            sendText(res, "text/plain; version=0.0.4", await options.metrics());
        } else if (req.url === "/state") {
            sendText(res, "application/json", JSON.stringify(options.state()));
        } else {
            req.resume();
            res.writeHead(404, { "content-length": 0 }).end();
        }
    };

    return (req, res) => {
        answer(req, res).catch((err: unknown) => {
            options.logger.warn("peer-call-failed", { path: req.url, error: String(err) });
            res.destroy();
        });
    };
}

function sendText(res: ServerResponse, type: string, text: string): void {
    res.writeHead(200, { "content-type": type, "content-length": Buffer.byteLength(text) });
    res.end(text);
}
