/** Headers exchanged between callers, entries and backend servers. */
import type { IncomingHttpHeaders } from "node:http";
import { deadlineHeader, requestIdHeader } from "@waxwingdale/core";
import type { ResponseHeaders } from "./dispatch-request.js";

/** Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that each sender sets itself. */
const connectionHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "host",
    "content-length",
]);

/** Prefix of the headers used between entries. They are removed from callers' requests. */
const internalPrefix = "waxwingdale-";
const backendPrefix = "backend-";

/** Region of the entry that forwarded a request to another region. */
export const fromRegionHeader = "waxwingdale-from-region";
export const fingerprintHeader = "waxwingdale-fingerprint";
export const clientHeader = "waxwingdale-client";
/** Region that a response comes from. */
export const servedByHeader = "waxwingdale-region";

export interface ForwardedFields {
    requestId: string;
    remainingMs: number;
    bodyLength: number | undefined;
    client: string;
}

/** Returns the headers for a backend server or a peer: the caller's, without hop-by-hop and internal ones. */
export function createRequestHeaders(
    headers: IncomingHttpHeaders,
    fields: ForwardedFields,
): Record<string, string> {
    const connectionOptions = parseConnectionOptions(headers.connection);
    const out: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (
            value !== undefined &&
            !connectionHeaders.has(name) &&
            !name.startsWith(internalPrefix) &&
            !connectionOptions.has(name)
        ) {
            out[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    out[requestIdHeader] = fields.requestId;
    out[deadlineHeader] = String(Math.max(1, Math.floor(fields.remainingMs)));
    out["x-forwarded-for"] = fields.client;
    if (fields.bodyLength !== undefined && fields.bodyLength > 0) {
        out["content-length"] = String(fields.bodyLength);
    }
    return out;
}

/** Returns the headers for the caller: the server's, without hop-by-hop and internal ones. */
export function createResponseHeaders(headers: ResponseHeaders): Record<string, string | string[]> {
    const out: Record<string, string | string[]> = {};
    for (const [name, value] of Object.entries(headers)) {
        const isInternal = name.startsWith(internalPrefix) || name.startsWith(backendPrefix);
        if (
            value !== undefined &&
            !isInternal &&
            (name === "content-length" || !connectionHeaders.has(name))
        ) {
            out[name] = value;
        }
    }
    return out;
}

/** Returns the first value of a header. */
export function getHeader(headers: ResponseHeaders | IncomingHttpHeaders, name: string): string | undefined {
    const value = headers[name];
    return Array.isArray(value) ? value[0] : value;
}

function parseConnectionOptions(connection: string | undefined): Set<string> {
    return new Set((connection ?? "").split(",").map(name => name.trim().toLowerCase()));
}
