import assert from "node:assert/strict";
import { test } from "node:test";
import { diffManifests, hasErrors, readManifest } from "@waxwingdale/manifest";
import type { Manifest } from "@waxwingdale/manifest";
import fc from "fast-check";
import { validManifest } from "./fixtures.js";

/** A property or array item in a manifest. */
interface ValueLocation {
    container: Record<string, unknown>;
    key: string;
}

const optionalKeys = ["reservedShare", "service", "endsAt"];
const regionKeys = ["storeRegion", "defaultRegion", "from", "to", "region"];

/** Lists the entries of all objects and arrays in a value, recursively. */
function listLocations(value: unknown): ValueLocation[] {
    if (typeof value !== "object" || !value) {
        return [];
    }
    const container = value as Record<string, unknown>;
    return Object.keys(container).flatMap(key => [{ container, key }, ...listLocations(container[key])]);
}

function changeType(value: unknown): unknown {
    return typeof value === "string" ? 7 : Array.isArray(value) ? {} : typeof value === "object" ? [] : "x";
}

const deleteKey = {
    appliesTo: ({ container, key }: ValueLocation) =>
        !Array.isArray(container) && !optionalKeys.includes(key),
    apply: ({ container, key }: ValueLocation) => {
        delete container[key];
    },
};
const replaceType = {
    appliesTo: () => true,
    apply: ({ container, key }: ValueLocation) => {
        container[key] = changeType(container[key]);
    },
};
const renameRegion = {
    appliesTo: ({ key }: ValueLocation) => regionKeys.includes(key),
    apply: ({ container, key }: ValueLocation) => {
        container[key] = `${String(container[key])}0`;
    },
};

function mutate(manifest: Manifest, mutation: typeof deleteKey, seed: number): Manifest {
    const copy = structuredClone(manifest);
    const locations = listLocations(copy).filter(location => mutation.appliesTo(location));
    mutation.apply(locations[seed % locations.length]!);
    return copy;
}

// Guards against a mistake that is not reported and that entries then apply.
for (const [name, mutation] of Object.entries({ deleteKey, replaceType, renameRegion })) {
    test(`mutation ${name} is always reported`, () => {
        fc.assert(
            fc.property(validManifest, fc.nat(), (manifest, seed) => {
                const mutated = mutate(manifest, mutation, seed);
                assert.ok(hasErrors(readManifest(JSON.stringify(mutated), "a").problems));
                assert.notDeepEqual(diffManifests(manifest, mutated), []);
            }),
            { numRuns: 300 },
        );
    });
}
