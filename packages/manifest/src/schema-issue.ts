/** Converts Valibot issues into findings. */
import type { BaseIssue } from "valibot";
import type { JsonPath } from "./json-path.js";
import { ProblemCode } from "./problem.js";
import type { Finding } from "./problem.js";
import { suggestName } from "./suggestion.js";

const numberLimits = new Set(["min_value", "max_value", "gt_value", "integer"]);

/** Returns the path of the value that an issue refers to. */
export function getIssuePath(issue: BaseIssue<unknown>): JsonPath {
    return (issue.path ?? []).map(item => item.key as string | number);
}

/** Returns whether an issue is a missing or unknown key; these are reported by `buildValue`. */
export function isKeyIssue(issue: BaseIssue<unknown>): boolean {
    return issue.type === "strict_object" && issue.path?.at(-1)?.origin === "key";
}

/** Converts an issue into a finding. */
export function describeIssue(issue: BaseIssue<unknown>): Finding {
    const received = describeValue(issue.input);
    if (issue.kind === "schema") {
        const expected = describeType(issue.expected ?? "another type");
        const fix = describeChoice(issue) ?? `write ${expected}`;
        return { code: ProblemCode.WrongType, message: `${received} is not allowed here`, expected, fix };
    }
    if (numberLimits.has(issue.type)) {
        const expected = issue.type === "integer" ? "a whole number" : `a number ${String(issue.expected)}`;
        return {
            code: ProblemCode.OutOfRange,
            message: `${received} is out of range`,
            expected,
            fix: `write ${expected}`,
        };
    }
    if (issue.type === "min_length" || issue.type === "max_length") {
        const bound = issue.type === "min_length" ? "at least" : "at most";
        const unit = Array.isArray(issue.input) ? "items" : "characters";
        const expected = `${bound} ${String(issue.requirement)} ${unit}`;
        const message = `${issue.received.replace(/"/g, "")} ${unit}`;
        return { code: ProblemCode.OutOfRange, message, expected, fix: `write ${expected}` };
    }
    const expected = issue.type === "regex" ? issue.message : `${issue.expected}`;
    const fix = describeChoice(issue) ?? `write ${expected}`;
    return { code: ProblemCode.BadFormat, message: `${received} is malformed`, expected, fix };
}

function describeType(expected: string): string {
    const names: Record<string, string> = {
        Object: "an object",
        Array: "an array",
        string: "a string",
        number: "a number",
        boolean: "true or false",
    };
    return names[expected] ?? expected.replace(/^\(|\)$/g, "").replaceAll(" | ", " or ");
}

function describeChoice(issue: BaseIssue<unknown>): string | undefined {
    const choices = [...(issue.expected ?? "").matchAll(/"([^"]+)"/g)].map(match => match[1]!);
    if (choices.length === 0 || typeof issue.input !== "string") {
        return undefined;
    }
    const similar = suggestName(issue.input, choices);
    return similar === undefined ? undefined : `write "${similar}"`;
}

const maxShownLength = 60;

/** Formats a value for a message; long ones are truncated. */
export function describeValue(value: unknown): string {
    if (Array.isArray(value)) {
        return "an array";
    }
    if (typeof value === "object" && value) {
        return "an object";
    }
    const text = JSON.stringify(value) ?? "nothing";
    return text.length > maxShownLength ? `${text.slice(0, maxShownLength)}...` : text;
}
