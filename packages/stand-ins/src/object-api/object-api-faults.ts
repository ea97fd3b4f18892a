/** Faults that can be injected into the object API. */
import * as v from "valibot";

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Body of `PUT /control/faults`. Omitted faults are disabled. */
export const faultsSchema = v.strictObject({
    /** Resets the connection of every call and of every waiting watch. */
    down: v.optional(v.boolean(), false),
    /** Delay of every call, in milliseconds. */
    slow: v.optional(count, 0),
    /** Number of further writes whose connection is reset after the write took effect. */
    loseWriteAnswers: v.optional(count, 0),
    /** Age of the state that reads of objects return, in milliseconds. */
    staleReadsMs: v.optional(count, 0),
    /** Age of the instance list, in milliseconds. */
    instanceListLagMs: v.optional(count, 0),
});

export type ObjectApiFaults = v.InferOutput<typeof faultsSchema>;
