/** Bodies whose content follows from their length, so that a receiver can check every byte. */

const blockBytes = 64 * 1024;
/** A prime period, so that a missing or doubled piece of a round size shows. */
const period = 251;

/** Returns the byte at an offset of every pattern body. */
export function getPatternByte(offset: number): number {
    return offset % period;
}

const source = Buffer.alloc(blockBytes + period);
for (let i = 0; i < source.length; i++) {
    source[i] = getPatternByte(i);
}

/** Yields a pattern body of `length` bytes. */
export function* createPattern(length: number): Generator<Buffer> {
    for (let offset = 0; offset < length; offset += blockBytes) {
        const start = offset % period;
        yield source.subarray(start, start + Math.min(blockBytes, length - offset));
    }
}

/** Checks a body as it arrives. */
export interface PatternChecker {
    add(chunk: Uint8Array): void;
    /** Bytes so far, and whether all of them were right. */
    result(): { length: number; correct: boolean };
}

/** Creates a checker of a pattern body. */
export function createPatternChecker(): PatternChecker {
    let length = 0;
    let correct = true;
    return {
        add: chunk => {
            let done = 0;
            while (done < chunk.length) {
                const start = (length + done) % period;
                const size = Math.min(blockBytes, chunk.length - done);
                correct &&= source.compare(chunk, done, done + size, start, start + size) === 0;
                done += size;
            }
            length += chunk.length;
        },
        result: () => ({ length, correct }),
    };
}
