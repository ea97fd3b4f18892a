/** Settings files in JSON with comments, validated as a whole at startup. */
import { readFile } from "node:fs/promises";
import { isIP } from "node:net";
import { parse, printParseErrorCode } from "jsonc-parser";
import type { ParseError } from "jsonc-parser";
import * as v from "valibot";
import { WaxwingdaleError } from "./errors.js";

/** The settings file is invalid. `problems` lists each invalid key with a hint on how to fix it. */
export class SettingsError extends WaxwingdaleError {
    constructor(readonly problems: readonly string[]) {
        super("SettingsError", problems.join("\n"));
    }
}

/** An IP address and a port. */
export const addressSchema = v.pipe(
    v.string('must be a string such as "10.0.0.1:8080"'),
    v.check(isAddress, 'must be an IP address and a port, such as "10.0.0.1:8080"'),
);

/**
 * Reads a settings file.
 * @throws SettingsError
 */
export async function readSettingsText(path: string): Promise<string> {
    try {
        return await readFile(path, "utf8");
    } catch {
        throw new SettingsError([`${path}: cannot be read; check the path and its permissions`]);
    }
}

/**
 * Parses the text of a settings file and validates it against a schema.
 * @throws SettingsError
 */
export function parseSettingsText<Schema extends v.GenericSchema>(
    schema: Schema,
    text: string,
    fileName: string,
): v.InferOutput<Schema> {
    const errors: ParseError[] = [];
    const value: unknown = parse(text, errors, { allowTrailingComma: true });
    if (errors.length > 0) {
        throw new SettingsError(
            errors.map(
                err => `${fileName}:${formatPosition(text, err.offset)}: ${printParseErrorCode(err.error)}`,
            ),
        );
    }
    const result = v.safeParse(schema, value);
    if (!result.success) {
        throw new SettingsError(result.issues.map(issue => `${fileName}: ${describeIssue(issue)}`));
    }
    return result.output;
}

function isAddress(text: string): boolean {
    const colon = text.lastIndexOf(":");
    const port = Number(text.slice(colon + 1));
    const host = text.slice(0, colon).replace(/^\[(.*)\]$/, "$1");
    return colon > 0 && isIP(host) !== 0 && Number.isInteger(port) && port >= 0 && port <= 65_535;
}

function formatPosition(text: string, offset: number): string {
    const lines = text.slice(0, offset).split("\n");
    return `${lines.length}:${lines.at(-1)!.length + 1}`;
}

function describeIssue(issue: v.BaseIssue<unknown>): string {
    const path = v.getDotPath(issue) ?? "settings";
    if (issue.kind === "schema" && issue.expected === "never") {
        return `${path}: unknown key; remove it or check its spelling`;
    }
    if (issue.received === "undefined") {
        return `${path}: missing; add it`;
    }
    return `${path}: ${issue.message} (found ${issue.received})`;
}

export interface HostPort {
    host: string;
    port: number;
}

/** Splits an address into host and port; brackets around an IPv6 address are removed. */
export function splitAddress(text: string): HostPort {
    const colon = text.lastIndexOf(":");
    return { host: text.slice(0, colon).replace(/^\[(.*)\]$/, "$1"), port: Number(text.slice(colon + 1)) };
}
