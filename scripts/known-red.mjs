// Reads KNOWN-RED.txt: which tests of which files may fail.

/** Stands for all tests of a file. */
export const allTests = "all";

/**
 * Parses the entries. The first line of an entry is the path of a test file; each of its lines `test: NAME` names one
 * test, or all.
 * @returns {Map<string, string[]>} names by file
 */
export function parseKnownRed(text) {
    const known = new Map();
    let file;
    for (const line of text.split("\n")) {
        const name = /^ {2}test: (.+)$/.exec(line)?.[1].trim();
        if (/^\S+\.test\.ts$/.test(line)) {
            file = line;
            known.set(file, known.get(file) ?? []);
        } else if (name !== undefined && file !== undefined) {
            known.get(file).push(name);
        }
    }
    return known;
}

/** Name of the parent of all tests of a file. A test whose parent matches a pattern is run as well. */
const rootName = "<root>";

/** Returns a pattern that matches exactly the given test names, or with `isInverted` exactly all others. */
export function createNamePattern(names, isInverted = false) {
    const excluded = isInverted ? [rootName] : [];
    const alternatives = [...names, ...excluded]
        .map(name => name.replace(/[.*+?^${}()|[\]\\]/g, "\\$&"))
        .join("|");
    return isInverted ? `^(?!(?:${alternatives})$)` : `^(?:${alternatives})$`;
}
