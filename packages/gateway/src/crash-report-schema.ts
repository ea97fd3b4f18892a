/** Checks reports of requests that crash servers, which come from peers and from the store. */
import * as v from "valibot";

const maxFingerprintLength = 64;
const maxServers = 8;
const maxServerIdLength = 256;

const countSchema = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const serverIdSchema = v.pipe(v.string(), v.maxLength(maxServerIdLength));
const fingerprintSchema = v.pipe(v.string(), v.maxLength(maxFingerprintLength));

export const crashReportSchema = v.object({
    fingerprint: fingerprintSchema,
    epoch: countSchema,
    crashes: countSchema,
    trialSteps: v.optional(countSchema),
    ageMs: countSchema,
    crashAgeMs: v.optional(v.pipe(v.number(), v.safeInteger())),
    survivals: v.optional(countSchema),
    servers: v.optional(v.pipe(v.array(serverIdSchema), v.maxLength(maxServers))),
    hasEnded: v.optional(v.boolean()),
    isSimultaneous: v.optional(v.boolean()),
    source: v.optional(fingerprintSchema),
    isShared: v.optional(v.boolean()),
});
