/** Faults of the object API that a test switches on. */
import * as v from "valibot";

const count = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Body of `PUT /control/faults`. Fields that are left out are switched off. */
export const faultsSchema = v.strictObject({
    /** Resets the connection of each call and of each waiting watch. */
    down: v.optional(v.boolean(), false),
    /** Delay of each call in milliseconds. */
    slow: v.optional(count, 0),
    /** Number of coming writes that take effect and whose connection is then reset. */
    loseWriteAnswers: v.optional(count, 0),
    /** Age of the state that reads of objects answer from, in milliseconds. */
    staleReadsMs: v.optional(count, 0),
    /** Age of the list of instances, in milliseconds. */
    instanceListLagMs: v.optional(count, 0),
});

export type ObjectApiFaults = v.InferOutput<typeof faultsSchema>;
