/** Recorder of a running entry: a ring of encoded events, bounded by bytes, that is off unless switched on. */
import type { Clock, Timer } from "@waxwingdale/core";
import { formatTraceEvent, traceFormatVersion } from "./trace-event.js";
import type { TraceEvent } from "./trace-event.js";

export interface TraceRecorderOptions {
    entry: string;
    region: string;
    clock: Clock;
    /**
     * Memory for encoded events in bytes. The oldest events are dropped when it is full.
     * @default 16 MiB
     */
    capacityBytes?: number;
}

export interface TraceRecorder {
    /** Drops what was recorded and records for a time. */
    start(seconds: number): void;
    /** Callers check this before they build an event, so that a recorder that is off costs nothing. */
    isRecording(): boolean;
    /** Keeps an event; does nothing while the recorder is off. */
    record(event: TraceEvent): void;
    /** Calls `listener` at each start, to record the state that the later events build on. */
    onStart(listener: () => void): void;
    /** Events of the last recording in the order of their record, the head first. */
    lines(): string[];
    dropped(): number;
    close(): void;
}

const defaultCapacityBytes = 16 * 1024 * 1024;
/** Longest recording, so that one that was forgotten ends. */
export const maxTraceSeconds = 3600;

interface RecordedLine {
    text: string;
    bytes: number;
    isManifest: boolean;
}

/** Creates the recorder of one entry. */
export function createTraceRecorder(options: TraceRecorderOptions): TraceRecorder {
    const { entry, region, clock } = options;
    const capacityBytes = options.capacityBytes ?? defaultCapacityBytes;
    const listeners: (() => void)[] = [];
    let lines: RecordedLine[] = [];
    let first = 0;
    let bytes = 0;
    let dropped = 0;
    let startedAt = 0;
    /** The last manifest that left the ring: without it, later requests and plans cannot be checked. */
    let droppedManifest: string | undefined;
    let timer: Timer | undefined;

    const stop = () => {
        timer?.cancel();
        timer = undefined;
    };

    const dropOldest = () => {
        const line = lines[first]!;
        bytes -= line.bytes;
        first++;
        if (line.isManifest) {
            droppedManifest = line.text;
        } else {
            dropped++;
        }
        if (first > lines.length / 2) {
            lines = lines.slice(first);
            first = 0;
        }
    };

    return {
        start: seconds => {
            stop();
            lines = [];
            first = 0;
            bytes = 0;
            dropped = 0;
            droppedManifest = undefined;
            startedAt = clock.wallTime();
            timer = clock.setTimer(Math.min(seconds, maxTraceSeconds) * 1000, stop);
            for (const listener of listeners) {
                listener();
            }
        },
        isRecording: () => timer !== undefined,
        record: event => {
            if (timer === undefined) {
                return;
            }
            const text = formatTraceEvent(event);
            const size = Buffer.byteLength(text) + 1;
            lines.push({ text, bytes: size, isManifest: event.type === "manifest" });
            bytes += size;
            while (bytes > capacityBytes) {
                dropOldest();
            }
        },
        onStart: listener => void listeners.push(listener),
        lines: () => {
            const head = formatTraceEvent({
                type: "trace",
                entry,
                time: startedAt,
                version: traceFormatVersion,
                region,
                dropped,
            });
            const kept = lines.slice(first).map(({ text }) => text);
            return droppedManifest === undefined ? [head, ...kept] : [head, droppedManifest, ...kept];
        },
        dropped: () => dropped,
        close: stop,
    };
}
