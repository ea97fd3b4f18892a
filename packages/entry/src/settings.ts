/** Settings of an entry instance: a file in JSON with comments, checked as a whole at the start. */
import { readFile } from "node:fs/promises";
import { isIP } from "node:net";
import { WaxwingdaleError, LogLevel } from "@waxwingdale/core";
import { parse, printParseErrorCode } from "jsonc-parser";
import type { ParseError } from "jsonc-parser";
import * as v from "valibot";

/** The settings file cannot be used. `problems` names each wrong key and its fix. */
export class SettingsError extends WaxwingdaleError {
    constructor(readonly problems: readonly string[]) {
        super("SettingsError", problems.join("\n"));
    }
}

/** Shortest fleet key in characters. */
const minKeyLength = 16;

const address = v.pipe(
    v.string('must be a text such as "10.0.0.1:8080"'),
    v.check(isAddress, 'must be an IP address and a port, such as "10.0.0.1:8080"'),
);

const settingsSchema = v.strictObject({
    /** Id of the instance, unique in the fleet. */
    id: v.pipe(
        v.string("must be a text"),
        v.regex(/^[\w.-]{1,64}$/, "must be 1 to 64 letters, digits, dots, dashes or underscores"),
    ),
    region: v.string("must be the name of a region of the manifest"),
    zone: v.string("must be the name of an availability zone of the region"),
    /** Address of the platform's object API. */
    store: address,
    listen: v.strictObject({ callers: address, peers: address, operators: address }),
    /** Addresses that others use, when they differ from the listen addresses. */
    advertise: v.optional(v.strictObject({ callers: v.optional(address), peers: v.optional(address) }), {}),
    /** Peer addresses to join by while the store is down. */
    seeds: v.optional(v.array(address), []),
    /** File that holds the fleet's key. The environment variable WAXWINGDALE_FLEET_KEY goes first. */
    fleetKeyFile: v.optional(v.string("must be a path")),
    logLevel: v.optional(v.enum(LogLevel, "must be debug, info, warn or error"), LogLevel.Info),
    /** Connections that one caller's address may hold. */
    maxConnectionsPerCaller: v.optional(
        v.pipe(
            v.number("must be a number"),
            v.integer("must be a whole number"),
            v.minValue(1, "must be at least 1"),
        ),
        512,
    ),
    /** Requests whose record is kept for explanations. */
    requestRecords: v.optional(
        v.pipe(
            v.number("must be a number"),
            v.integer("must be a whole number"),
            v.minValue(1, "must be at least 1"),
        ),
        5000,
    ),
});

/** Checked settings, with defaults filled in. */
export type Settings = v.InferOutput<typeof settingsSchema>;

/**
 * Reads and checks a settings file.
 * @throws SettingsError
 */
export async function readSettings(path: string): Promise<Settings> {
    let text: string;
    try {
        text = await readFile(path, "utf8");
    } catch {
        throw new SettingsError([`${path}: cannot be read; check the path and its permissions`]);
    }
    return parseSettings(text, path);
}

/**
 * Checks the text of a settings file.
 * @throws SettingsError
 */
export function parseSettings(text: string, fileName: string): Settings {
    const errors: ParseError[] = [];
    const value: unknown = parse(text, errors, { allowTrailingComma: true });
    if (errors.length > 0) {
        throw new SettingsError(
            errors.map(err => `${fileName}:${locate(text, err.offset)}: ${printParseErrorCode(err.error)}`),
        );
    }
    const result = v.safeParse(settingsSchema, value);
    if (!result.success) {
        throw new SettingsError(result.issues.map(issue => `${fileName}: ${describeIssue(issue)}`));
    }
    return result.output;
}

/**
 * Returns the fleet's key from the environment or from its file.
 * @throws SettingsError
 */
export async function readFleetKey(settings: Settings, environmentKey: string | undefined): Promise<string> {
    const key =
        environmentKey ??
        (settings.fleetKeyFile === undefined ? "" : await readKeyFile(settings.fleetKeyFile));
    if (key.trim().length < minKeyLength) {
        throw new SettingsError([
            `the fleet key must have at least ${minKeyLength} characters; set WAXWINGDALE_FLEET_KEY or fleetKeyFile`,
        ]);
    }
    return key.trim();
}

async function readKeyFile(path: string): Promise<string> {
    try {
        return await readFile(path, "utf8");
    } catch {
        throw new SettingsError([`fleetKeyFile ${path} cannot be read; check the path and its permissions`]);
    }
}

function isAddress(text: string): boolean {
    const colon = text.lastIndexOf(":");
    const port = Number(text.slice(colon + 1));
    const host = text.slice(0, colon).replace(/^\[(.*)\]$/, "$1");
    return colon > 0 && isIP(host) !== 0 && Number.isInteger(port) && port >= 0 && port <= 65_535;
}

function locate(text: string, offset: number): string {
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

/** Splits an address of the settings. */
export function splitAddress(text: string): HostPort {
    const colon = text.lastIndexOf(":");
    return { host: text.slice(0, colon).replace(/^\[(.*)\]$/, "$1"), port: Number(text.slice(colon + 1)) };
}
