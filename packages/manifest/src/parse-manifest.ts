/** Reads the text of a manifest and reports everything that is wrong with its syntax and structure. */
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

/** Syntax errors that are reported; one wrong bracket can cause thousands, and finding each path reads the whole text. */
const maxSyntaxProblems = 50;

export interface ParsedManifest {
    /** The manifest with defaults filled in; undefined when there is any problem. */
    manifest: Manifest | undefined;
    /** The manifest as far as `checkManifest` can check it although there are problems of syntax or keys. */
    recoveredManifest: Manifest | undefined;
    /** Problems of syntax and structure; `checkManifest` finds those of meaning. */
    problems: Problem[];
    /** Positions for `checkManifest`. */
    source: ManifestSource;
}

export interface ReadManifestResult {
    manifest: Manifest | undefined;
    /** All errors and warnings in the order of the file. */
    problems: Problem[];
}

/**
 * Parses a manifest in JSON with comments; trailing commas are accepted. Never throws. Every problem is reported at
 * once, except that the structure is not checked while brackets, quotes or colons are wrong.
 */
export function parseManifest(text: string, fileName: string): ParsedManifest {
    const plain = createManifestSource(fileName, text, undefined);
    const byteLength = Buffer.byteLength(text);
    if (byteLength > maxObjectBytes) {
        return reject(plain, 0, {
            code: ProblemCode.TooLarge,
            message: `the file has ${byteLength} bytes`,
            expected: `at most ${maxObjectBytes} bytes, the limit of an object in the store`,
            fix: "merge client blocks or remove comments",
        });
    }
    const tooDeep = findExcessiveNesting(text);
    if (tooDeep !== undefined) {
        return reject(plain, tooDeep, {
            code: ProblemCode.TooDeep,
            message: "the value is nested too deeply",
            expected: `at most ${maxDepth} levels of brackets`,
            fix: "remove the surplus brackets",
        });
    }
    const errors: ParseError[] = [];
    const root = parseTree(text, errors, { allowTrailingComma: true, disallowComments: false });
    const source = createManifestSource(fileName, text, root);
    const problems = describeSyntax(text, errors, source);
    if (root === undefined || !errors.every(isRecoverableError)) {
        return { manifest: undefined, recoveredManifest: undefined, problems, source };
    }
    const draft = checkStructure(root, source, problems);
    return {
        manifest: problems.length === 0 ? draft : undefined,
        recoveredManifest: draft,
        problems,
        source,
    };
}

/** Parses a manifest and checks its meaning as well. The manifest is undefined when there is any error. */
export function readManifest(text: string, fileName: string): ReadManifestResult {
    const { recoveredManifest: draft, problems, source } = parseManifest(text, fileName);
    const all = draft === undefined ? problems : [...problems, ...checkManifest(draft, source)];
    all.sort((a, b) => a.line - b.line || a.column - b.column);
    return { manifest: hasErrors(all) ? undefined : draft, problems: all };
}

function describeSyntax(text: string, errors: readonly ParseError[], source: ManifestSource): Problem[] {
    // The parser may report one surplus comma as a missing key and as a missing value.
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

/** Adds the problems of keys and types; returns the manifest if its types are right. */
function checkStructure(root: Node, source: ManifestSource, problems: Problem[]): Manifest | undefined {
    const value = buildValue(root, manifestSchema, source, problems);
    const result = v.safeParse(manifestSchema, value);
    // Limits and formats are left to checkManifest.
    const typeIssues = (result.issues ?? []).filter(issue => issue.kind === "schema" && !isKeyIssue(issue));
    problems.push(...typeIssues.map(issue => source.problemAt(getIssuePath(issue), describeIssue(issue))));
    return result.typed ? result.output : undefined;
}
