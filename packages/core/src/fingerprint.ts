/** Non-cryptographic hashing by xxHash. */
import xxhash from "xxhash-wasm";

const hasher = await xxhash();

/** Returns the 32-bit hash of a text. */
export function hash32(text: string, seed = 0): number {
    return hasher.h32(text, seed);
}

/** Returns the 64-bit hash of a text as 16 hexadecimal digits. */
export function hashText(text: string): string {
    return hasher.h64ToString(text);
}

/** Returns the 64-bit hash of bytes as 16 hexadecimal digits. */
export function hashBytes(bytes: Uint8Array): string {
    return hasher.h64Raw(bytes).toString(16).padStart(16, "0");
}

export interface FingerprintFields {
    service: string;
    method: string;
    path: string;
    /** Idempotency key, if the caller sent one. */
    key: string | undefined;
    /** First part of the body. */
    bodyHead: Uint8Array;
}

/** Bytes of a body that count for its fingerprint. */
const fingerprintBodyBytes = 16 * 1024;

/** Returns the identity of a request across repeats and entries, for the quarantine of requests that crash servers. */
export function fingerprintRequest(fields: FingerprintFields): string {
    const { service, method, path, key, bodyHead } = fields;
    const head = `${service}\n${method}\n${path}\n${key ?? ""}`;
    if (bodyHead.length === 0) {
        return hashText(head);
    }
    return hashText(`${head}\n${hashBytes(bodyHead.subarray(0, fingerprintBodyBytes))}`);
}
