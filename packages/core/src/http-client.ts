/** HTTP client with keep-alive connections and buffered responses, for calls to the store and to peers. */
import { request } from "node:http";
import type { Agent, ClientRequest, IncomingHttpHeaders, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { createByteCollector } from "./byte-collector.js";
import { WaxwingdaleError } from "./errors.js";
import type { ErrorOptions } from "./errors.js";
import { isFinalStatus } from "./http-status.js";
import { IdleCheckingAgent } from "./idle-checking-agent.js";
import type { Logger } from "./log.js";
import { createPieceLimit } from "./piece-limit.js";
import { splitAddress } from "./settings-file.js";

/** Code of an `HttpCallError` caused by a connect timeout. */
export const connectTimeoutCode = "CONNECT_TIMEOUT";
/** Code of an `HttpCallError` caused by a response timeout. */
export const responseTimeoutCode = "ANSWER_TIMEOUT";

/** A call failed without a complete response. `code` is one of the codes above or a system code like ECONNREFUSED. */
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
    /** Time limit in milliseconds for receiving the whole response. */
    timeoutMs: number;
    signal?: AbortSignal;
    /**
     * Returns why a complete response cannot be that to this call, or undefined if it can. If it cannot, the call fails,
     * and its connection is closed.
     */
    findMismatch?: (res: HttpResponse, headers: IncomingHttpHeaders) => string | undefined;
}

export interface HttpResponse {
    status: number;
    text: string;
}

export interface HttpClient {
    /** @throws HttpCallError */
    call(call: HttpCall): Promise<HttpResponse>;
    /** Closes idle connections, so that the next call opens a new one. */
    closeIdle(): void;
    /** Closes all connections; pending calls fail. */
    close(): void;
}

export interface HttpClientOptions {
    /** Maximum number of connections per address, opened on demand. */
    connections: number;
    connectTimeoutMs: number;
    /** Maximum response size in bytes; a call whose response exceeds it fails. */
    maxResponseBytes: number;
    /** Receives a line for each connection that is closed because bytes arrived on it without a call. */
    logger?: Logger;
}

/** Idle timeout in milliseconds; shorter than the usual 5 s of servers, so that this side closes first. */
const idleMs = 4000;

const maxInterimResponses = 16;
/** A rejection may arrive before the server has read the whole request; a success may not. */
const firstErrorStatus = 400;
/** Number of small chunks in which a response may come; some servers write large documents in tiny pieces. */
const maxSmallPieces = 512 * 1024;

/** Creates a client with its own connection pool. */
export function createHttpClient(options: HttpClientOptions): HttpClient {
    const agent = new IdleCheckingAgent(
        {
            keepAlive: true,
            maxSockets: options.connections,
            maxFreeSockets: options.connections,
            timeout: idleMs,
        },
        (address, bytes) => options.logger?.warn("unsolicited-bytes", { address, bytes }),
    );
    let isClosed = false;
    return {
        call: async call => {
            if (agent.hasIdleSockets()) {
                await readSockets();
            }
            if (isClosed) {
                throw new HttpCallError("the client is closed", undefined);
            }
            return send(call, agent, options);
        },
        closeIdle: () => {
            const idle = Object.values(agent.freeSockets).flatMap(sockets => sockets ?? []);
            idle.forEach(socket => socket.destroy());
        },
        close: () => {
            isClosed = true;
            agent.destroy();
        },
    };
}

/** Waits until the event loop has read what had arrived on all sockets. It may be past its poll phase in this turn. */
async function readSockets(): Promise<void> {
    await nextTurn();
    await nextTurn();
}

function send(call: HttpCall, agent: Agent, options: HttpClientOptions): Promise<HttpResponse> {
    const { method, address, path, headers, body, signal } = call;
    const describe = (detail: string) => `${method} ${address}${path}: ${detail}`;
    return new Promise((resolve, reject) => {
        if (signal?.aborted) {
            reject(new HttpCallError(describe("the call was canceled"), undefined));
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
        const onAbort = () => fail("the call was canceled", undefined);
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
        setConnectTimeout(req, options.connectTimeoutMs, () =>
            fail("the connection did not open in time", connectTimeoutCode),
        );
        let interimResponses = 0;
        req.on("information", () => {
            interimResponses += 1;
            if (interimResponses > maxInterimResponses) {
                fail(`more than ${maxInterimResponses} interim responses`, undefined);
            }
        });
        req.once("response", res => {
            const { socket, statusCode: status = 0 } = res;
            if (!isFinalStatus(status)) {
                // The request may have released its connection already, so destroying it has no effect.
                socket.destroy();
                fail(`the answer has the invalid status ${status}`, undefined);
                return;
            }
            const isEarly = !req.writableFinished;
            if (isEarly && status < firstErrorStatus) {
                fail("an answer arrived before the request was sent completely", undefined);
                return;
            }
            readText(res, options.maxResponseBytes, {
                onText: text => {
                    const response = { status, text };
                    const mismatch = call.findMismatch?.(response, res.headers);
                    if (isEarly || mismatch !== undefined) {
                        // The request may have released its connection already, so destroying it has no effect.
                        socket.destroy();
                    }
                    if (mismatch !== undefined) {
                        fail(`the answer is not that to this call: ${mismatch}`, undefined);
                        return;
                    }
                    release();
                    resolve(response);
                },
                onFailure: detail => fail(detail, undefined),
            });
        });
        req.end(body);
    });
}

/** Calls `onTimeout` if a new connection is not established in time; a reused connection is already open. */
function setConnectTimeout(req: ClientRequest, timeoutMs: number, onTimeout: () => void): void {
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

interface BodyHandlers {
    onText(text: string): void;
    onFailure(detail: string): void;
}

function readText(res: IncomingMessage, maxBytes: number, events: BodyHandlers): void {
    const body = createByteCollector();
    const pieces = createPieceLimit(maxSmallPieces);
    res.on("data", (chunk: Buffer) => {
        body.add(chunk);
        if (body.byteLength > maxBytes) {
            events.onFailure(`the answer has more than ${maxBytes} bytes`);
        } else if (pieces.isExceededBy(chunk.length)) {
            events.onFailure("the answer has too many small chunks");
        }
    });
    res.once("end", () => events.onText(body.toBuffer().toString()));
    res.once("error", err => events.onFailure(`the answer was cut off: ${err.message}`));
}
