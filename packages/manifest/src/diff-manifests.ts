/** Lists the differences between two manifests with their effects. */
import { isDeepStrictEqual } from "node:util";
import { describeEffect } from "./change-effect.js";
import { ChangeKind } from "./manifest-change.js";
import type { ManifestChange } from "./manifest-change.js";
import type { Manifest } from "./types.js";

type JsonObject = Record<string, unknown>;

/** Keys by which an item of a list is recognised after a change. */
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

/** Returns the changes that lead from `before` to `after`. The order of lists has no meaning and is not compared. */
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
        const list = path.at(-1) ?? "";
        if (isList(a) && isList(b)) {
            compareEntries(path, indexItems(a, list), indexItems(b, list), key => `[${key}]`);
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

function isList(value: unknown): value is unknown[] {
    return Array.isArray(value);
}

/** Names the items of a list; repeated names get a number, so that a manifest with repeats can be compared too. */
function indexItems(items: readonly unknown[], list: string): Map<string, unknown> {
    const index = new Map<string, unknown>();
    for (const item of items) {
        const name = nameItem(item, list);
        let key = name;
        for (let i = 2; index.has(key); i++) {
            key = `${name}#${i}`;
        }
        index.set(key, item);
    }
    return index;
}

function nameItem(item: unknown, list: string): string {
    if (!isObject(item)) {
        return String(item);
    }
    const values = (identityKeys[list] ?? []).map(key => item[key]).filter(value => value !== undefined);
    return values.map(String).join(" ");
}
