/** Events of a trace. A trace file has one event in each line, as JSON; the first one is the head. */
import { MemberStatus, Outcome, RequestClass, SteeringReason } from "@waxwingdale/core";
import { manifestSchema } from "@waxwingdale/manifest";
import { planSchema } from "@waxwingdale/steering";
import * as v from "valibot";

/** Version of the format. A reader refuses other versions. */
export const traceFormatVersion = 1;

const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));

/** Fields of each event: the entry that saw it and the wall-clock time in milliseconds. */
const common = { entry: v.string(), time: v.number() };

const headSchema = v.object({
    type: v.literal("trace"),
    ...common,
    version: v.literal(traceFormatVersion),
    region: v.string(),
    /** Events that the recorder dropped because its memory was full. */
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
    ...common,
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
    /** The answer is the recorded one of an earlier request with the key. */
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
    ...common,
    /** Input of the planner. Its manifest is the one of the generation in `plan`. */
    input: v.object({
        demands: v.array(demandSchema),
        capacities: v.array(capacitySchema),
        deadRegions: v.array(v.string()),
        previous: v.optional(planSchema),
        wallTime: v.number(),
        secondsSincePrevious: v.number(),
    }),
    /** The plan that was stored, with epoch and step. */
    plan: planSchema,
});

/** The entry steers by this plan from now on. */
const appliedSchema = v.object({ type: v.literal("applied"), ...common, epoch: count, step: count });

const manifestEventSchema = v.object({
    type: v.literal("manifest"),
    ...common,
    generation: count,
    manifest: manifestSchema,
});

const memberSchema = v.object({
    type: v.literal("member"),
    ...common,
    id: v.string(),
    region: v.string(),
    status: v.enum(MemberStatus),
    ready: v.boolean(),
});

const drainSchema = v.object({
    type: v.literal("drain"),
    ...common,
    server: v.string(),
    /** What told the entry of the drain. */
    source: v.string(),
    /** False when the drain ended. */
    draining: v.boolean(),
});

export const traceEventSchema = v.variant("type", [
    headSchema,
    requestSchema,
    planEventSchema,
    appliedSchema,
    manifestEventSchema,
    memberSchema,
    drainSchema,
]);

export type TraceEvent = v.InferOutput<typeof traceEventSchema>;
export type TraceEventOf<Type extends TraceEvent["type"]> = Extract<TraceEvent, { type: Type }>;

/** Writes an event as a line without its line break. */
export function formatTraceEvent(event: TraceEvent): string {
    return JSON.stringify(event);
}
