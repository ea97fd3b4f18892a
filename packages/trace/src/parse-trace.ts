/** Reading of trace files. */
import { WaxwingdaleError } from "@waxwingdale/core";
import * as v from "valibot";
import { traceEventSchema, traceFormatVersion } from "./trace-event.js";
import type { TraceEvent } from "./trace-event.js";

/** An event with its place. Lines count from 1. */
export interface TraceLine<Event extends TraceEvent = TraceEvent> {
    file: string;
    line: number;
    event: Event;
}

/** A file is not a trace of this version. */
export class TraceFormatError extends WaxwingdaleError {
    constructor(message: string) {
        super("TraceFormatError", message);
    }
}

/**
 * Reads the events of one file.
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
        throw new TraceFormatError(`${file}: the first line is not the head of a trace`);
    }
    return lines;
}

function parseEvent(row: string, place: string): TraceEvent {
    let value: unknown;
    try {
        value = JSON.parse(row);
    } catch {
        throw new TraceFormatError(`${place}: the line is not JSON`);
    }
    const { type, version } = (value ?? {}) as { type?: unknown; version?: unknown };
    if (type === "trace" && version !== traceFormatVersion) {
        throw new TraceFormatError(
            `${place}: the trace has version ${String(version)}, this release reads ${traceFormatVersion}`,
        );
    }
    const result = v.safeParse(traceEventSchema, value);
    if (!result.success) {
        const [issue] = result.issues;
        throw new TraceFormatError(`${place}: ${v.getDotPath(issue) ?? "event"}: ${issue.message}`);
    }
    return result.output;
}
