/** Records the events of a running entry in a ring buffer of limited size, for a limited time after each start. */
import type { Clock, Timer } from "@waxwingdale/core";
import { formatTraceEvent, traceFormatVersion } from "./trace-event.js";
import type { TraceEvent } from "./trace-event.js";

export interface TraceRecorderOptions {
    entry: string;
    region: string;
    clock: Clock;
    /**
     * Size of the buffer for encoded events, in bytes. The oldest events are dropped when it is full.
     * @default 16 MiB
     */
    capacityBytes?: number;
}

export interface TraceRecorder {
    /** Discards the previous recording and records for the given time. */
    start(seconds: number): void;
    /** Callers check this before they create an event, so that a stopped recorder has no overhead. */
    isRecording(): boolean;
    /** Adds an event. Does nothing while the recorder is stopped. */
    record(event: TraceEvent): void;
    /** Calls `listener` at each start, so that it can record the state to which later events refer. */
    onStart(listener: () => void): void;
    /** Returns the lines of the latest recording: the header, then the events in the order recorded. */
    lines(): string[];
    dropped(): number;
    close(): void;
}

const defaultCapacityBytes = 16 * 1024 * 1024;
/** Maximum duration of a recording, so that a forgotten one ends. */
export const maxTraceSeconds = 3600;

interface RecordedLine {
    text: string;
    bytes: number;
    isManifest: boolean;
}

export function createTraceRecorder(options: TraceRecorderOptions): TraceRecorder {
    const { entry, region, clock } = options;
    const capacityBytes = options.capacityBytes ?? defaultCapacityBytes;
    const listeners: (() => void)[] = [];
    let lines: RecordedLine[] = [];
    let firstIndex = 0;
    let bytes = 0;
    let dropped = 0;
    let startedAt = 0;
    /** Last manifest dropped from the buffer. Kept because later requests and plans cannot be checked without it. */
    let droppedManifest: string | undefined;
    let timer: Timer | undefined;

    const stop = () => {
        timer?.cancel();
        timer = undefined;
    };

    const dropOldest = () => {
        const line = lines[firstIndex]!;
        bytes -= line.bytes;
        firstIndex++;
        if (line.isManifest) {
            droppedManifest = line.text;
        } else {
            dropped++;
        }
        if (firstIndex > lines.length / 2) {
            lines = lines.slice(firstIndex);
            firstIndex = 0;
        }
    };

    return {
        start: seconds => {
            stop();
            lines = [];
            firstIndex = 0;
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
            const header = formatTraceEvent({
                type: "trace",
                entry,
                time: startedAt,
                version: traceFormatVersion,
                region,
                dropped,
            });
            const kept = lines.slice(firstIndex).map(({ text }) => text);
            return droppedManifest === undefined ? [header, ...kept] : [header, droppedManifest, ...kept];
        },
        dropped: () => dropped,
        close: stop,
    };
}
