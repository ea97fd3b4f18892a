/** Messages between the limiters of a region. Every time is a duration, because clocks of entries are not comparable. */
import * as v from "valibot";

const duration = v.pipe(v.number(), v.minValue(0));

/** Requests of one class that wait for a slot of a service. */
const classWant = v.object({ count: v.number(), oldestWaitMs: duration, newestWaitMs: duration });

const serviceWant = v.object({
    service: v.string(),
    /** In the order of `classesByImportance`. */
    classes: v.array(classWant),
    /** Longest time left to a deadline. */
    needMs: duration,
    /** Servers that none of the requests may use. */
    avoid: v.array(v.string()),
    /** All the requests are suspects, which run only on the first slot of a server. */
    suspectsOnly: v.boolean(),
});

const claim = v.object({ key: v.string(), claimId: v.string() });

export const wantSchema = v.object({
    /** Differs for each start of the sender. */
    run: v.string(),
    seq: v.number(),
    wants: v.array(serviceWant),
    claims: v.array(claim),
});

export const grantSchema = v.object({
    grantId: v.string(),
    /** Number of borrowers that the grant has passed through before. */
    hop: v.number(),
    /** Entry that owns the slot and gets it back. */
    owner: v.string(),
    server: v.string(),
    index: v.number(),
    /** Want of the receiver that this answers; the grant's time counts from when that want was sent. */
    wantSeq: v.number(),
    expiresInMs: duration,
});

export const returnSchema = v.object({
    /** Grants that end. */
    grants: v.array(v.string()),
    /** Servers that refused requests or did not answer. */
    closedServers: v.array(v.string()),
    /** Claims that the sender had denied and no longer does. */
    handovers: v.array(claim),
    /** Set by an entry that stops: slots it owned and does not use any more. */
    abandoned: v.optional(v.array(v.string())),
});

export type ServiceWant = v.InferOutput<typeof serviceWant>;
export type Claim = v.InferOutput<typeof claim>;
export type WantMessage = v.InferOutput<typeof wantSchema>;
export type GrantMessage = v.InferOutput<typeof grantSchema>;
export type ReturnMessage = v.InferOutput<typeof returnSchema>;

/** Answer to a claim of a slot. */
export enum ClaimAnswer {
    /** The answering entry holds the slot, or owns it in its own view. */
    Denied = "denied",
    /** The answering entry does not hold the slot. */
    Neutral = "neutral",
    /** The answering entry was the last one to own the slot and has given it up. */
    Granted = "granted",
}

export interface WantResponse {
    answers: { key: string; answer: ClaimAnswer }[];
}

export interface GrantResponse {
    accepted: boolean;
}
