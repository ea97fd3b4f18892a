/** Fingerprints requests, so that a request that crashes servers is recognized when it is repeated. */
import { createHash } from "node:crypto";

/** Number of body bytes included in the fingerprint. */
export const maxFingerprintBodyBytes = 4096;
const fingerprintBytes = 16;

export interface FingerprintInput {
    service: string;
    method: string;
    path: string;
    query: string;
    idempotencyKey: string | undefined;
    /** Start of the body. Bytes beyond `maxFingerprintBodyBytes` are ignored. */
    bodyPrefix: Uint8Array;
}

/**
 * Returns the fingerprint as 22 base64url characters. The hash is cryptographic: a caller who could construct a
 * collision could get another caller's request quarantined.
 */
export function fingerprintRequest(input: FingerprintInput): string {
    const { service, method, path, query, idempotencyKey, bodyPrefix } = input;
    return createHash("sha256")
        .update(JSON.stringify([service, method, path, query, idempotencyKey ?? false]))
        .update(bodyPrefix.subarray(0, maxFingerprintBodyBytes))
        .digest()
        .subarray(0, fingerprintBytes)
        .toString("base64url");
}
