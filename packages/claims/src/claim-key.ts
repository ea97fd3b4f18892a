/** Hashes idempotency keys and assigns them to shards. */
import { createHash } from "node:crypto";

/** Truncated SHA-256: with 144 bits, searching for a collision by brute force is infeasible. */
const keyHashBytes = 18;

/** Returns the hash of a service name and an idempotency key as 24 base64url characters. */
export function hashKey(service: string, key: string): string {
    return createHash("sha256")
        .update(JSON.stringify([service, key]))
        .digest()
        .subarray(0, keyHashBytes)
        .toString("base64url");
}

/** Returns the shard that a key hash belongs to. */
export function pickShard(keyHash: string, shards: number): number {
    return Buffer.from(keyHash, "base64url").readUInt32BE(0) % shards;
}
