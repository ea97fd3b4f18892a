/** Headers that are passed on, without those that concern one connection. */
import type { IncomingMessage } from "node:http";
import type { ResponseHead } from "./response-parser.js";
import type { WireProtocol } from "./wire-protocol.js";

/** Headers of one connection (RFC 9110, section 7.6.1). The body's length is set anew for each message. */
const connectionHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
]);

/** Returns the head of a request without the headers of an attempt and without the empty line at its end. */
export function formatRequestHead(
    req: IncomingMessage,
    body: Buffer | undefined,
    protocol: WireProtocol,
): string {
    const named = namedByConnection(req.headers.connection);
    let head = `${req.method} ${req.url} HTTP/1.1\r\n`;
    const raw = req.rawHeaders;
    for (let index = 0; index + 1 < raw.length; index += 2) {
        const name = raw[index]!.toLowerCase();
        if (!connectionHeaders.has(name) && !named.has(name) && !protocol.replacesRequestHeader(name)) {
            head += `${raw[index]}: ${raw[index + 1]}\r\n`;
        }
    }
    if (body !== undefined || req.method === "POST" || req.method === "PUT" || req.method === "PATCH") {
        head += `Content-Length: ${body?.length ?? 0}\r\n`;
    }
    return head;
}

/** Returns the headers of an answer as names and values in turn. */
export function formatResponseHeaders(head: ResponseHead, bodyBytes: number): string[] {
    const named = namedByConnection(head.headers.get("connection"));
    const headers: string[] = [];
    for (let index = 0; index + 1 < head.rawHeaders.length; index += 2) {
        const name = head.rawHeaders[index]!.toLowerCase();
        if (!connectionHeaders.has(name) && !named.has(name)) {
            headers.push(head.rawHeaders[index]!, head.rawHeaders[index + 1]!);
        }
    }
    headers.push("Content-Length", String(bodyBytes));
    return headers;
}

const noNames: ReadonlySet<string> = new Set();

/** Headers that the Connection header names concern one connection as well. */
function namedByConnection(value: string | undefined): ReadonlySet<string> {
    if (value === undefined || /^\s*(keep-alive|close)\s*$/i.test(value)) {
        return noNames;
    }
    return new Set(value.split(",").map(name => name.trim().toLowerCase()));
}
