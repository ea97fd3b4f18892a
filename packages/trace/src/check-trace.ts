/** Checks the decisions that one or more entries recorded in traces against the rules in `TraceRule`. */
import { checkAppliedPlans, checkPlans } from "./check-plans.js";
import { checkRequests } from "./check-requests.js";
import { checkShiftCaps } from "./check-shift-caps.js";
import type { TraceLine } from "./parse-trace.js";
import { pickLines, splitRecordings } from "./trace-lines.js";
import { TraceRule, createViolation } from "./violation.js";
import type { TraceViolation } from "./violation.js";

/**
 * Checks the lines of one or more traces, merged by time. The lines of each file must be contiguous and in their
 * original order.
 */
export function checkTrace(lines: readonly TraceLine[]): TraceViolation[] {
    const merged = removeDuplicateRequests(lines).sort((a, b) => a.event.time - b.event.time);
    return [
        ...checkRequests(merged),
        ...checkShiftCaps(merged),
        ...checkPlans(merged),
        ...splitRecordings(lines).flatMap(recording => [
            ...checkAppliedPlans(recording),
            ...checkGenerations(recording),
        ]),
    ];
}

/** Drops duplicate requests, since two traces of the same entry may overlap. */
function removeDuplicateRequests(lines: readonly TraceLine[]): TraceLine[] {
    const seen = new Set<string>();
    return lines.filter(({ event }) => {
        if (event.type !== "request") {
            return true;
        }
        const key = `${event.entry}\n${event.id}`;
        const isNew = !seen.has(key);
        seen.add(key);
        return isNew;
    });
}

/** Checks that generations increase within a recording, which has the events of one process in order. */
function checkGenerations(recording: readonly TraceLine[]): TraceViolation[] {
    const lines = pickLines(recording, "manifest");
    return lines.flatMap((line, i) => {
        const previousLine = lines[i - 1];
        if (previousLine === undefined || line.event.generation > previousLine.event.generation) {
            return [];
        }
        const message = `entry ${line.event.entry} applied generation ${line.event.generation} after ${previousLine.event.generation}`;
        return [createViolation(TraceRule.GenerationOrder, message, previousLine, line)];
    });
}
