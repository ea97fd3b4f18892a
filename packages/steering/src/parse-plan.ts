/** Validates plans that are received from the store or from a peer. */
import * as v from "valibot";
import { PlanLimit, ShiftReason } from "./plan-types.js";
import type { PlanObject } from "./plan-types.js";

const rate = v.pipe(v.number(), v.minValue(0));
const sequenceNumber = v.pipe(v.number(), v.integer(), v.minValue(0));

/** Schema of a stored plan. */
export const planSchema = v.object({
    epoch: sequenceNumber,
    step: sequenceNumber,
    generation: sequenceNumber,
    routes: v.array(
        v.object({
            service: v.string(),
            home: v.string(),
            offeredPerSecond: rate,
            homePerSecond: rate,
            waitingPerSecond: rate,
            unplacedPerSecond: rate,
            shifts: v.array(
                v.object({
                    region: v.string(),
                    perSecond: rate,
                    share: rate,
                    reason: v.enum(ShiftReason),
                    reducedBy: v.optional(v.enum(PlanLimit)),
                }),
            ),
            bounds: v.array(v.object({ region: v.string(), limit: v.enum(PlanLimit) })),
            held: v.boolean(),
        }),
    ),
});

/** Returns the value as a plan, or undefined if it is not a valid plan. */
export function parsePlan(value: unknown): PlanObject | undefined {
    const result = v.safeParse(planSchema, value);
    return result.success ? result.output : undefined;
}
