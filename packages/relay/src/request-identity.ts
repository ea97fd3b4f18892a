/** Fingerprints by which the repetitions of a request are recognized. */
import { createHash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { RequestInfo } from "./wire-protocol.js";

export interface RequestIdentity {
    /** Fingerprint of the request, whoever sends it. */
    request: string;
    /** Returns the fingerprint of the request of its caller, which begins with that of the request. */
    caller: () => string;
}

/** Separates the fingerprint of a request from what identifies its caller; no base64 digit. */
const separator = ".";
/** Number of base64 digits that identify a caller, 120 bits. */
const callerDigits = 20;

/** Number of bytes of a body that the fingerprint for all callers covers; that of a caller covers the whole body. */
const maxHashedBytes = 64 * 1024;

/**
 * Returns the identity of a request: host, method, path and body, and for the caller its address and the object that it
 * asks for. The hashes are cryptographic: a caller that finds a collision could have another's request rejected.
 */
export function identifyRequest(
    req: IncomingMessage,
    callerAddress: string | undefined,
    { objectKey }: RequestInfo,
    body: Buffer | undefined,
): RequestIdentity {
    const request = createHash("sha256")
        .update(JSON.stringify([req.headers.host, req.method, req.url, body?.length]))
        .update(body?.subarray(0, maxHashedBytes) ?? "")
        .digest("base64url");
    let caller: string | undefined;
    return {
        request,
        caller: () =>
            (caller ??= `${request}${separator}${hashCaller([request, callerAddress, objectKey], body)}`),
    };
}

export function isCallerFingerprint(fingerprint: string): boolean {
    return fingerprint.includes(separator);
}

/** Returns the fingerprint of the request, whoever sends it, for that of a caller. */
export function getRequestFingerprint(callerFingerprint: string): string {
    return callerFingerprint.split(separator, 1)[0]!;
}

function hashCaller(fields: readonly unknown[], body: Buffer | undefined): string {
    return createHash("sha256")
        .update(JSON.stringify(fields))
        .update(body ?? "")
        .digest("base64url")
        .slice(0, callerDigits);
}
