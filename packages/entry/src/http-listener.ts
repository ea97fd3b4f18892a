/** HTTP listeners, with limits on headers, idle time and connections. */
import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import {
    WaxwingdaleError,
    handleInOrder,
    headersTimeoutMs,
    keepAliveTimeoutMs,
    maxHeaderBytes,
    splitAddress,
} from "@waxwingdale/core";
import type { Logger, RequestHandler } from "@waxwingdale/core";

/** A listener could not be opened. */
export class ListenError extends WaxwingdaleError {
    constructor(message: string, cause: unknown) {
        super("ListenError", message, { cause });
    }
}

export interface HttpListenerOptions {
    name: string;
    address: string;
    logger: Logger;
    handler: RequestHandler;
    /** Maximum number of connections per remote address. Unlimited by default. */
    maxConnectionsPerAddress?: number;
}

export interface HttpListener {
    /** Address and port that the listener is bound to. */
    address: string;
    /**
     * Closes each connection after its next response. Idle connections stay open, since callers use them until their
     * cached lookup response expires, and a request may already be on its way.
     */
    disableKeepAlive(): void;
    /** Stops listening and closes all connections, including active ones. */
    close(): Promise<void>;
    connectionCount(): number;
}

/** Interval of the checks for connections that exceed the headers timeout. */
const connectionCheckIntervalMs = 1000;

export async function openHttpListener(options: HttpListenerOptions): Promise<HttpListener> {
    const { logger, name } = options;
    let isKeepAliveDisabled = false;
    const server = createServer({
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: headersTimeoutMs,
        // Large uploads may take long. Request bodies have their own idle timeout instead.
        requestTimeout: 0,
        keepAliveTimeout: keepAliveTimeoutMs,
        connectionsCheckingInterval: connectionCheckIntervalMs,
        insecureHTTPParser: false,
        noDelay: true,
    });
    handleInOrder(
        server,
        (req, res) => {
            if (isKeepAliveDisabled) {
                res.shouldKeepAlive = false;
            }
            options.handler(req, res);
        },
        (err, socket) => rejectMalformed(err, socket, name, logger),
    );
    limitConnections(server, options);
    await listen(server, options);
    const { address, port, family } = server.address() as AddressInfo;
    return {
        address: family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`,
        disableKeepAlive: () => {
            isKeepAliveDisabled = true;
        },
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
        connectionCount: () => (server as Server & { _connections: number })._connections,
    };
}

function listen(server: Server, options: HttpListenerOptions): Promise<void> {
    const { host, port } = splitAddress(options.address);
    return new Promise((resolve, reject) => {
        server.once("error", err =>
            reject(new ListenError(`cannot listen on ${options.address} for ${options.name}`, err)),
        );
        server.listen(port, host, () => {
            server.removeAllListeners("error");
            resolve();
        });
    });
}

function limitConnections(
    server: Server,
    { maxConnectionsPerAddress, name, logger }: HttpListenerOptions,
): void {
    if (maxConnectionsPerAddress === undefined) {
        return;
    }
    const counts = new Map<string, number>();
    server.on("connection", (socket: Socket) => {
        const remote = socket.remoteAddress ?? "";
        const count = (counts.get(remote) ?? 0) + 1;
        if (count > maxConnectionsPerAddress) {
            logger.warn("connection-limit", { listener: name, remote, limit: maxConnectionsPerAddress });
            socket.destroy();
            return;
        }
        counts.set(remote, count);
        socket.once("close", () => {
            const remaining = counts.get(remote)! - 1;
            if (remaining === 0) {
                counts.delete(remote);
            } else {
                counts.set(remote, remaining);
            }
        });
    });
}

const statusByCode: Record<string, string> = {
    HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
    ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

/** Responds to a request that the HTTP parser rejected, and that therefore did not run. */
function rejectMalformed(err: NodeJS.ErrnoException, socket: Socket, name: string, logger: Logger): void {
    const status = statusByCode[err.code ?? ""] ?? "400 Bad Request";
    logger.warn("request-malformed", {
        listener: name,
        remote: socket.remoteAddress,
        code: err.code,
        status: status.slice(0, 3),
    });
    const headers =
        "connection: close\r\ncontent-length: 0\r\nwaxwingdale-outcome: not-run\r\nwaxwingdale-reason: bad-request";
    socket.end(`HTTP/1.1 ${status}\r\n${headers}\r\n\r\n`);
}
