/** Parses trace files. */
import { WaxwingdaleError } from "@waxwingdale/core";
import * as v from "valibot";
import { traceEventSchema, traceFormatVersion } from "./trace-event.js";
import type { TraceEvent } from "./trace-event.js";

/** An event and its location in a file. Line numbers start at 1. */
export interface TraceLine<Event extends TraceEvent = TraceEvent> {
    file: string;
    line: number;
    event: Event;
}

/** The file is not a trace of the supported version. */
export class TraceFormatError extends WaxwingdaleError {
    constructor(message: string) {
        super("TraceFormatError", message);
    }
}

/**
 * Parses the events of one file.
 * @throws TraceFormatError
 */
export function parseTrace(text: string, file: string): TraceLine[] {
    const lines: TraceLine[] = [];
    for (const [i, row] of text.split("\n").entries()) {
        if (row.trim() !== "") {
            lines.push({ file, line: i + 1, event: parseEvent(row, `${file}:${i + 1}`) });
        }
    }
    if (lines[0]?.event.type !== "trace") {
        throw new TraceFormatError(`${file}: the first line is not a trace header`);
    }
    return lines;
}

function parseEvent(row: string, location: string): TraceEvent {
    let value: unknown;
    try {
        value = JSON.parse(row);
    } catch {
        throw new TraceFormatError(`${location}: the line is not JSON`);
    }
    const { type, version } = (value ?? {}) as { type?: unknown; version?: unknown };
    if (type === "trace" && version !== traceFormatVersion) {
        throw new TraceFormatError(
            `${location}: the trace has version ${String(version)}, this release supports ${traceFormatVersion}`,
        );
    }
    const result = v.safeParse(traceEventSchema, value);
    if (!result.success) {
        const [issue] = result.issues;
        throw new TraceFormatError(`${location}: ${v.getDotPath(issue) ?? "event"}: ${issue.message}`);
    }
    return result.output;
}
