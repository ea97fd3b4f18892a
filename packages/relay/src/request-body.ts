/** Buffers request bodies in memory, so that requests can be retried. */
import type { IncomingMessage } from "node:http";
import { createByteCollector, createPieceLimit } from "@waxwingdale/core";
import type { BodyHold } from "./body-memory.js";

export enum BodyRejection {
    /** The body exceeds the limit for one body, or has too many small chunks. */
    TooLarge = "too-large",
    /** There is no memory for it beside the other bodies. */
    NoMemory = "no-memory",
}

/** The body (`undefined` if the request has none), or the reason why it was rejected. */
export type BodyResult = { body: Buffer | undefined } | { rejection: BodyRejection };

/**
 * Calls `onResult` once the body is complete or rejected, but not if the caller disconnects first. A body whose length
 * shows that it is rejected is not read. The caller releases the memory.
 */
export function readBody(
    req: IncomingMessage,
    maxBytes: number,
    memory: BodyHold,
    onResult: (result: BodyResult) => void,
): void {
    if (req.headers["content-length"] === undefined && req.headers["transfer-encoding"] === undefined) {
        req.resume();
        onResult({ body: undefined });
        return;
    }
    const declaredBytes = Number(req.headers["content-length"] ?? 0);
    const body = createByteCollector(declaredBytes <= maxBytes ? declaredBytes : 0);
    const pieces = createPieceLimit();
    let reservedBytes = 0;
    let isDone = false;
    const finish = (result: BodyResult) => {
        if (!isDone) {
            isDone = true;
            onResult(result);
        }
    };
    /** Returns why a body of so many bytes is rejected; undefined if it is not. */
    const reserve = (bytes: number): BodyRejection | undefined => {
        if (bytes > maxBytes) {
            return BodyRejection.TooLarge;
        }
        const missing = Math.max(0, bytes - reservedBytes);
        reservedBytes += missing;
        return memory.grow(missing) ? undefined : BodyRejection.NoMemory;
    };
    const rejection = reserve(declaredBytes);
    if (rejection !== undefined) {
        req.resume();
        finish({ rejection });
        return;
    }
    req.on("data", (chunk: Buffer) => {
        if (isDone) {
            return;
        }
        const rejection = pieces.isExceededBy(chunk.length)
            ? BodyRejection.TooLarge
            : reserve(body.byteLength + chunk.length);
        if (rejection === undefined) {
            body.add(chunk);
        } else {
            finish({ rejection });
        }
    });
    req.on("end", () => finish({ body: body.toBuffer() }));
}

/** Reads a body that nobody needs. A caller that sends more than a body may have loses its connection. */
export function discardBody(req: IncomingMessage, maxBytes: number): void {
    const pieces = createPieceLimit();
    let bytes = 0;
    req.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maxBytes || pieces.isExceededBy(chunk.length)) {
            req.socket.destroy();
        }
    });
}
