/** Checks the settings of look-ups and claims. */
import { maxObjectBytes } from "@waxwingdale/core";
import { ProblemCode } from "../problem.js";
import { asWarning } from "./check-context.js";
import type { CheckContext } from "./check-context.js";

/** A leaving entry keeps serving for the look-up lifetime, so a long one delays every planned stop. */
const maxLookupTtlSeconds = 60;
/** The store takes several hundred writes per second from everyone. */
const maxClaimWritesPerSecond = 500;
/** Size of a manifest's envelope in the store: generation, push id and format. */
const envelopeBytes = 512;

/** Checks limits that depend on the store. */
export function checkLimits(ctx: CheckContext): void {
    const { claims, lookup } = ctx.manifest;
    if (lookup.ttlSeconds > maxLookupTtlSeconds) {
        ctx.report(
            ["lookup", "ttlSeconds"],
            asWarning({
                code: ProblemCode.UnsafeLimit,
                message: `callers use an address for ${lookup.ttlSeconds} s after its entry has left`,
                expected: `at most ${maxLookupTtlSeconds}`,
                fix: "lower ttlSeconds, such as to 5",
            }),
        );
    }
    if (claims.maxWritesPerSecond > maxClaimWritesPerSecond) {
        ctx.report(
            ["claims", "maxWritesPerSecond"],
            asWarning({
                code: ProblemCode.UnsafeLimit,
                message: "the claims may use up the store's writes",
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
                message: "each shard may write less than once per second, so claims wait",
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
            expected: `at most ${maxObjectBytes} bytes, the limit of an object in the store`,
            fix: "lower maxOutcomeBytes, such as to 16384",
        });
    }
    const storedBytes = Buffer.byteLength(JSON.stringify(ctx.manifest)) + envelopeBytes;
    if (storedBytes > maxObjectBytes) {
        ctx.report([], {
            code: ProblemCode.TooLarge,
            message: `the manifest takes ${storedBytes} bytes in the store`,
            expected: `at most ${maxObjectBytes} bytes`,
            fix: "merge client blocks",
        });
    }
}
