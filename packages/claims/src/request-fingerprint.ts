/** Fingerprint of a request, by which a request that crashes servers is recognised when it is sent again. */
import { createHash } from "node:crypto";

/** Bytes of a body that enter the fingerprint. */
export const fingerprintBodyBytes = 4096;
const fingerprintBytes = 16;

export interface FingerprintParts {
    service: string;
    method: string;
    path: string;
    query: string;
    idempotencyKey: string | undefined;
    /** First bytes of the body; those after `fingerprintBodyBytes` are ignored. */
    bodyPrefix: Uint8Array;
}

/**
 * Returns the fingerprint as 22 characters in base64url. The hash is cryptographic, because a caller who could choose a
 * colliding request could have another caller's request quarantined.
 */
export function fingerprintRequest(parts: FingerprintParts): string {
    const { service, method, path, query, idempotencyKey, bodyPrefix } = parts;
    return createHash("sha256")
        .update(JSON.stringify([service, method, path, query, idempotencyKey ?? false]))
        .update(bodyPrefix.subarray(0, fingerprintBodyBytes))
        .digest()
        .subarray(0, fingerprintBytes)
        .toString("base64url");
}
