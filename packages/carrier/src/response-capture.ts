/** Captures a response, so that it can be replayed for the same idempotency key. */
import { createByteCollector } from "@waxwingdale/core";
import type { RecordedResponse } from "@waxwingdale/core";
import type { ResponseCapture } from "./attempt.js";

export interface RecordingCapture extends ResponseCapture {
    /** Returns the response, or undefined if none has started. A body over the limit is omitted. */
    getResponse(): RecordedResponse | undefined;
}

/** Creates a capture. A body larger than `maxBytes` is not kept. */
export function createResponseCapture(maxBytes: number): RecordingCapture {
    let head: { status: number; headers: Record<string, string> } | undefined;
    let body = createByteCollector();
    let size = 0;
    return {
        writeHead: (status, headers) => {
            const flat = Object.entries(headers).map(([name, value]) => [
                name,
                Array.isArray(value) ? value.join(", ") : value,
            ]);
            head = { status, headers: Object.fromEntries(flat) as Record<string, string> };
        },
        write: chunk => {
            size += chunk.length;
            if (size <= maxBytes) {
                body.add(Buffer.from(chunk));
            } else {
                body = createByteCollector();
            }
        },
        getResponse: () =>
            head && {
                ...head,
                body: size <= maxBytes ? body.toBuffer().toString("base64") : undefined,
            },
    };
}
