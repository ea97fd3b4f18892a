/** Standard output of a process, written without ever waiting for its reader. */
import { fstatSync } from "node:fs";
import { Socket } from "node:net";
import type { Clock } from "./clock.js";

export interface LogOutput {
    /** Writes a line, or drops it while the reader is too slow. */
    readonly write: (line: string) => void;
    /** Writes what is still held back. */
    readonly flush: () => void;
}

export interface LogOutputOptions {
    clock: Clock;
    /** @default standard output */
    stream?: { write(text: string): unknown; readonly writableLength: number };
    /**
     * Bytes that may wait for the reader. Lines beyond it are dropped and counted.
     * @default 262_144
     */
    maxBufferedBytes?: number;
    /**
     * Time in milliseconds for which lines are collected, since each write costs a system call.
     * @default 50
     */
    flushDelayMs?: number;
}

const standardOutput = 1;

/** Creates the output. A line with the number of dropped lines follows once the reader has caught up. */
export function createLogOutput(options: LogOutputOptions): LogOutput {
    const { clock } = options;
    const stream = options.stream ?? openStandardOutput();
    const maxWaitingBytes = options.maxBufferedBytes ?? 262_144;
    const collectMs = options.flushDelayMs ?? 50;
    let collected = "";
    let dropped = 0;
    let isScheduled = false;

    const flush = () => {
        isScheduled = false;
        if (dropped > 0 && stream.writableLength < maxWaitingBytes / 2) {
            collected += `time=${new Date(clock.wallTime()).toISOString()} level=warn event=log-lines-dropped count=${dropped}\n`;
            dropped = 0;
        }
        if (collected !== "") {
            stream.write(collected);
            collected = "";
        }
    };

    return {
        write: line => {
            if (stream.writableLength + collected.length > maxWaitingBytes) {
                dropped += 1;
            } else {
                collected += `${line}\n`;
            }
            if (!isScheduled) {
                isScheduled = true;
                clock.setTimer(collectMs, flush);
            }
        },
        flush,
    };
}

/** Node writes to a pipe synchronously through `process.stdout`, and so waits for a slow reader. A socket does not. */
function openStandardOutput(): { write(text: string): unknown; readonly writableLength: number } {
    const stat = fstatSync(standardOutput);
    if (!stat.isFIFO() && !stat.isSocket()) {
        return process.stdout;
    }
    const socket = new Socket({ fd: standardOutput, readable: false, writable: true });
    // A reader that has gone must not end the process.
    socket.on("error", () => undefined);
    return socket;
}
