/** Formats the headers of forwarded requests and responses, without hop-by-hop headers. */
import type { IncomingMessage } from "node:http";
import type { ResponseHead } from "./head-reader.js";
import type { WireProtocol } from "./wire-protocol.js";
import type { CallerIdentity } from "./workspace-access.js";

/** Hop-by-hop headers (RFC 9110, section 7.6.1), and `Content-Length`, which is calculated for each message. */
const hopByHopHeaders = new Set([
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

/** Returns the request line and headers, without the headers of an attempt and the terminating empty line. */
export function formatRequestHead(
    req: IncomingMessage,
    body: Buffer | undefined,
    protocol: WireProtocol,
    { needsKeys, workspace }: CallerIdentity,
): string {
    const connectionOptions = parseConnectionHeader(req.headers.connection);
    let head = `${req.method} ${req.url} HTTP/1.1\r\n`;
    const rawHeaders = req.rawHeaders;
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const name = rawHeaders[index]!.toLowerCase();
        if (
            !hopByHopHeaders.has(name) &&
            !connectionOptions.has(name) &&
            !protocol.replacesRequestHeader(name, needsKeys)
        ) {
            head += `${rawHeaders[index]}: ${rawHeaders[index + 1]}\r\n`;
        }
    }
    if (body !== undefined || req.method === "POST" || req.method === "PUT" || req.method === "PATCH") {
        head += `Content-Length: ${body?.length ?? 0}\r\n`;
    }
    if (workspace !== undefined) {
        head += protocol.formatWorkspaceHeaders(workspace.name);
    }
    return head;
}

/** Returns the headers of a response as alternating names and values. */
export function formatResponseHeaders(head: ResponseHead, bodyBytes: number): string[] {
    const connectionOptions = parseConnectionHeader(head.headers.get("connection"));
    const headers: string[] = [];
    for (let index = 0; index + 1 < head.rawHeaders.length; index += 2) {
        const name = head.rawHeaders[index]!.toLowerCase();
        if (!hopByHopHeaders.has(name) && !connectionOptions.has(name)) {
            headers.push(head.rawHeaders[index]!, head.rawHeaders[index + 1]!);
        }
    }
    headers.push("Content-Length", String(bodyBytes));
    return headers;
}

const noConnectionOptions: ReadonlySet<string> = new Set();

/** Returns the hop-by-hop headers that a `Connection` header lists. */
function parseConnectionHeader(value: string | undefined): ReadonlySet<string> {
    if (value === undefined || /^\s*(keep-alive|close)\s*$/i.test(value)) {
        return noConnectionOptions;
    }
    return new Set(value.split(",").map(name => name.trim().toLowerCase()));
}
