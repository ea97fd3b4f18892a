/** Source positions of the values in a manifest. */
import { findNodeAtLocation } from "jsonc-parser";
import type { Node } from "jsonc-parser";
import type { JsonPath } from "./json-path.js";
import { createProblem } from "./problem.js";
import type { Finding, Problem } from "./problem.js";

/** Maps paths and offsets in a document to lines and columns of its file. */
export interface ManifestSource {
    readonly fileName: string;
    /** Creates a problem at a value, or at the nearest enclosing value that is present in the file. */
    problemAt(path: JsonPath, finding: Finding): Problem;
    /** Creates a problem at an offset in the text. */
    problemAtOffset(offset: number, path: JsonPath, finding: Finding): Problem;
}

/** Creates the source for a text with the syntax tree `root`. */
export function createManifestSource(fileName: string, text: string, root: Node | undefined): ManifestSource {
    const lineStarts = findLineStarts(text);
    const problemAtOffset = (offset: number, path: JsonPath, finding: Finding) => {
        const { line, column } = toPosition(lineStarts, Math.min(Math.max(offset, 0), text.length));
        return createProblem(finding, path, fileName, line, column);
    };
    return {
        fileName,
        problemAtOffset,
        problemAt: (path, finding) => problemAtOffset(findOffset(root, path), path, finding),
    };
}

/** Creates the source for a manifest without a file, such as the one in the store. */
export function createDetachedSource(fileName: string): ManifestSource {
    return createManifestSource(fileName, "", undefined);
}

function findOffset(root: Node | undefined, path: JsonPath): number {
    for (let length = path.length; root !== undefined && length > 0; length--) {
        const node = findNodeAtLocation(root, path.slice(0, length));
        if (node !== undefined) {
            return node.offset;
        }
    }
    return root?.offset ?? 0;
}

function findLineStarts(text: string): number[] {
    const starts = [0];
    for (const match of text.matchAll(/\r\n|\n|\r/g)) {
        starts.push(match.index + match[0].length);
    }
    return starts;
}

function toPosition(lineStarts: readonly number[], offset: number): { line: number; column: number } {
    let low = 0;
    let high = lineStarts.length - 1;
    while (low < high) {
        const middle = (low + high + 1) >> 1;
        if (lineStarts[middle]! <= offset) {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    return { line: low + 1, column: offset - lineStarts[low]! + 1 };
}
