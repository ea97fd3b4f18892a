/** Checks the lookup and claim settings and the size of the manifest. */
import { maxObjectBytes } from "@waxwingdale/core";
import { ProblemCode } from "../problem.js";
import { asWarning } from "./check-context.js";
import type { CheckContext } from "./check-context.js";

/** A draining entry keeps serving until cached lookup responses expire, so a long TTL delays graceful shutdowns. */
const maxLookupTtlSeconds = 60;
/** The store handles several hundred writes per second from all clients together. */
const maxClaimWritesPerSecond = 500;
/** Space for the fields that are stored with the manifest: generation, push id and format version. */
const metadataBytes = 512;

export function checkLimits(ctx: CheckContext): void {
    const { claims, lookup } = ctx.manifest;
    if (lookup.ttlSeconds > maxLookupTtlSeconds) {
        ctx.report(
            ["lookup", "ttlSeconds"],
            asWarning({
                code: ProblemCode.UnsafeLimit,
                message: `callers may use an address for ${lookup.ttlSeconds} s after its entry has started to shut down`,
                expected: `at most ${maxLookupTtlSeconds}`,
                fix: "lower ttlSeconds, for example to 5",
            }),
        );
    }
    if (claims.maxWritesPerSecond > maxClaimWritesPerSecond) {
        ctx.report(
            ["claims", "maxWritesPerSecond"],
            asWarning({
                code: ProblemCode.UnsafeLimit,
                message: "claims may use up the write capacity of the store",
                expected: `at most ${maxClaimWritesPerSecond}`,
                fix: "lower maxWritesPerSecond",
            }),
        );
    }
    if (claims.shards > claims.maxWritesPerSecond) {
        ctx.report(
            ["claims", "shards"],
            asWarning({
                code: ProblemCode.UnsafeLimit,
                message: "each shard may write less than once per second, which delays claims",
                expected: `at most ${claims.maxWritesPerSecond}, the value of maxWritesPerSecond`,
                fix: "lower shards or raise maxWritesPerSecond",
            }),
        );
    }
    const encodedBytes = Math.ceil(claims.maxOutcomeBytes / 3) * 4;
    if (encodedBytes > maxObjectBytes) {
        ctx.report(["claims", "maxOutcomeBytes"], {
            code: ProblemCode.UnsafeLimit,
            message: `an outcome of this size takes ${encodedBytes} bytes in base64`,
            expected: `at most ${maxObjectBytes} bytes, the size limit of an object in the store`,
            fix: "lower maxOutcomeBytes, for example to 16384",
        });
    }
    const storedBytes = Buffer.byteLength(JSON.stringify(ctx.manifest)) + metadataBytes;
    if (storedBytes > maxObjectBytes) {
        ctx.report([], {
            code: ProblemCode.TooLarge,
            message: `the manifest takes ${storedBytes} bytes in the store`,
            expected: `at most ${maxObjectBytes} bytes`,
            fix: "merge client blocks",
        });
    }
}
