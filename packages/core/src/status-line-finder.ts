/** Finds status lines where none belongs: their server has broken off what it was sending, and begun another response. */

const statusLineStart = /HTTP\/1\.[01] [1-5]\d\d/;
/** What every status line begins with. */
const version = Buffer.from("HTTP/1.", "latin1");
/** Beginning of a status line, as long as what the expression matches. */
const example = "HTTP/1.1 200";
/** Number of bytes that tell whether a status line begins with them. */
export const statusLineStartBytes = example.length;
/** The beginning of a status line, from its version on, or a whole one without its line end, at the end of a text. */
const unfinishedStatusLine = /HTTP\/1\.(?:[01](?: (?:[1-5]\d{0,2}(?: [^\r\n]*)?)?)?)?\r?$/;
/** Number of bytes at the end of a body that are searched for an unfinished status line. */
const maxStatusLineBytes = 256;

export function containsStatusLine(text: string): boolean {
    return statusLineStart.test(text);
}

/** Whether the bytes are the beginning of a status line, or begin with one. */
export function beginsStatusLine(bytes: Buffer): boolean {
    const start = bytes.toString("latin1", 0, example.length);
    return statusLineStart.test(start + example.slice(start.length));
}

/** Whether the bytes end in a status line that has no line end. */
export function endsInStatusLine(bytes: Buffer): boolean {
    return unfinishedStatusLine.test(
        bytes.toString("latin1", Math.max(0, bytes.length - maxStatusLineBytes)),
    );
}

/** Returns the offsets of status lines, at most `max`. */
export function findStatusLines(bytes: Buffer, max: number): number[] {
    const offsets: number[] = [];
    let offset = bytes.indexOf(version);
    while (offset >= 0 && offsets.length < max) {
        if (containsStatusLine(bytes.toString("latin1", offset, offset + example.length))) {
            offsets.push(offset);
        }
        offset = bytes.indexOf(version, offset + 1);
    }
    return offsets;
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
            tail = text.slice(1 - example.length);
            return containsStatusLine(text);
        },
    };
}

/** Returns whether a status line begins in the body, and ends in it or in the bytes behind it. */
export function runsIntoResponse(body: Buffer, following: Buffer): boolean {
    const finder = createStatusLineFinder();
    return finder.find(body) || finder.find(following.subarray(0, example.length - 1));
}
