/** Reads the start of a request body: a small body is buffered for retries, a larger one is streamed. */
import type { IncomingMessage } from "node:http";
import { ReasonCode, WaxwingdaleError, createByteCollector } from "@waxwingdale/core";
import { createReadTimeout } from "./read-timeout.js";
import type { ReadTimeout } from "./read-timeout.js";

/** Bytes buffered per request. A larger body is streamed, and cannot be retried once streaming has started. */
export const maxBufferedBytes = 64 * 1024;
/** Maximum time to receive the buffered part of a body, and then between two chunks. */
export const bodyIdleTimeoutMs = 10_000;

/** The body could not be read: it is too large, it did not arrive in time, or the caller disconnected. */
export class RequestBodyError extends WaxwingdaleError {
    constructor(
        readonly reason: ReasonCode,
        message: string,
    ) {
        super("RequestBodyError", message);
    }
}

export interface RequestBody {
    /** The buffered bytes: the whole body if `complete`. */
    prefix: Buffer;
    complete: boolean;
    /** Content length, or undefined for a chunked body that is not complete. */
    length: number | undefined;
    /** Whether bytes beyond the buffered ones have been read, so that the request cannot be retried. */
    isConsumed(): boolean;
    /** Returns the body for one attempt. */
    open(): Buffer | AsyncIterable<Buffer> | undefined;
}

interface ReadLimits {
    maxBytes: number;
    timeoutMs: number;
}

/**
 * Reads until the body ends or the buffer is full.
 * @throws RequestBodyError
 */
export async function readRequestBody(req: IncomingMessage, limits: ReadLimits): Promise<RequestBody> {
    const length = getDeclaredLength(req);
    if (length !== undefined && length > limits.maxBytes) {
        throw new RequestBodyError(
            ReasonCode.BodyTooLarge,
            `the body has ${length} bytes, the route allows ${limits.maxBytes}`,
        );
    }
    if (length === 0) {
        return createCompleteBody(Buffer.alloc(0), 0);
    }
    const chunks = req.iterator({ destroyOnReturn: false });
    const timeout = createReadTimeout(
        Math.min(limits.timeoutMs, bodyIdleTimeoutMs),
        false,
        createTimeoutError,
    );
    const prefix = await readPrefix(chunks, timeout, limits.maxBytes).finally(() => timeout.stop());
    if (prefix.done) {
        return createCompleteBody(prefix.bytes, length);
    }
    return createStreamedBody(prefix.bytes, length, chunks, limits.maxBytes);
}

/** Returns the content length: 0 without a body, undefined for a chunked body. */
function getDeclaredLength(req: IncomingMessage): number | undefined {
    if (req.headers["transfer-encoding"] !== undefined) {
        return undefined;
    }
    return Number(req.headers["content-length"] ?? 0);
}

async function readPrefix(chunks: AsyncIterator<unknown>, timeout: ReadTimeout, maxBytes: number) {
    const body = createByteCollector();
    while (body.byteLength < maxBufferedBytes) {
        const next = await nextChunk(chunks, timeout);
        if (next === undefined) {
            return { done: true, bytes: body.toBuffer() };
        }
        body.add(next);
        if (body.byteLength > maxBytes) {
            throw new RequestBodyError(
                ReasonCode.BodyTooLarge,
                `the body is larger than the ${maxBytes} bytes that the route allows`,
            );
        }
    }
    return { done: false, bytes: body.toBuffer() };
}

function createTimeoutError(): Error {
    return new RequestBodyError(ReasonCode.BadRequest, "the body did not arrive in time");
}

async function nextChunk(chunks: AsyncIterator<unknown>, timeout: ReadTimeout): Promise<Buffer | undefined> {
    try {
        const next = await timeout.race(chunks.next());
        return next.done ? undefined : (next.value as Buffer);
    } catch (err) {
        if (err instanceof RequestBodyError) {
            throw err;
        }
        throw new RequestBodyError(
            ReasonCode.CallerAborted,
            "the caller closed the connection in the middle of the body",
        );
    }
}

function createCompleteBody(prefix: Buffer, length: number | undefined): RequestBody {
    return {
        prefix,
        complete: true,
        length: length ?? prefix.length,
        isConsumed: () => false,
        open: () => (prefix.length === 0 ? undefined : prefix),
    };
}

function createStreamedBody(
    prefix: Buffer,
    length: number | undefined,
    chunks: AsyncIterator<unknown>,
    maxBytes: number,
): RequestBody {
    let consumed = false;
    async function* stream(): AsyncGenerator<Buffer> {
        yield prefix;
        let size = prefix.length;
        const timeout = createReadTimeout(bodyIdleTimeoutMs, true, createTimeoutError);
        try {
            for (;;) {
                consumed = true;
                const next = await nextChunk(chunks, timeout);
                if (next === undefined) {
                    return;
                }
                size += next.length;
                if (size > maxBytes) {
                    const message = `the body is larger than ${maxBytes} bytes`;
                    throw new RequestBodyError(ReasonCode.BodyTooLarge, message);
                }
                yield next;
            }
        } finally {
            timeout.stop();
        }
    }
    return { prefix, complete: false, length, isConsumed: () => consumed, open: stream };
}
