/** Filters and splits the lines of traces. */
import type { TraceLine } from "./parse-trace.js";
import type { TraceEvent } from "./trace-event.js";

/** Lines with events of one type. */
export type LinesOf<Type extends TraceEvent["type"]> = TraceLine<Extract<TraceEvent, { type: Type }>>[];

/** Returns the lines with events of one type, in order. */
export function pickLines<Type extends TraceEvent["type"]>(
    lines: readonly TraceLine[],
    type: Type,
): LinesOf<Type> {
    return lines.filter(({ event }) => event.type === type) as LinesOf<Type>;
}

/** Splits lines into recordings, each of which starts with a header. */
export function splitRecordings(lines: readonly TraceLine[]): TraceLine[][] {
    const recordings: TraceLine[][] = [];
    for (const line of lines) {
        if (line.event.type === "trace" || recordings.length === 0) {
            recordings.push([]);
        }
        recordings.at(-1)!.push(line);
    }
    return recordings;
}
