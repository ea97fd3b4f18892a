/** Calls over kept HTTP connections whose answers are read whole, for the store and for peers. */
import { Agent, request } from "node:http";
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { WaxwingdaleError } from "./errors.js";
import type { ErrorOptions } from "./errors.js";
import { splitAddress } from "./settings-file.js";

/** Code of an `HttpCallError` whose connection did not open in time. */
export const connectTimeoutCode = "CONNECT_TIMEOUT";
/** Code of an `HttpCallError` whose answer did not come in time. */
export const responseTimeoutCode = "ANSWER_TIMEOUT";

/** A call brought no answer. `code` is one of this module's, or the system's, such as ECONNREFUSED. */
export class HttpCallError extends WaxwingdaleError {
    constructor(
        message: string,
        readonly code: string | undefined,
        options?: ErrorOptions,
    ) {
        super("HttpCallError", message, options);
    }
}

export interface HttpCall {
    method: string;
    /** IP address and port. */
    address: string;
    path: string;
    headers: Record<string, string>;
    body?: string;
    /** Longest time in milliseconds until the whole answer has come. */
    timeoutMs: number;
    signal?: AbortSignal;
}

export interface HttpResponse {
    status: number;
    text: string;
}

export interface HttpClient {
    /** @throws HttpCallError */
    call(call: HttpCall): Promise<HttpResponse>;
    /** Closes the kept connections that no call uses, so that the next call opens a new one. */
    closeIdle(): void;
    /** Closes all connections; calls that wait for an answer fail. */
    close(): void;
}

export interface HttpClientOptions {
    /** Connections to each address, opened on demand. */
    connections: number;
    connectTimeoutMs: number;
    /** Bytes of the largest answer; an answer that goes on beyond them is given up. */
    maxResponseBytes: number;
}

/** Time in milliseconds after which an unused connection is closed: before the usual five seconds of a listener. */
const idleMs = 4000;

/** Creates a caller with connections of its own. */
export function createHttpClient(options: HttpClientOptions): HttpClient {
    const agent = new Agent({
        keepAlive: true,
        maxSockets: options.connections,
        maxFreeSockets: options.connections,
        timeout: idleMs,
    });
    return {
        call: call => send(call, agent, options),
        closeIdle: () => {
            const idle = Object.values(agent.freeSockets).flatMap(sockets => sockets ?? []);
            idle.forEach(socket => socket.destroy());
        },
        close: () => agent.destroy(),
    };
}

function send(call: HttpCall, agent: Agent, options: HttpClientOptions): Promise<HttpResponse> {
    const { method, address, path, headers, body, signal } = call;
    const describe = (detail: string) => `${method} ${address}${path}: ${detail}`;
    return new Promise((resolve, reject) => {
        if (signal?.aborted) {
            reject(new HttpCallError(describe("the call was withdrawn"), undefined));
            return;
        }
        const req = request({
            ...splitAddress(address),
            agent,
            method,
            path,
            headers: body === undefined ? headers : { ...headers, "content-length": Buffer.byteLength(body) },
        });

        const fail = (detail: string, code: string | undefined, cause?: unknown) => {
            release();
            req.destroy();
            reject(new HttpCallError(describe(detail), code, { cause }));
        };
        const onAbort = () => fail("the call was withdrawn", undefined);
        const timer = setTimeout(
            () => fail(`no answer within ${Math.round(call.timeoutMs)} ms`, responseTimeoutCode),
            call.timeoutMs,
        );
        const release = () => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", onAbort);
        };

        signal?.addEventListener("abort", onAbort, { once: true });
        req.on("error", (err: NodeJS.ErrnoException) => fail("the connection failed", err.code, err));
        boundConnectTime(req, options.connectTimeoutMs, () =>
            fail("the connection did not open in time", connectTimeoutCode),
        );
        req.once("response", res =>
            readText(res, options.maxResponseBytes, {
                onText: text => {
                    release();
                    resolve({ status: res.statusCode ?? 0, text });
                },
                onFailure: detail => fail(detail, undefined),
            }),
        );
        req.end(body);
    });
}

/** Calls `onTimeout` when a new connection takes too long to open; a kept one is open. */
function boundConnectTime(req: ClientRequest, timeoutMs: number, onTimeout: () => void): void {
    req.once("socket", (socket: Socket) => {
        if (!socket.connecting) {
            return;
        }
        const timer = setTimeout(onTimeout, timeoutMs);
        const cancel = () => clearTimeout(timer);
        socket.once("connect", cancel);
        socket.once("close", cancel);
    });
}

interface TextEvents {
    onText(text: string): void;
    onFailure(detail: string): void;
}

function readText(res: IncomingMessage, maxBytes: number, events: TextEvents): void {
    const chunks: Buffer[] = [];
    let bytes = 0;
    res.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        chunks.push(chunk);
        if (bytes > maxBytes) {
            events.onFailure(`the answer has more than ${maxBytes} bytes`);
        }
    });
    res.once("end", () => events.onText(Buffer.concat(chunks).toString()));
    res.once("error", err => events.onFailure(`the answer was cut off: ${err.message}`));
}
