/** One connection to a backend server. It carries one request at a time and checks that the answer belongs to it. */
import { connect } from "node:net";
import { splitAddress } from "@waxwingdale/core";
import type { Clock, Timer } from "@waxwingdale/core";
import { createResponseParser } from "./response-parser.js";
import type { ResponseHead } from "./response-parser.js";
import type { ResponseInfo, WireProtocol } from "./wire-protocol.js";

/** A complete answer to the request of an exchange. */
export interface UpstreamResponse {
    head: ResponseHead;
    info: ResponseInfo;
    body: Buffer;
    /** Time in milliseconds from the send to the first byte. */
    firstByteMs: number;
}

/** Why an exchange ended without an answer. */
export enum ExchangeFailure {
    /** The connection could not be opened: nothing was sent. */
    NotConnected = "not-connected",
    /** The connection broke after the request was sent, before the answer was complete. */
    ConnectionLost = "cut",
    /** The server sent something that is no answer. */
    Malformed = "malformed",
    /** The answer is larger than an instance keeps. */
    TooLarge = "too-large",
}

export interface ExchangeEvents {
    onResponse(answer: UpstreamResponse): void;
    onFailure(failure: ExchangeFailure, detail: string): void;
}

export interface UpstreamRequest {
    requestId: string | undefined;
    head: string;
    body: Buffer | undefined;
    /** False for a request whose answer has no body, whatever its headers say. */
    hasResponseBody: boolean;
}

export interface UpstreamConnection {
    /** Sends a request. The connection must be idle. Exactly one event follows unless it is destroyed. */
    exchange(req: UpstreamRequest, events: ExchangeEvents): void;
    /** Closes the connection; a request that runs on it gets no event. */
    destroy(): void;
    /** Whether another request may be sent at this time. */
    canReuse(now: number, maxIdleMs: number): boolean;
    /** Time in milliseconds since the last answer, or since it was opened. */
    idleMs(now: number): number;
}

export interface UpstreamConnectionOptions {
    address: string;
    clock: Clock;
    protocol: WireProtocol;
    connectTimeoutMs: number;
    /** Bytes of the largest answer. */
    maxResponseBytes: number;
    onConnected(connectMs: number): void;
    /** The connection is idle and may take another request. */
    onIdle(): void;
    /** The connection is of no further use. */
    onClosed(): void;
}

/** Time in milliseconds by which a connection is given up before the server closes it, so that a request does not cross the close. */
const idleMarginMs = 1500;
/** Time in milliseconds for which a server is taken to keep an idle connection when it does not say so. */
const defaultIdleMs = 5000;

/**
 * Bytes that may come beside an answer's body: its head, an answer that belongs to nobody, and the frames of small chunks. A
 * server in trouble may send bytes that are no answer without end.
 */
const maxOverheadBytes = 1024 * 1024;
const maxOverheadPerBodyByte = 8;

interface Exchange {
    req: UpstreamRequest;
    events: ExchangeEvents;
    sentAt: number;
    head?: ResponseHead;
    info?: ResponseInfo;
    firstByteAt?: number;
    chunks: Buffer[];
    /** Bytes of the body. */
    bytes: number;
    /** All bytes that came since the request was sent. */
    receivedBytes: number;
    isComplete: boolean;
}

/** Opens a connection. */
export function openUpstreamConnection(options: UpstreamConnectionOptions): UpstreamConnection {
    const { clock, protocol } = options;
    const openedAt = clock.now();
    const socket = connect({
        ...splitAddress(options.address),
        noDelay: true,
        allowHalfOpen: true,
    });
    let exchange: Exchange | undefined;
    let isConnected = false;
    let isClosed = false;
    /** An answer was skipped or the server said that it closes. */
    let isLast = false;
    let idleSince = openedAt;
    let keepIdleMs = defaultIdleMs;
    /** Whether the parser is inside an answer that belongs to no request of this connection. */
    let isSkipping = false;

    const connectTimer: Timer = clock.setTimer(options.connectTimeoutMs, () =>
        close(ExchangeFailure.NotConnected, "the connection was not opened in time"),
    );

    const close = (failure: ExchangeFailure, detail: string) => {
        if (isClosed) {
            return;
        }
        isClosed = true;
        connectTimer.cancel();
        socket.destroy();
        const current = exchange;
        exchange = undefined;
        options.onClosed();
        current?.events.onFailure(isConnected ? failure : ExchangeFailure.NotConnected, detail);
    };

    const write = (req: UpstreamRequest) => {
        if (req.body === undefined) {
            socket.write(req.head, "latin1");
            return;
        }
        socket.cork();
        socket.write(req.head, "latin1");
        socket.write(req.body);
        socket.uncork();
    };

    /** Hands the answer out. Everything that came with it has been read, so an extra answer is known by now. */
    const complete = (current: Exchange, isReusable: boolean) => {
        exchange = undefined;
        idleSince = clock.now();
        const { head, info } = current;
        const answer = {
            head: head!,
            info: info!,
            body: current.chunks.length === 1 ? current.chunks[0]! : Buffer.concat(current.chunks),
            firstByteMs: current.firstByteAt! - current.sentAt,
        };
        if (isReusable && !isLast && head!.keepsAlive) {
            options.onIdle();
        } else {
            close(ExchangeFailure.ConnectionLost, "the connection carries no further request");
        }
        current.events.onResponse(answer);
    };

    const parser = createResponseParser({
        onHead: head => {
            const info = protocol.readResponse(head.status, head.headers);
            const belongs = exchange !== undefined && !exchange.isComplete && isAnswerTo(exchange.req, info);
            isSkipping = !belongs || head.status < 200;
            if (isSkipping) {
                // The next answer on the connection may be out of step as well.
                isLast ||= head.status >= 200;
                return true;
            }
            exchange!.head = head;
            exchange!.info = info;
            exchange!.firstByteAt = clock.now();
            keepIdleMs = readIdleMs(head.headers.get("keep-alive")) ?? defaultIdleMs;
            return exchange!.req.hasResponseBody;
        },
        onBody: chunk => {
            if (isSkipping || exchange === undefined || exchange.isComplete) {
                return;
            }
            exchange.chunks.push(chunk);
            exchange.bytes += chunk.length;
        },
        onComplete: () => {
            if (!isSkipping && exchange?.head !== undefined) {
                exchange.isComplete = true;
            }
            isSkipping = false;
        },
    });

    socket.on("connect", () => {
        isConnected = true;
        connectTimer.cancel();
        options.onConnected(clock.now() - openedAt);
        if (exchange !== undefined) {
            exchange.sentAt = clock.now();
            write(exchange.req);
        }
    });
    socket.on("data", (chunk: Buffer) => {
        if (isClosed) {
            return;
        }
        if (exchange === undefined) {
            close(ExchangeFailure.Malformed, "the server sent bytes that no request asked for");
            return;
        }
        exchange.receivedBytes += chunk.length;
        const isValid = parser.read(chunk);
        if (exchange.isComplete) {
            complete(exchange, isValid);
        } else if (!isValid) {
            close(ExchangeFailure.Malformed, "the server sent bytes that are no answer");
        } else if (exchange.bytes > options.maxResponseBytes) {
            close(ExchangeFailure.TooLarge, `the answer has more than ${options.maxResponseBytes} bytes`);
        } else if (getOverhead(exchange) > maxOverheadBytes) {
            close(ExchangeFailure.Malformed, "the server sends bytes that are no answer without end");
        }
    });
    /**
     * An answer without a length ends with the connection, unless that was reset. Node reports a reset that arrives together
     * with data as an end, but a write tells them apart. An empty line before a request line is ignored (RFC 9112, section 2.2).
     */
    const completeUnlessReset = (current: Exchange) =>
        socket.write("\r\n", err => {
            if (err) {
                close(ExchangeFailure.ConnectionLost, err.message);
            } else if (!isClosed) {
                complete(current, false);
            }
        });

    socket.on("end", () => {
        const isWhole = !isClosed && parser.end();
        if (isWhole && exchange?.isComplete) {
            completeUnlessReset(exchange);
            return;
        }
        close(
            ExchangeFailure.ConnectionLost,
            isWhole ? "the server closed the connection" : "the answer was cut off",
        );
    });
    socket.on("error", err => close(ExchangeFailure.ConnectionLost, err.message));
    socket.on("close", () => close(ExchangeFailure.ConnectionLost, "the connection was closed"));

    return {
        exchange: (req, events) => {
            exchange = {
                req,
                events,
                sentAt: clock.now(),
                chunks: [],
                bytes: 0,
                receivedBytes: 0,
                isComplete: false,
            };
            if (isConnected) {
                write(req);
            }
        },
        destroy: () => {
            exchange = undefined;
            close(ExchangeFailure.ConnectionLost, "the connection was given up");
        },
        canReuse: (now, maxIdleMs) =>
            !isClosed && !isLast && now - idleSince < Math.min(maxIdleMs, keepIdleMs - idleMarginMs),
        idleMs: now => now - idleSince,
    };
}

/** Bytes beyond the body and the frames that its chunks may have. */
function getOverhead({ receivedBytes, bytes }: Exchange): number {
    return receivedBytes - bytes * (1 + maxOverheadPerBodyByte);
}

/** An answer without an id belongs to a request that has none. */
function isAnswerTo(req: UpstreamRequest, info: ResponseInfo): boolean {
    return (
        req.requestId === info.requestId ||
        (info.requestId === undefined && (info.isNotRun || info.isMisdirected))
    );
}

/** Reads the time in milliseconds that a server keeps an idle connection, from a header such as "timeout=5, max=100". */
function readIdleMs(header: string | undefined): number | undefined {
    const match = header === undefined ? undefined : (/timeout=(\d+)/i.exec(header) ?? undefined);
    return match === undefined ? undefined : Number(match[1]) * 1000;
}
