/** Problems found in a manifest, each with its location in the file and a fix. */
import { Severity } from "@waxwingdale/core";
import { formatPath } from "./json-path.js";
import type { JsonPath } from "./json-path.js";

export { Severity };

export enum ProblemCode {
    TooLarge = "too-large",
    TooDeep = "too-deep",
    Syntax = "syntax",
    DuplicateKey = "duplicate-key",
    UnknownKey = "unknown-key",
    MissingKey = "missing-key",
    WrongType = "wrong-type",
    OutOfRange = "out-of-range",
    BadFormat = "bad-format",
    UnknownName = "unknown-name",
    DuplicateName = "duplicate-name",
    SelfReference = "self-reference",
    MissingLink = "missing-link",
    OverCapacity = "over-capacity",
    RouteConflict = "route-conflict",
    UnsafeRoute = "unsafe-route",
    DrainInterval = "drain-interval",
    DrainsEverything = "drains-everything",
    NoEffect = "no-effect",
    HostBits = "host-bits",
    BlockConflict = "block-conflict",
    UnsafeLimit = "unsafe-limit",
}

export interface Problem {
    severity: Severity;
    code: ProblemCode;
    file: string;
    /** Line and column in UTF-16 units, both starting at 1. */
    line: number;
    column: number;
    /** Path in the document, such as services[0].routes[1].path. */
    path: string;
    message: string;
    expected: string;
    fix: string;
}

/** What a check reports about a value; `ManifestSource` adds the location in the file. */
export interface Finding {
    severity?: Severity;
    code: ProblemCode;
    message: string;
    expected: string;
    fix: string;
}

/** Receives the findings of a check. */
export type Report = (path: JsonPath, finding: Finding) => void;

/** Returns whether any problem prevents the document from being accepted. */
export function hasErrors(problems: readonly Pick<Problem, "severity">[]): boolean {
    return problems.some(problem => problem.severity === Severity.Error);
}

/** Formats a problem as one line for a terminal or a build log. */
export function formatProblem(problem: Problem): string {
    const { file, line, column, severity, path, message, expected, fix } = problem;
    return `${file}:${line}:${column}: ${severity}: ${path}: ${message}; expected ${expected}; fix: ${fix}`;
}

/** Creates a problem from a finding and its location. */
export function createProblem(
    finding: Finding,
    path: JsonPath,
    file: string,
    line: number,
    column: number,
): Problem {
    const { severity = Severity.Error, code, message, expected, fix } = finding;
    return { severity, code, file, line, column, path: formatPath(path), message, expected, fix };
}
