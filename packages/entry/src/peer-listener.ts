/** HTTP interface for peers: JSON-RPC calls and forwarded requests. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Carrier } from "@waxwingdale/carrier";
import { createByteCollector, getErrorMessage, isFleetKey, maxRpcBodyBytes } from "@waxwingdale/core";
import type { Logger, RpcServer } from "@waxwingdale/core";

export interface PeerListenerOptions {
    fleetKey: string;
    rpc: RpcServer;
    carrier: Carrier;
    logger: Logger;
}

const forwardPrefix = "/forward";

export function createPeerHandler(
    options: PeerListenerOptions,
): (req: IncomingMessage, res: ServerResponse) => void {
    const { fleetKey, rpc, carrier, logger } = options;

    const handleRpc = async (req: IncomingMessage, res: ServerResponse) => {
        const body = await readBody(req);
        if (body === undefined) {
            sendError(res, 413);
            return;
        }
        const text = await rpc.receive(body, String(req.headers["waxwingdale-peer"] ?? ""));
        res.writeHead(200, { "content-type": "application/json", "content-length": Buffer.byteLength(text) });
        res.end(text);
    };

    return (req, res) => {
        if (!isFleetKey(req.headers.authorization, fleetKey)) {
            logger.warn("peer-refused", { remote: req.socket.remoteAddress, path: req.url?.slice(0, 100) });
            sendError(res, 401);
            return;
        }
        const url = req.url ?? "/";
        if (url.startsWith(`${forwardPrefix}/`)) {
            void carrier.handleForwarded(req, res, url.slice(forwardPrefix.length));
            return;
        }
        if (url !== "/rpc" || req.method !== "POST") {
            sendError(res, 404);
            return;
        }
        handleRpc(req, res).catch((err: unknown) => {
            logger.warn("rpc-malformed", { remote: req.socket.remoteAddress, error: getErrorMessage(err) });
            sendError(res, 400);
        });
    };
}

function sendError(res: ServerResponse, status: number): void {
    if (res.headersSent) {
        res.destroy();
        return;
    }
    res.writeHead(status, { connection: "close", "content-length": 0 });
    res.end();
}

/** Returns undefined if the body exceeds the size limit of RPCs. */
async function readBody(req: IncomingMessage): Promise<string | undefined> {
    const body = createByteCollector();
    for await (const chunk of req) {
        body.add(chunk as Buffer);
        if (body.byteLength > maxRpcBodyBytes) {
            return undefined;
        }
    }
    return body.toBuffer().toString();
}
