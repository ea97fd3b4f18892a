/** Finds status lines where none belongs: their server has broken off what it was sending, and begun another response. */

const statusLineStart = /HTTP\/1\.[01] [1-5]\d\d/;
/** Length in bytes of what the expression matches. */
const startBytes = 12;

export function containsStatusLine(text: string): boolean {
    return statusLineStart.test(text);
}

export interface StatusLineFinder {
    /** Returns whether a status line begins in the bytes so far and ends in this chunk, or lies in it. */
    find(chunk: Buffer): boolean;
}

/** Creates a finder for bytes that come in pieces. */
export function createStatusLineFinder(): StatusLineFinder {
    let tail = "";
    return {
        find: chunk => {
            const text = tail + chunk.toString("latin1");
            tail = text.slice(1 - startBytes);
            return containsStatusLine(text);
        },
    };
}

/** Returns whether a status line begins in the body, and ends in it or in the bytes behind it. */
export function runsIntoResponse(body: Buffer, following: Buffer): boolean {
    const finder = createStatusLineFinder();
    return finder.find(body) || finder.find(following.subarray(0, startBytes - 1));
}
