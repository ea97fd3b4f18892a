/** Replay of traces: checks the recorded decisions of any number of entries against the rules they must keep. */
import { checkShiftCaps } from "./check-shift-caps.js";
import { checkAppliedPlans, checkPlans } from "./check-plans.js";
import { checkRequests } from "./check-requests.js";
import type { TraceLine } from "./parse-trace.js";
import { pickLines, splitRecordings } from "./trace-lines.js";
import { TraceRule, createViolation } from "./violation.js";
import type { TraceViolation } from "./violation.js";

/**
 * Checks the lines of one or more traces, which it merges by time. The lines of each file must be together and in
 * the order of the file.
 */
export function checkTrace(lines: readonly TraceLine[]): TraceViolation[] {
    const merged = dropRepeatedRequests(lines).sort((a, b) => a.event.time - b.event.time);
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

/** Two traces of one entry may overlap; each request counts once. */
function dropRepeatedRequests(lines: readonly TraceLine[]): TraceLine[] {
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

/** A recording holds events of one process in the order in which the process saw them. */
function checkGenerations(recording: readonly TraceLine[]): TraceViolation[] {
    const lines = pickLines(recording, "manifest");
    return lines.flatMap((line, i) => {
        const before = lines[i - 1];
        if (before === undefined || line.event.generation > before.event.generation) {
            return [];
        }
        const message = `entry ${line.event.entry} took generation ${line.event.generation} after ${before.event.generation}`;
        return [createViolation(TraceRule.GenerationOrder, message, before, line)];
    });
}
