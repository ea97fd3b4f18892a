/** Lists the differences between two manifests with their effects. */
import { isDeepStrictEqual } from "node:util";
import { describeEffect } from "./change-effect.js";
import { ChangeKind } from "./manifest-change.js";
import type { ManifestChange } from "./manifest-change.js";
import type { Manifest } from "./types.js";

type JsonObject = Record<string, unknown>;

/** Keys that identify an item of an array across manifests. */
const identityKeys: Record<string, readonly string[]> = {
    regions: ["name"],
    links: ["from", "to"],
    sites: ["name", "site"],
    services: ["name"],
    routes: ["name"],
    shiftCaps: ["from", "to"],
    drains: ["place", "service", "startsAt"],
    clientBlocks: ["block"],
};

/** Returns the changes from `before` to `after`. The order of array items is insignificant and ignored. */
export function diffManifests(before: Manifest, after: Manifest): ManifestChange[] {
    const changes: ManifestChange[] = [];

    const compare = (path: string[], a: unknown, b: unknown) => {
        if (isDeepStrictEqual(a, b)) {
            return;
        }
        if (isObject(a) && isObject(b)) {
            compareEntries(path, new Map(Object.entries(a)), new Map(Object.entries(b)), key => key);
            return;
        }
        const arrayName = path.at(-1) ?? "";
        if (isArray(a) && isArray(b)) {
            compareEntries(path, indexItems(a, arrayName), indexItems(b, arrayName), key => `[${key}]`);
            return;
        }
        changes.push(createChange(path, a, b));
    };

    const compareEntries = (
        path: string[],
        a: ReadonlyMap<string, unknown>,
        b: ReadonlyMap<string, unknown>,
        toSegment: (key: string) => string,
    ) => {
        for (const key of new Set([...a.keys(), ...b.keys()])) {
            compare([...path, toSegment(key)], a.get(key), b.get(key));
        }
    };

    compare([], before, after);
    return changes;
}

function createChange(path: string[], before: unknown, after: unknown): ManifestChange {
    const kind =
        before === undefined
            ? ChangeKind.Added
            : after === undefined
              ? ChangeKind.Removed
              : ChangeKind.Changed;
    return { kind, path: joinPath(path), before, after, ...describeEffect(path, kind, before, after) };
}

function joinPath(path: readonly string[]): string {
    return path.join(".").replaceAll(".[", "[");
}

function isObject(value: unknown): value is JsonObject {
    return typeof value === "object" && !!value && !Array.isArray(value);
}

function isArray(value: unknown): value is unknown[] {
    return Array.isArray(value);
}

/** Indexes array items by name. Duplicate names get a number, so that invalid manifests can be compared too. */
function indexItems(items: readonly unknown[], arrayName: string): Map<string, unknown> {
    const index = new Map<string, unknown>();
    for (const item of items) {
        const name = getItemName(item, arrayName);
        let key = name;
        for (let i = 2; index.has(key); i++) {
            key = `${name}#${i}`;
        }
        index.set(key, item);
    }
    return index;
}

function getItemName(item: unknown, arrayName: string): string {
    if (!isObject(item)) {
        return String(item);
    }
    const values = (identityKeys[arrayName] ?? []).map(key => item[key]).filter(value => value !== undefined);
    return values.map(String).join(" ");
}
