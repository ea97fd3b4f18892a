/** Deterministic request and response bodies, so that a receiver can verify every byte by its offset. */

const blockBytes = 64 * 1024;
/** Prime, so that a missing or duplicated chunk is detected even if its size is a round number. */
const patternPeriod = 251;

/** Returns the expected byte at an offset of a pattern body. */
export function getPatternByte(offset: number): number {
    return offset % patternPeriod;
}

const patternBuffer = Buffer.alloc(blockBytes + patternPeriod);
for (let i = 0; i < patternBuffer.length; i++) {
    patternBuffer[i] = getPatternByte(i);
}

/** Yields a pattern body of `length` bytes. */
export function* createPattern(length: number): Generator<Buffer> {
    for (let offset = 0; offset < length; offset += blockBytes) {
        const start = offset % patternPeriod;
        yield patternBuffer.subarray(start, start + Math.min(blockBytes, length - offset));
    }
}

/** Verifies a pattern body incrementally. */
export interface PatternChecker {
    add(chunk: Uint8Array): void;
    /** Returns the number of bytes received so far and whether all of them matched the pattern. */
    result(): { length: number; correct: boolean };
}

export function createPatternChecker(): PatternChecker {
    let length = 0;
    let correct = true;
    return {
        add: chunk => {
            let done = 0;
            while (done < chunk.length) {
                const start = (length + done) % patternPeriod;
                const size = Math.min(blockBytes, chunk.length - done);
                correct &&= patternBuffer.compare(chunk, done, done + size, start, start + size) === 0;
                done += size;
            }
            length += chunk.length;
        },
        result: () => ({ length, correct }),
    };
}
