/** Keeps what is sent to a caller that pipelines requests in the order of its requests. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => void;

interface Exchange {
    req: IncomingMessage;
    res: ServerResponse;
}

/**
 * Passes requests to `handler`, and a connection on which a malformed one arrived to `reject`, which sends a response and
 * closes it, once the requests before have been answered. Without this, Node sends the status of a malformed request at once,
 * although earlier ones have no response yet, and an interim response behind the head of the response.
 */
export function handleInOrder(
    server: Server,
    handler: RequestHandler,
    reject: (err: NodeJS.ErrnoException, socket: Socket) => void,
): void {
    const exchangesOf = new WeakMap<Socket, Exchange[]>();
    const malformed = new WeakSet<Socket>();

    /** Returns the exchange before that has not ended yet. */
    const addExchange = (exchange: Exchange): Exchange | undefined => {
        const { socket } = exchange.req;
        const exchanges = exchangesOf.get(socket) ?? [];
        exchangesOf.set(socket, exchanges);
        const before = exchanges.at(-1);
        exchanges.push(exchange);
        exchange.res.once("close", () => exchanges.splice(exchanges.indexOf(exchange), 1));
        return before;
    };

    server.on("request", (req: IncomingMessage, res: ServerResponse) => {
        addExchange({ req, res });
        handler(req, res);
    });

    server.on("checkContinue", (req: IncomingMessage, res: ServerResponse) => {
        const before = addExchange({ req, res });
        const writeContinue = () => {
            if (res.socket?.writable && !res.headersSent) {
                res.writeContinue();
            }
        };
        if (before === undefined) {
            writeContinue();
        } else {
            before.res.once("close", writeContinue);
        }
        handler(req, res);
    });

    server.on("clientError", (err: NodeJS.ErrnoException, socket: Socket) => {
        if (err.code === "ECONNRESET" || !socket.writable) {
            socket.destroy();
            return;
        }
        if (malformed.has(socket)) {
            return;
        }
        malformed.add(socket);
        const exchanges = exchangesOf.get(socket) ?? [];
        const lastComplete = exchanges.filter(({ req }) => req.complete).at(-1);
        if (lastComplete !== undefined) {
            lastComplete.res.once("close", () => socket.writable && reject(err, socket));
        } else if (exchanges.at(0)?.res.headersSent) {
            // The response to the request whose body is malformed has begun.
            socket.destroy();
        } else {
            reject(err, socket);
        }
    });
}
