/** Non-blocking log output to standard output. */
import { fstatSync } from "node:fs";
import { Socket } from "node:net";
import type { Clock } from "./clock.js";

export interface LogOutput {
    /** Buffers a line, or drops it if the consumer is too slow and the buffer is full. */
    readonly write: (line: string) => void;
    /** Writes the buffered lines. */
    readonly flush: () => void;
}

export interface LogOutputOptions {
    clock: Clock;
    /** @default standard output */
    stream?: { write(text: string): unknown; readonly writableLength: number };
    /**
     * Maximum number of buffered bytes. Lines beyond it are dropped and counted.
     * @default 262_144
     */
    maxBufferedBytes?: number;
    /**
     * Time in milliseconds for which lines are batched, since each write costs a system call.
     * @default 50
     */
    flushDelayMs?: number;
}

const stdoutFd = 1;

/** Creates the output. After lines were dropped, their number is logged once the consumer has caught up. */
export function createLogOutput(options: LogOutputOptions): LogOutput {
    const { clock } = options;
    const stream = options.stream ?? openStandardOutput();
    const maxBufferedBytes = options.maxBufferedBytes ?? 262_144;
    const flushDelayMs = options.flushDelayMs ?? 50;
    let buffer = "";
    let dropped = 0;
    let isScheduled = false;

    const flush = () => {
        isScheduled = false;
        if (dropped > 0 && stream.writableLength < maxBufferedBytes / 2) {
            buffer += `time=${new Date(clock.wallTime()).toISOString()} level=warn event=log-lines-dropped count=${dropped}\n`;
            dropped = 0;
        }
        if (buffer !== "") {
            stream.write(buffer);
            buffer = "";
        }
    };

    return {
        write: line => {
            if (stream.writableLength + buffer.length > maxBufferedBytes) {
                dropped += 1;
            } else {
                buffer += `${line}\n`;
            }
            if (!isScheduled) {
                isScheduled = true;
                clock.setTimer(flushDelayMs, flush);
            }
        },
        flush,
    };
}

/** `process.stdout` writes to pipes synchronously and would block on a slow consumer; a socket does not. */
function openStandardOutput(): { write(text: string): unknown; readonly writableLength: number } {
    const stat = fstatSync(stdoutFd);
    if (!stat.isFIFO() && !stat.isSocket()) {
        return process.stdout;
    }
    const socket = new Socket({ fd: stdoutFd, readable: false, writable: true });
    // A consumer that closes the pipe must not crash the process.
    socket.on("error", () => undefined);
    return socket;
}
