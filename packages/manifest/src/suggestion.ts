/** Suggestions for misspelled names. */

/** Maximum length of a compared name, since the time is proportional to the product of both lengths. */
const maxComparedLength = 64;

/** Returns the candidate that is most similar to `name`, or undefined if none is similar. */
export function suggestName(name: string, candidates: readonly string[]): string | undefined {
    if (name.length > maxComparedLength) {
        return undefined;
    }
    let best: string | undefined;
    let bestDistance = Math.max(1, Math.floor(name.length / 3)) + 1;
    for (const candidate of candidates) {
        const distance = getEditDistance(name.toLowerCase(), candidate.toLowerCase());
        if (distance < bestDistance) {
            best = candidate;
            bestDistance = distance;
        }
    }
    return best;
}

/** Returns the Levenshtein distance between two strings. */
function getEditDistance(a: string, b: string): number {
    let previous = Array.from({ length: b.length + 1 }, (_, i) => i);
    for (let i = 1; i <= a.length; i++) {
        const row = [i];
        for (let j = 1; j <= b.length; j++) {
            const replaced = previous[j - 1]! + (a[i - 1] === b[j - 1] ? 0 : 1);
            row.push(Math.min(replaced, previous[j]! + 1, row[j - 1]! + 1));
        }
        previous = row;
    }
    return previous[b.length]!;
}
