/** What a check of traces finds. */
import type { TraceLine } from "./parse-trace.js";

export enum TraceRule {
    /** An answer "not run" although an attempt may have run. */
    OutcomeNotRun = "outcome-not-run",
    /** Requests with one idempotency key ran, or may have run, more than once. */
    KeyRanTwice = "key-ran-twice",
    /** More shifted requests of a pair of regions in one second than its cap allows. */
    ShiftCap = "shift-cap",
    /** The planner's input gives another plan than the recorded one. */
    PlanDiffers = "plan-differs",
    /** An entry applied a plan after a newer one. */
    PlanOrder = "plan-order",
    /** A plan puts more load on a region than its servers can carry. */
    Overplanned = "overplanned",
    /** A request went to a server too long after its drain was known. */
    LateForDrain = "late-for-drain",
    /** The generation of the manifest went back at an entry. */
    GenerationOrder = "generation-order",
    /** The traces lack what a check needs. */
    Incomplete = "incomplete",
}

export interface TraceViolation {
    rule: TraceRule;
    message: string;
    /** Lines concerned, as `file:line`. */
    lines: string[];
}

export function createViolation(
    rule: TraceRule,
    message: string,
    ...lines: readonly TraceLine[]
): TraceViolation {
    return { rule, message, lines: lines.map(({ file, line }) => `${file}:${line}`) };
}
