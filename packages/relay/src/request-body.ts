/** Buffers request bodies in memory, so that requests can be retried. */
import type { IncomingMessage } from "node:http";

/** The body (`undefined` if the request has none), or the reason why it was rejected. */
export type BodyResult = { body: Buffer | undefined } | { tooLarge: true };

/** Calls `onResult` once the body is complete or too large, but not if the caller disconnects first. */
export function readBody(
    req: IncomingMessage,
    maxBytes: number,
    onResult: (result: BodyResult) => void,
): void {
    if (req.headers["content-length"] === undefined && req.headers["transfer-encoding"] === undefined) {
        req.resume();
        onResult({ body: undefined });
        return;
    }
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isDone = false;
    const finish = (result: BodyResult) => {
        if (!isDone) {
            isDone = true;
            onResult(result);
        }
    };
    req.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > maxBytes) {
            finish({ tooLarge: true });
        } else {
            chunks.push(chunk);
        }
    });
    req.on("end", () => finish({ body: chunks.length === 1 ? chunks[0] : Buffer.concat(chunks) }));
}
