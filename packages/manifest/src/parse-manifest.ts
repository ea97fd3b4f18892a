/** Parses the text of a manifest and reports all problems of its syntax and structure. */
import { maxObjectBytes } from "@waxwingdale/core";
import { getLocation, parseTree } from "jsonc-parser";
import type { Node, ParseError } from "jsonc-parser";
import * as v from "valibot";
import { checkManifest } from "./check-manifest.js";
import { buildValue } from "./key-check.js";
import { manifestSchema } from "./manifest-schema.js";
import { createManifestSource } from "./manifest-source.js";
import type { ManifestSource } from "./manifest-source.js";
import { findExcessiveNesting, maxDepth } from "./nesting-check.js";
import { ProblemCode, hasErrors } from "./problem.js";
import type { Finding, Problem } from "./problem.js";
import { describeIssue, getIssuePath, isKeyIssue } from "./schema-issue.js";
import { describeSyntaxError, isRecoverableError } from "./syntax-error.js";
import type { Manifest } from "./types.js";

/** Maximum number of reported syntax errors: one wrong bracket can cause thousands, each located by a full scan. */
const maxSyntaxProblems = 50;

export interface ParsedManifest {
    /** The manifest with defaults filled in; undefined if there is any problem. */
    manifest: Manifest | undefined;
    /** The manifest recovered from a text with syntax or key problems, so that `checkManifest` can check the rest. */
    recoveredManifest: Manifest | undefined;
    /** Problems of syntax and structure; `checkManifest` reports semantic problems. */
    problems: Problem[];
    /** Source positions, to be passed to `checkManifest`. */
    source: ManifestSource;
}

export interface ReadManifestResult {
    manifest: Manifest | undefined;
    /** All errors and warnings, in file order. */
    problems: Problem[];
}

/**
 * Parses a manifest in JSON with comments; trailing commas are accepted. Never throws. Reports all problems in
 * one pass, except that the structure is not checked if brackets, quotes or colons are wrong.
 */
export function parseManifest(text: string, fileName: string): ParsedManifest {
    const emptySource = createManifestSource(fileName, text, undefined);
    const byteLength = Buffer.byteLength(text);
    if (byteLength > maxObjectBytes) {
        return reject(emptySource, 0, {
            code: ProblemCode.TooLarge,
            message: `the file has ${byteLength} bytes`,
            expected: `at most ${maxObjectBytes} bytes, the size limit of an object in the store`,
            fix: "merge client blocks or remove comments",
        });
    }
    const excessiveOffset = findExcessiveNesting(text);
    if (excessiveOffset !== undefined) {
        return reject(emptySource, excessiveOffset, {
            code: ProblemCode.TooDeep,
            message: "the value is nested too deeply",
            expected: `at most ${maxDepth} levels of brackets`,
            fix: "remove the extra brackets",
        });
    }
    const errors: ParseError[] = [];
    const root = parseTree(text, errors, { allowTrailingComma: true, disallowComments: false });
    const source = createManifestSource(fileName, text, root);
    const problems = describeSyntax(text, errors, source);
    if (root === undefined || !errors.every(isRecoverableError)) {
        return { manifest: undefined, recoveredManifest: undefined, problems, source };
    }
    const recoveredManifest = checkStructure(root, source, problems);
    return {
        manifest: problems.length === 0 ? recoveredManifest : undefined,
        recoveredManifest,
        problems,
        source,
    };
}

/** Parses a manifest and runs the semantic checks. The manifest is undefined if there is any error. */
export function readManifest(text: string, fileName: string): ReadManifestResult {
    const { recoveredManifest, problems, source } = parseManifest(text, fileName);
    const allProblems =
        recoveredManifest === undefined
            ? problems
            : [...problems, ...checkManifest(recoveredManifest, source)];
    allProblems.sort((a, b) => a.line - b.line || a.column - b.column);
    return { manifest: hasErrors(allProblems) ? undefined : recoveredManifest, problems: allProblems };
}

function describeSyntax(text: string, errors: readonly ParseError[], source: ManifestSource): Problem[] {
    // The parser may report one extra comma both as a missing key and as a missing value.
    const distinct = errors.filter((err, i) => i === 0 || errors[i - 1]!.offset !== err.offset);
    return distinct.slice(0, maxSyntaxProblems).map(err => {
        const path = getLocation(text, err.offset).path.filter(segment => segment !== "");
        return source.problemAtOffset(err.offset, path, describeSyntaxError(text, err));
    });
}

function reject(source: ManifestSource, offset: number, finding: Finding): ParsedManifest {
    const problems = [source.problemAtOffset(offset, [], finding)];
    return { manifest: undefined, recoveredManifest: undefined, problems, source };
}

/** Adds the problems of keys and types. Returns the manifest if its types match the schema. */
function checkStructure(root: Node, source: ManifestSource, problems: Problem[]): Manifest | undefined {
    const value = buildValue(root, manifestSchema, source, problems);
    const result = v.safeParse(manifestSchema, value);
    // checkManifest reports limits and formats.
    const typeIssues = (result.issues ?? []).filter(issue => issue.kind === "schema" && !isKeyIssue(issue));
    problems.push(...typeIssues.map(issue => source.problemAt(getIssuePath(issue), describeIssue(issue))));
    return result.typed ? result.output : undefined;
}
