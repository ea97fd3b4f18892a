/** Reads the body of a caller's request into memory, so that it can be sent again. */
import type { IncomingMessage } from "node:http";

/** The body, `undefined` without one, or the reason why there is none to use. */
export type BodyResult = { body: Buffer | undefined } | { tooLarge: true };

/** Calls back once the body is complete or too large. A caller that leaves gets no callback. */
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
