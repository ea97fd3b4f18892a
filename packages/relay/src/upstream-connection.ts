/** A connection to a backend server. It sends one request at a time and checks that the response belongs to it. */
import { connect } from "node:net";
import {
    createByteCollector,
    createEndHold,
    createStatusLineFinder,
    maxEndHoldMs,
    splitAddress,
} from "@waxwingdale/core";
import type {
    ByteCollector,
    Clock,
    EndHold,
    EventLoopMonitor,
    StatusLineFinder,
    Timer,
} from "@waxwingdale/core";
import type { BodyHold, BodyMemory } from "./body-memory.js";
import { BodyFraming } from "./body-reader.js";
import type { ResponseHead } from "./head-reader.js";
import { InvalidResponseError } from "./invalid-response-error.js";
import { ResponseMismatch, createResponseMatcher, isResponseLost } from "./response-matcher.js";
import type { SkippedResponse } from "./response-matcher.js";
import { findEndDoubt, followingBytes, isOther } from "./response-end.js";
import type { EndDoubt } from "./response-end.js";
import { createResponseParser } from "./response-parser.js";
import type { ResponseInfo, WireProtocol } from "./wire-protocol.js";

/** A complete response. */
export interface UpstreamResponse {
    head: ResponseHead;
    info: ResponseInfo;
    body: Buffer;
    /** Memory of the body; whoever gets the response releases it. */
    memory: BodyHold;
    /** Why the body may not be the whole one that the server meant to send, if it may not. */
    endDoubt: EndDoubt | undefined;
    /** Time from sending the request to the first byte of the response. */
    firstByteMs: number;
}

/** Why an exchange ended without a response. */
export enum ExchangeFailure {
    /** The connection could not be opened, so nothing was sent. */
    NotConnected = "not-connected",
    /** The connection was lost before the request was written. */
    NotWritten = "not-written",
    /** The connection was lost before the response was complete. */
    ConnectionLost = "cut",
    /** The server sent an invalid response. */
    Malformed = "malformed",
    /** The response exceeds the size limit. */
    TooLarge = "too-large",
}

export interface ExchangeEvents {
    /** Called when the request is written to the connection. */
    onWritten(): void;
    onResponse(response: UpstreamResponse): void;
    /** Called when the server has named a request that was not sent on the connection; the exchange goes on. */
    onMisnamed(): void;
    /** `hasReceived` tells whether any bytes have arrived since the request was written. */
    onFailure(failure: ExchangeFailure, detail: string, hasReceived: boolean): void;
}

export interface UpstreamRequest {
    requestId: string | undefined;
    /** Whether its caller may have disconnected without this having been noticed yet. */
    isLate: boolean;
    /** Clock time from which the request is not written any more. The owner of the exchange ends it then. */
    deadlineAt: number;
    /**
     * Called just before the request is written. Returns false after it has ended the exchange itself, as the key of the
     * request may have been withdrawn.
     */
    beforeWrite(): boolean;
    /** Formats the request line and headers with the remaining time in milliseconds. */
    formatHead(remainingMs: number): string;
    body: Buffer | undefined;
    /** False if the response has no body whatever its headers say, as with HEAD. */
    hasResponseBody: boolean;
}

export interface UpstreamConnection {
    /** Sends a request on an idle connection. Emits exactly one event unless the connection is destroyed first. */
    exchange(req: UpstreamRequest, events: ExchangeEvents): void;
    /** Closes the connection without an event for the pending request, of which no more bytes are delivered. */
    destroy(): void;
    /** Whether another request can be sent on the connection. */
    canReuse(now: number, maxIdleMs: number): boolean;
    /** Whether a request with this id was sent on the connection lately. */
    hasSent(requestId: string): boolean;
    /** Milliseconds since the last response, or since the connection was opened. */
    idleMs(now: number): number;
}

export interface UpstreamConnectionOptions {
    address: string;
    clock: Clock;
    eventLoop: EventLoopMonitor;
    protocol: WireProtocol;
    connectTimeoutMs: number;
    maxResponseBytes: number;
    responseMemory: BodyMemory;
    onConnected(connectMs: number): void;
    /** Called when the connection is ready for another request. */
    onIdle(): void;
    /** Called when a complete response has arrived. */
    onResponded(): void;
    /** Called for a response that is not that to the request in flight, and for bytes on an idle connection. */
    onSkipped(skipped: SkippedResponse): void;
    /** Called once when the connection is closed. `byServer` tells whether the server, or the network, has closed it. */
    onClosed(byServer: boolean): void;
}

/** Detail of a failure to connect for want of any answer; other details say that the connection was refused. */
export const connectTimeoutDetail = "connect timeout";
/** How long before the server's keep-alive timeout a connection is retired, so that no request races with the close. */
const keepAliveMarginMs = 1500;
/** Assumed keep-alive timeout of a server that does not announce one. */
const defaultKeepAliveMs = 5000;

/**
 * Limit for bytes outside the response body: the head, unmatched responses, and framing beyond the size of the body. It
 * stops a faulty server that never stops sending invalid data.
 */
const maxOverheadBytes = 1024 * 1024;

/** Maximum number of heads that a server sends for one request: interim responses, and copies of earlier ones. */
const maxHeads = 16;

interface Exchange {
    req: UpstreamRequest;
    events: ExchangeEvents;
    sentAt: number;
    isWritten: boolean;
    head?: ResponseHead;
    info?: ResponseInfo;
    firstByteAt?: number;
    body: ByteCollector;
    memory: BodyHold;
    /** Bytes received on the connection since the request was sent, framing included. */
    receivedBytes: number;
    /** Number of heads received since then. */
    heads: number;
    framing: BodyFraming;
    isComplete: boolean;
    /** The first bytes behind the response. */
    following: Buffer;
    endHold: EndHold;
    /** Whether the bytes are no valid response any more, so that the connection can't be used again. */
    isDamaged: boolean;
}

const noEvents: ExchangeEvents = {
    onWritten: () => undefined,
    onResponse: () => undefined,
    onMisnamed: () => undefined,
    onFailure: () => undefined,
};

export function openUpstreamConnection(options: UpstreamConnectionOptions): UpstreamConnection {
    const { clock, protocol } = options;
    const openedAt = clock.now();
    const socket = connect({
        ...splitAddress(options.address),
        noDelay: true,
        allowHalfOpen: true,
    });
    const matcher = createResponseMatcher();
    let exchange: Exchange | undefined;
    let isConnected = false;
    let isClosed = false;
    /** Whether the connection must not be reused, since a response on it was skipped. */
    let mustClose = false;
    let idleSince = openedAt;
    let keepAliveMs = defaultKeepAliveMs;
    /** Whether the parser is inside a response that is discarded. */
    let isDiscarding = false;
    /** Offset in the last chunk of the first byte behind the response to the request in flight, if it is complete. */
    let endsAt = 0;
    /** Looks for a response in the body of a discarded one. */
    let discardedBody: StatusLineFinder = createStatusLineFinder();

    const connectTimer: Timer = clock.setTimer(options.connectTimeoutMs, () =>
        close(ExchangeFailure.NotConnected, connectTimeoutDetail),
    );

    /** A reset discards the bytes of a request that the kernel still holds, instead of delivering them later. */
    const closeSocket = (isRequestPending: boolean) => {
        if (isRequestPending) {
            socket.resetAndDestroy();
        } else {
            socket.destroy();
        }
    };

    const close = (failure: ExchangeFailure, detail: string, byServer = false) => {
        if (isClosed) {
            return;
        }
        isClosed = true;
        connectTimer.cancel();
        const current = exchange;
        closeSocket(current?.isWritten === true && !current.isComplete);
        current?.memory.release();
        exchange = undefined;
        options.onClosed(byServer);
        const unwritten = isConnected ? ExchangeFailure.NotWritten : ExchangeFailure.NotConnected;
        current?.events.onFailure(current.isWritten ? failure : unwritten, detail, current.receivedBytes > 0);
    };

    const writeNow = (current: Exchange) => {
        const { req, events } = current;
        current.sentAt = clock.now();
        current.isWritten = true;
        matcher.addRequest(req.requestId);
        events.onWritten();
        const head = req.formatHead(Math.max(1, Math.floor(req.deadlineAt - current.sentAt)));
        if (req.body === undefined) {
            socket.write(head, "latin1");
            return;
        }
        socket.cork();
        socket.write(head, "latin1");
        socket.write(req.body);
        socket.uncork();
    };

    /**
     * Writes the request. In a late process the caller may have disconnected before, so pending events are handled
     * first, and the request is not written if they have ended the exchange.
     */
    const write = (current: Exchange) =>
        options.eventLoop.afterPending(() => {
            if (exchange === current && clock.now() < current.req.deadlineAt && current.req.beforeWrite()) {
                writeNow(current);
            }
        }, current.req.isLate);

    const namesRequest = ({ status, headers, contradictory }: ResponseHead) =>
        protocol.readResponse(status, headers, contradictory).requestIds.length > 0;

    /** Delivers the response. The whole chunk has been parsed by now, so extra data after the response is detected. */
    const complete = (current: Exchange) => {
        exchange = undefined;
        idleSince = clock.now();
        const { head, info, memory, framing, following } = current;
        memory.complete();
        const body = current.body.toBuffer();
        const response = {
            head: head!,
            info: info!,
            body,
            memory,
            endDoubt: findEndDoubt({ framing, body, following }, namesRequest),
            firstByteMs: current.firstByteAt! - current.sentAt,
        };
        options.onResponded();
        if (parser.isInside() && !isDiscarding) {
            // The beginning of a head; the rest of it, or another response, may still come.
            mustClose = true;
            reportSkipped(ResponseMismatch.Surplus);
        }
        const isReusable = !current.isDamaged && current.framing !== BodyFraming.UntilClose;
        if (isReusable && !mustClose && head!.keepsAlive && matcher.isIdentified(info!)) {
            options.onIdle();
        } else {
            close(ExchangeFailure.ConnectionLost, "connection not reusable");
        }
        current.events.onResponse(response);
    };

    /** Completes the response when other bytes would have come, with which the server goes on after it has broken off. */
    const completeAfterHold = (current: Exchange) => {
        const completeUnlessDone = () => {
            if (exchange === current) {
                complete(current);
            }
        };
        const readPending = () => options.eventLoop.afterPending(completeUnlessDone, true);
        const holdMs = current.endHold.holdMs();
        const timeLeftMs = current.req.deadlineAt - clock.now();
        if (holdMs === 0 || timeLeftMs < 2 * maxEndHoldMs) {
            readPending();
        } else {
            clock.setTimer(holdMs, readPending);
        }
    };

    /**
     * Handles the end of a response, and bytes behind it. Only the end of a body with a length is not marked by the server, so
     * only that is held.
     */
    const onEnded = (current: Exchange, wasComplete: boolean) => {
        const isHeld = current.framing === BodyFraming.Sized && current.body.byteLength > 0;
        if (!isHeld || isOther(current.following)) {
            complete(current);
        } else if (!wasComplete) {
            completeAfterHold(current);
        }
    };

    const countHead = () => {
        if (exchange !== undefined) {
            exchange.heads += 1;
            if (exchange.heads > maxHeads) {
                throw new InvalidResponseError(`more than ${maxHeads} heads for one request`);
            }
        }
    };

    const reportSkipped = (mismatch: ResponseMismatch, head?: ResponseHead, info?: ResponseInfo) =>
        options.onSkipped({
            mismatch,
            requestId: matcher.requestId(),
            responseIds: info?.requestIds ?? [],
            status: head?.status,
            isReused: matcher.isReused(),
        });

    /** @throws InvalidResponseError if the response to the request in flight is lost with it. */
    const skip = (
        current: Exchange,
        mismatch: ResponseMismatch,
        head: ResponseHead,
        info: ResponseInfo,
        endsWithConnection: boolean,
    ) => {
        // Later responses on the connection may be out of order, too.
        mustClose = true;
        isDiscarding = true;
        discardedBody = createStatusLineFinder();
        reportSkipped(mismatch, head, info);
        if (current.isComplete) {
            return;
        }
        if (isResponseLost(mismatch)) {
            throw new InvalidResponseError(
                `a response with status ${head.status} and ${describeId(mismatch)}`,
            );
        }
        if (endsWithConnection) {
            throw new InvalidResponseError("a skipped response has no length");
        }
        if (mismatch === ResponseMismatch.OtherRequest) {
            current.events.onMisnamed();
        }
    };

    const parser = createResponseParser({
        onHead: (head, framing) => {
            countHead();
            isDiscarding = head.status < 200;
            if (isDiscarding) {
                return true;
            }
            const current = exchange!;
            const info = protocol.readResponse(head.status, head.headers, head.contradictory);
            const mismatch = current.isComplete ? ResponseMismatch.Surplus : matcher.findMismatch(info);
            if (mismatch !== undefined) {
                skip(current, mismatch, head, info, framing === BodyFraming.UntilClose);
                return true;
            }
            current.head = head;
            current.body = createByteCollector(getExpectedBytes(head, options.maxResponseBytes));
            current.info = info;
            current.firstByteAt = clock.now();
            current.framing = current.req.hasResponseBody ? framing : BodyFraming.None;
            keepAliveMs = parseKeepAliveMs(head.headers.get("keep-alive")) ?? defaultKeepAliveMs;
            return current.req.hasResponseBody;
        },
        onBody: chunk => {
            if (exchange === undefined || exchange.isComplete) {
                return;
            }
            if (isDiscarding) {
                if (discardedBody.find(chunk)) {
                    throw new InvalidResponseError("a skipped response has another one in its body");
                }
                return;
            }
            exchange.body.add(chunk);
        },
        onComplete: endOffset => {
            if (!isDiscarding && exchange?.head !== undefined) {
                exchange.isComplete = true;
                endsAt = endOffset;
            }
            isDiscarding = false;
        },
    });

    socket.on("connect", () => {
        isConnected = true;
        connectTimer.cancel();
        options.onConnected(clock.now() - openedAt);
        if (exchange !== undefined) {
            write(exchange);
        }
    });
    socket.on("data", (chunk: Buffer) => {
        if (isClosed) {
            return;
        }
        if (!exchange?.isWritten) {
            reportSkipped(ResponseMismatch.Unsolicited);
            close(ExchangeFailure.Malformed, "unsolicited data on an idle connection");
            return;
        }
        const current = exchange;
        current.receivedBytes += chunk.length;
        current.endHold.recordPiece();
        const wasComplete = current.isComplete;
        const bodyBytes = current.body.byteLength;
        endsAt = 0;
        const err = parser.read(chunk);
        current.isDamaged = err !== undefined;
        if (!current.memory.grow(current.body.byteLength - bodyBytes)) {
            close(ExchangeFailure.TooLarge, "no memory for the response body");
        } else if (current.isComplete) {
            const behind = chunk.subarray(endsAt);
            current.following = Buffer.concat([current.following, behind]).subarray(0, followingBytes);
            onEnded(current, wasComplete);
        } else if (err !== undefined) {
            close(ExchangeFailure.Malformed, err.message);
        } else if (current.body.byteLength > options.maxResponseBytes) {
            close(ExchangeFailure.TooLarge, `response body exceeds ${options.maxResponseBytes} bytes`);
        } else if (getOverheadBytes(current) > maxOverheadBytes) {
            close(ExchangeFailure.Malformed, "too many bytes outside the response body");
        }
    });

    /**
     * Completes a response without a length, which ends with the connection, unless the connection was reset. Node
     * reports a reset that arrives together with data as a normal end, but a write then fails. Servers ignore an empty
     * line before a request line (RFC 9112, section 2.2).
     */
    const completeUnlessReset = (current: Exchange) =>
        socket.write("\r\n", err => {
            if (err) {
                close(ExchangeFailure.ConnectionLost, err.message);
            } else if (!isClosed) {
                complete(current);
            }
        });

    socket.on("end", () => {
        if (isClosed) {
            return;
        }
        // A response whose end is held is complete: nothing can follow it any more.
        if (exchange?.isComplete) {
            exchange.isDamaged = true;
            complete(exchange);
            return;
        }
        const err = parser.end();
        if (err === undefined && exchange?.isComplete) {
            completeUnlessReset(exchange);
        } else {
            close(ExchangeFailure.ConnectionLost, err?.message ?? "connection closed by the server", true);
        }
    });
    const onLost = (detail: string) => {
        if (exchange?.isComplete && exchange.framing === BodyFraming.Sized) {
            exchange.isDamaged = true;
            complete(exchange);
        }
        close(ExchangeFailure.ConnectionLost, detail, true);
    };
    socket.on("error", err => onLost(err.message));
    socket.on("close", () => onLost("connection closed"));

    return {
        exchange: (req, events) => {
            exchange = {
                req,
                events,
                sentAt: clock.now(),
                isWritten: false,
                body: createByteCollector(),
                memory: options.responseMemory.open(() =>
                    close(ExchangeFailure.TooLarge, "the response body had to make room for others"),
                ),
                receivedBytes: 0,
                heads: 0,
                framing: BodyFraming.None,
                isComplete: false,
                following: Buffer.alloc(0),
                endHold: createEndHold(clock),
                isDamaged: false,
            };
            if (isConnected) {
                write(exchange);
            }
        },
        destroy: () => {
            if (exchange !== undefined) {
                exchange.events = noEvents;
            }
            close(ExchangeFailure.ConnectionLost, "connection destroyed");
        },
        canReuse: (now, maxIdleMs) =>
            !isClosed && !mustClose && now - idleSince < Math.min(maxIdleMs, keepAliveMs - keepAliveMarginMs),
        hasSent: requestId => matcher.hasSent(requestId),
        idleMs: now => now - idleSince,
    };
}

/** Returns the size of the body to collect, as far as the head tells it; 0 if it does not, or if the body is too large. */
function getExpectedBytes({ headers }: ResponseHead, maxBytes: number): number {
    const length = Number(headers.get("content-length") ?? 0);
    return length <= maxBytes ? length : 0;
}

/** Returns the bytes received beyond the body and as many bytes of framing. */
function getOverheadBytes({ receivedBytes, body }: Exchange): number {
    return receivedBytes - 2 * body.byteLength;
}

function describeId(mismatch: ResponseMismatch): string {
    return mismatch === ResponseMismatch.SeveralIds ? "several request ids" : "no request id";
}

/** Parses the timeout of a `Keep-Alive` header such as "timeout=5, max=100", in milliseconds. */
function parseKeepAliveMs(header: string | undefined): number | undefined {
    const match = header === undefined ? undefined : (/timeout=(\d+)/i.exec(header) ?? undefined);
    return match === undefined ? undefined : Number(match[1]) * 1000;
}
