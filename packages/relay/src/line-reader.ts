/** Reads lines from chunks of bytes that may end anywhere. */
import { InvalidResponseError } from "./invalid-response-error.js";

export interface LineReader {
    /**
     * Reads up to the end of the line. Returns the line without its terminator, or `undefined` if the chunk ends before.
     * @throws InvalidResponseError if the line is too long.
     */
    read(chunk: Buffer, offset: number): { line: string; nextOffset: number } | undefined;
}

const lineFeed = 0x0a;

/** Creates a reader of lines with at most `maxLength` bytes. */
export function createLineReader(maxLength: number): LineReader {
    let start = "";
    return {
        read: (chunk, offset) => {
            const lineEnd = chunk.indexOf(lineFeed, offset);
            const end = lineEnd < 0 ? chunk.length : lineEnd;
            if (start.length + end - offset > maxLength) {
                throw new InvalidResponseError(`a line exceeds ${maxLength} bytes`);
            }
            start += chunk.toString("latin1", offset, end);
            if (lineEnd < 0) {
                return undefined;
            }
            const line = start.endsWith("\r") ? start.slice(0, -1) : start;
            start = "";
            return { line, nextOffset: lineEnd + 1 };
        },
    };
}
