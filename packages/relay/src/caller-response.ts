/** Answers of an instance to its callers. */
import type { ServerResponse } from "node:http";
import type { UpstreamResponse } from "./upstream-connection.js";
import { formatResponseHeaders } from "./end-to-end-headers.js";

/** Passes a backend server's answer on unchanged. */
export function sendUpstreamResponse(res: ServerResponse, { head, body }: UpstreamResponse): void {
    res.sendDate = false;
    res.writeHead(head.status, formatResponseHeaders(head, body.length));
    res.end(body);
}

/** Sends an answer of the instance itself. */
export function sendLocalResponse(
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
