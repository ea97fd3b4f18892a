/** Messages between the slot brokers of a region. All times are durations, since the clocks of entries may differ. */
import * as v from "valibot";

const durationSchema = v.pipe(v.number(), v.minValue(0));

/** Requests of one class that are waiting for a slot of a service. */
const classWantSchema = v.object({
    count: v.number(),
    oldestWaitMs: durationSchema,
    newestWaitMs: durationSchema,
});

const serviceWantSchema = v.object({
    service: v.string(),
    /** In the order of `classesByImportance`. */
    classes: v.array(classWantSchema),
    /** Time left until the latest deadline of the requests. */
    needMs: durationSchema,
    /** Servers that none of the requests may use. */
    avoid: v.array(v.string()),
    /** Whether all requests are suspects, which run only on the first slot of a server. */
    suspectsOnly: v.boolean(),
});

const claimSchema = v.object({ key: v.string(), claimId: v.string() });

export const wantSchema = v.object({
    /** Changes with each start of the sender. */
    run: v.string(),
    seq: v.number(),
    wants: v.array(serviceWantSchema),
    claims: v.array(claimSchema),
});

export const grantSchema = v.object({
    grantId: v.string(),
    /** Number of times that the grant has been passed on. */
    hop: v.number(),
    /** Entry that owns the slot, to which it is returned. */
    owner: v.string(),
    server: v.string(),
    index: v.number(),
    /** Want of the receiver that this grant answers. `expiresInMs` is relative to the time at which it was sent. */
    wantSeq: v.number(),
    expiresInMs: durationSchema,
});

export const returnSchema = v.object({
    /** Grants whose slots are returned. */
    grants: v.array(v.string()),
    /** Servers that rejected requests or were unreachable. */
    closedServers: v.array(v.string()),
    /** Claims that the sender denied earlier and now grants. */
    handovers: v.array(claimSchema),
    /** Set by a stopping entry: slots that it owned and no longer uses. */
    abandoned: v.optional(v.array(v.string())),
});

export type ServiceWant = v.InferOutput<typeof serviceWantSchema>;
export type Claim = v.InferOutput<typeof claimSchema>;
export type WantMessage = v.InferOutput<typeof wantSchema>;
export type GrantMessage = v.InferOutput<typeof grantSchema>;
export type ReturnMessage = v.InferOutput<typeof returnSchema>;

/** Answer to a claim for a slot. */
export enum ClaimAnswer {
    /** The responder holds the slot, or owns it according to its own view. */
    Denied = "denied",
    /** The responder does not hold the slot. */
    Neutral = "neutral",
    /** The responder was the last owner of the slot and has released it. */
    Granted = "granted",
}

export interface WantResponse {
    answers: { key: string; answer: ClaimAnswer }[];
}

export interface GrantResponse {
    accepted: boolean;
}
