/** Limits the nesting depth of a document before the recursive parser reads it. */
import { createScanner } from "jsonc-parser";

/** A manifest has 7 levels; the parser overflows the stack at a few thousand. */
export const maxDepth = 64;

// Values of jsonc-parser's SyntaxKind, a const enum, which isolated modules cannot import.
const openBrace = 1;
const closeBrace = 2;
const openBracket = 3;
const closeBracket = 4;
const endOfFile = 17;

/** Returns the offset of the first bracket beyond `maxDepth`, or undefined. */
export function findExcessiveNesting(text: string): number | undefined {
    const scanner = createScanner(text, true);
    let depth = 0;
    for (;;) {
        const token: number = scanner.scan();
        if (token === endOfFile) {
            return undefined;
        }
        if (token === openBrace || token === openBracket) {
            depth++;
        } else if (token === closeBrace || token === closeBracket) {
            // Extra closing brackets must not allow deeper nesting after them.
            depth = Math.max(0, depth - 1);
        }
        if (depth > maxDepth) {
            return scanner.getTokenOffset();
        }
    }
}
