/** Settings of an entry, read from a JSONC file. */
import { readFile } from "node:fs/promises";
import {
    LogLevel,
    SettingsError,
    addressSchema as address,
    parseSettingsText,
    readSettingsText,
} from "@waxwingdale/core";
import * as v from "valibot";

/** Minimum length of the fleet key, in characters. */
const minKeyLength = 16;

const settingsSchema = v.strictObject({
    /** Unique id of the entry in the fleet. */
    id: v.pipe(
        v.string("must be a string"),
        v.regex(/^[\w.-]{1,64}$/, "must be 1 to 64 letters, digits, dots, dashes or underscores"),
    ),
    region: v.string("must be the name of a region of the manifest"),
    zone: v.string("must be the name of an availability zone of the region"),
    /** Address of the platform's object API. */
    store: address,
    listen: v.strictObject({ callers: address, peers: address, operators: address }),
    /** Addresses for callers and peers, if they differ from the listen addresses. */
    advertise: v.optional(v.strictObject({ callers: v.optional(address), peers: v.optional(address) }), {}),
    /** Addresses of peers to join through while the store is unavailable. */
    seeds: v.optional(v.array(address), []),
    /** File with the fleet key. The environment variable WAXWINGDALE_FLEET_KEY takes precedence. */
    fleetKeyFile: v.optional(v.string("must be a path")),
    logLevel: v.optional(v.enum(LogLevel, "must be debug, info, warn or error"), LogLevel.Info),
    /** Maximum number of connections per caller address. */
    maxConnectionsPerCaller: v.optional(
        v.pipe(
            v.number("must be a number"),
            v.integer("must be a whole number"),
            v.minValue(1, "must be at least 1"),
        ),
        512,
    ),
    /** Number of requests whose records are kept. */
    requestRecords: v.optional(
        v.pipe(
            v.number("must be a number"),
            v.integer("must be a whole number"),
            v.minValue(1, "must be at least 1"),
        ),
        5000,
    ),
});

/** Validated settings, with defaults applied. */
export type Settings = v.InferOutput<typeof settingsSchema>;

/**
 * Reads and validates a settings file.
 * @throws SettingsError
 */
export async function readSettings(path: string): Promise<Settings> {
    return parseSettings(await readSettingsText(path), path);
}

/**
 * Parses and validates the text of a settings file.
 * @throws SettingsError
 */
export function parseSettings(text: string, fileName: string): Settings {
    return parseSettingsText(settingsSchema, text, fileName);
}

/**
 * Returns the fleet key from the environment or the configured file.
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
