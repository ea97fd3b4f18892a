/** Answers of an instance to its callers. */
import type { ServerResponse } from "node:http";
import type { UpstreamAnswer } from "./upstream-connection.js";
import { formatAnswerHeaders } from "./forwarded-headers.js";

/** Passes a backend server's answer on unchanged. */
export function passAnswer(res: ServerResponse, { head, body }: UpstreamAnswer): void {
    res.sendDate = false;
    res.writeHead(head.status, formatAnswerHeaders(head, body.length));
    res.end(body);
}

/** Sends an answer of the instance itself. */
export function sendOwnAnswer(
    res: ServerResponse,
    status: number,
    reason: string,
    headers: Record<string, string> = {},
): void {
    const body = `${reason}\n`;
    res.sendDate = false;
    res.writeHead(status, {
        "Content-Type": "text/plain",
        "Content-Length": Buffer.byteLength(body),
        ...headers,
    });
    res.end(body);
}
