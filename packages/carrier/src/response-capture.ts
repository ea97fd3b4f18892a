/** Keeps a copy of an answer, so that a repeat of its idempotency key gets the same one. */
import type { RecordedResponse } from "@waxwingdale/core";
import type { ResponseCapture } from "./attempt.js";

export interface RecordingCapture extends ResponseCapture {
    /** The answer, or undefined when none began. The body is left out when it passed the limit. */
    getResponse(): RecordedResponse | undefined;
}

/** Creates a capture that keeps at most `maxBytes` of the body. */
export function createResponseCapture(maxBytes: number): RecordingCapture {
    let head: { status: number; headers: Record<string, string> } | undefined;
    let chunks: Buffer[] = [];
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
                chunks.push(Buffer.from(chunk));
            } else {
                chunks = [];
            }
        },
        getResponse: () =>
            head && {
                ...head,
                body: size <= maxBytes ? Buffer.concat(chunks).toString("base64") : undefined,
            },
    };
}
