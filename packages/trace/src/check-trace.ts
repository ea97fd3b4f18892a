/** Replay of traces: checks the recorded decisions of any number of entries against the rules they must keep. */
import { checkCaps } from "./check-caps.js";
import { checkPlans } from "./check-plans.js";
import { checkRequests } from "./check-requests.js";
import type { TraceLine } from "./parse-trace.js";
import { pickLines } from "./trace-lines.js";
import type { LinesOf } from "./trace-lines.js";
import { TraceRule, createViolation } from "./violation.js";
import type { TraceViolation } from "./violation.js";

/**
 * Checks the lines of one or more traces, which it merges by time. The lines of one file must be in the order of the
 * file.
 */
export function checkTrace(lines: readonly TraceLine[]): TraceViolation[] {
    const merged = dropRepeatedRequests(lines).sort((a, b) => a.event.time - b.event.time);
    return [
        ...checkRequests(merged),
        ...checkCaps(merged),
        ...checkPlans(merged, lines),
        ...checkGenerations(lines),
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

/** A file holds the life of one process at most, in the order in which the process saw its events. */
function checkGenerations(lines: readonly TraceLine[]): TraceViolation[] {
    const last = new Map<string, LinesOf<"manifest">[number]>();
    return pickLines(lines, "manifest").flatMap(line => {
        const before = last.get(line.file);
        last.set(line.file, line);
        if (before === undefined || line.event.generation > before.event.generation) {
            return [];
        }
        const message = `entry ${line.event.entry} took generation ${line.event.generation} after ${before.event.generation}`;
        return [createViolation(TraceRule.GenerationOrder, message, before, line)];
    });
}
