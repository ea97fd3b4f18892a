/** Events of a trace. A trace file has one JSON event per line, starting with the header. */
import { MemberStatus, Outcome, RequestClass, SteeringReason } from "@waxwingdale/core";
import { manifestSchema } from "@waxwingdale/manifest";
import { planSchema } from "@waxwingdale/steering";
import * as v from "valibot";

/** Version of the file format. Files of other versions are rejected. */
export const traceFormatVersion = 1;

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Fields of every event: the entry that recorded it, and the wall-clock time in milliseconds. */
const commonFields = { entry: v.string(), time: v.number() };

const headerSchema = v.object({
    type: v.literal("trace"),
    ...commonFields,
    version: v.literal(traceFormatVersion),
    region: v.string(),
    /** Number of events that the recorder dropped because its buffer was full. */
    dropped: count,
});

const attemptSchema = v.object({
    /** Backend server, or entry of another region. */
    target: v.string(),
    region: v.string(),
    /** Time from the start of the request until the target was chosen, in milliseconds. */
    waitedMs: v.number(),
    result: v.string(),
});

const requestSchema = v.object({
    type: v.literal("request"),
    ...commonFields,
    id: v.string(),
    service: v.string(),
    route: v.string(),
    requestClass: v.enum(RequestClass),
    /** Home region of the caller. */
    home: v.string(),
    /** Region that the request was last sent to, and why. */
    region: v.string(),
    regionReason: v.optional(v.enum(SteeringReason)),
    attempts: v.array(attemptSchema),
    outcome: v.enum(Outcome),
    reason: v.optional(v.string()),
    /** Keyed hash of service and idempotency key, for requests that ran under a claim. */
    keyHash: v.optional(v.string()),
    /** Whether the response was recorded for an earlier request with the key and replayed. */
    replayed: v.boolean(),
    ms: v.number(),
});

const demandSchema = v.object({
    service: v.string(),
    home: v.string(),
    offeredPerSecond: v.number(),
    requestBytes: v.number(),
    responseBytes: v.number(),
    ageMs: v.number(),
});

const capacitySchema = v.object({
    service: v.string(),
    site: v.string(),
    warmServers: v.number(),
    coldServers: v.number(),
    meanServiceMs: v.number(),
    ageMs: v.number(),
});

const planEventSchema = v.object({
    type: v.literal("plan"),
    ...commonFields,
    /** Input of the planner, except the manifest, which is that of the generation in `plan`. */
    input: v.object({
        demands: v.array(demandSchema),
        capacities: v.array(capacitySchema),
        deadRegions: v.array(v.string()),
        previous: v.optional(planSchema),
        wallTime: v.number(),
        secondsSincePrevious: v.number(),
    }),
    /** The plan as it was stored, with epoch and step. */
    plan: planSchema,
});

/** The entry has started to route requests by this plan. */
const appliedSchema = v.object({ type: v.literal("applied"), ...commonFields, epoch: count, step: count });

const manifestEventSchema = v.object({
    type: v.literal("manifest"),
    ...commonFields,
    generation: count,
    manifest: manifestSchema,
});

const memberSchema = v.object({
    type: v.literal("member"),
    ...commonFields,
    id: v.string(),
    region: v.string(),
    status: v.enum(MemberStatus),
    ready: v.boolean(),
});

const drainSchema = v.object({
    type: v.literal("drain"),
    ...commonFields,
    server: v.string(),
    /** Why the server is draining, for example because of the `manifest`. */
    source: v.string(),
    /** False when the drain has ended. */
    draining: v.boolean(),
});

export const traceEventSchema = v.variant("type", [
    headerSchema,
    requestSchema,
    planEventSchema,
    appliedSchema,
    manifestEventSchema,
    memberSchema,
    drainSchema,
]);

export type TraceEvent = v.InferOutput<typeof traceEventSchema>;
export type TraceEventOf<Type extends TraceEvent["type"]> = Extract<TraceEvent, { type: Type }>;

/** Formats an event as a line, without the line break. */
export function formatTraceEvent(event: TraceEvent): string {
    return JSON.stringify(event);
}
