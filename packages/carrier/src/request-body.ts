/** Reads the start of a request body, so that a small body can be sent again and a large one is streamed. */
import type { IncomingMessage } from "node:http";
import { ReasonCode, WaxwingdaleError } from "@waxwingdale/core";
import { createReadTimeout } from "./read-timeout.js";
import type { ReadTimeout } from "./read-timeout.js";

/** Bytes that are held for each request. A larger body is streamed and cannot be sent a second time. */
export const maxBufferedBytes = 64 * 1024;
/** Time in milliseconds that a sender may stay silent in the middle of a body. */
export const bodyIdleTimeoutMs = 10_000;

/** The body could not be read: it is too large, too slow, or the caller left. Nothing was sent. */
export class RequestBodyError extends WaxwingdaleError {
    constructor(
        readonly reason: ReasonCode,
        message: string,
    ) {
        super("RequestBodyError", message);
    }
}

export interface RequestBody {
    /** The first bytes, or the whole body when `complete`. */
    prefix: Buffer;
    complete: boolean;
    /** Declared length, or undefined for a chunked body. */
    length: number | undefined;
    /** True after more than the held bytes were taken for sending. */
    isConsumed(): boolean;
    /** Body for one attempt. */
    open(): Buffer | AsyncIterable<Buffer> | undefined;
}

interface ReadLimits {
    maxBytes: number;
    timeoutMs: number;
}

/**
 * Reads until the body ends or the held bytes are full.
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
        return createWholeBody(Buffer.alloc(0), 0);
    }
    const chunks = req.iterator({ destroyOnReturn: false });
    const limit = createReadTimeout(Math.min(limits.timeoutMs, bodyIdleTimeoutMs), false, createLateError);
    const head = await readHead(chunks, limit, limits.maxBytes).finally(() => limit.stop());
    if (head.done) {
        return createWholeBody(head.bytes, length);
    }
    return createStreamedBody(head.bytes, length, chunks, limits.maxBytes);
}

/** Returns the declared length; 0 without a body and undefined for a chunked body. */
function getDeclaredLength(req: IncomingMessage): number | undefined {
    if (req.headers["transfer-encoding"] !== undefined) {
        return undefined;
    }
    return Number(req.headers["content-length"] ?? 0);
}

async function readHead(chunks: AsyncIterator<unknown>, limit: ReadTimeout, maxBytes: number) {
    const parts: Buffer[] = [];
    let size = 0;
    while (size < maxBufferedBytes) {
        const next = await nextChunk(chunks, limit);
        if (next === undefined) {
            return { done: true, bytes: Buffer.concat(parts) };
        }
        parts.push(next);
        size += next.length;
        if (size > maxBytes) {
            throw new RequestBodyError(
                ReasonCode.BodyTooLarge,
                `the body is larger than the ${maxBytes} bytes that the route allows`,
            );
        }
    }
    return { done: false, bytes: Buffer.concat(parts) };
}

function createLateError(): Error {
    return new RequestBodyError(ReasonCode.BadRequest, "the body did not arrive in time");
}

async function nextChunk(chunks: AsyncIterator<unknown>, limit: ReadTimeout): Promise<Buffer | undefined> {
    try {
        const next = await limit.race(chunks.next());
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

function createWholeBody(head: Buffer, length: number | undefined): RequestBody {
    return {
        prefix: head,
        complete: true,
        length: length ?? head.length,
        isConsumed: () => false,
        open: () => (head.length === 0 ? undefined : head),
    };
}

function createStreamedBody(
    head: Buffer,
    length: number | undefined,
    chunks: AsyncIterator<unknown>,
    maxBytes: number,
): RequestBody {
    let consumed = false;
    async function* stream(): AsyncGenerator<Buffer> {
        yield head;
        let size = head.length;
        const limit = createReadTimeout(bodyIdleTimeoutMs, true, createLateError);
        try {
            for (;;) {
                consumed = true;
                const next = await nextChunk(chunks, limit);
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
            limit.stop();
        }
    }
    return { prefix: head, complete: false, length, isConsumed: () => consumed, open: stream };
}
