/** Rules for traces, and violations of them. */
import type { TraceLine } from "./parse-trace.js";

export enum TraceRule {
    /** A request was reported as not run although an attempt may have run. */
    OutcomeNotRun = "outcome-not-run",
    /** Requests with the same idempotency key ran, or may have run, more than once. */
    KeyRanTwice = "key-ran-twice",
    /** More requests were shifted from one region to another within one second than the cap allows. */
    ShiftCap = "shift-cap",
    /** Replaying the planner's input gives a plan that differs from the recorded one. */
    PlanDiffers = "plan-differs",
    /** An entry applied a plan after a newer one, or different plans have the same position. */
    PlanOrder = "plan-order",
    /** A plan assigns more load to a region than its servers can handle. */
    Overplanned = "overplanned",
    /** A request was sent to a server too long after its drain was known. */
    LateForDrain = "late-for-drain",
    /** An entry applied a manifest generation that is not newer than the previous one. */
    GenerationOrder = "generation-order",
    /** The traces are missing data that a check needs. */
    Incomplete = "incomplete",
}

export interface TraceViolation {
    rule: TraceRule;
    message: string;
    /** Locations of the lines involved, as `file:line`. */
    lines: string[];
}

export function createViolation(
    rule: TraceRule,
    message: string,
    ...lines: readonly TraceLine[]
): TraceViolation {
    return { rule, message, lines: lines.map(({ file, line }) => `${file}:${line}`) };
}
