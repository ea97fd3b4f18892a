/** Hashing of idempotency keys and their placement on shards. */
import { createHash } from "node:crypto";

/** Bytes of SHA-256 that identify a key: 144 bits, so a collision cannot be found by trying keys. */
const keyHashBytes = 18;

/** Returns the hash of a service and a caller's key as 24 characters in base64url. */
export function hashKey(service: string, key: string): string {
    return createHash("sha256")
        .update(JSON.stringify([service, key]))
        .digest()
        .subarray(0, keyHashBytes)
        .toString("base64url");
}

/** Returns the shard that holds a key hash. */
export function pickShard(keyHash: string, shards: number): number {
    return Buffer.from(keyHash, "base64url").readUInt32BE(0) % shards;
}
