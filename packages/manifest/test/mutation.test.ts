import assert from "node:assert/strict";
import { test } from "node:test";
import { diffManifests, hasErrors, readManifest } from "@waxwingdale/manifest";
import type { Manifest } from "@waxwingdale/manifest";
import fc from "fast-check";
import { validManifest } from "./fixtures.js";

/** A value in a manifest, by its container and key. */
interface Place {
    container: Record<string, unknown>;
    key: string;
}

const optionalKeys = ["reservedShare", "service", "endsAt"];
const regionKeys = ["storeRegion", "defaultRegion", "from", "to", "region"];

/** Lists the entries of all objects and lists in a value. */
function listPlaces(value: unknown): Place[] {
    if (typeof value !== "object" || !value) {
        return [];
    }
    const container = value as Record<string, unknown>;
    return Object.keys(container).flatMap(key => [{ container, key }, ...listPlaces(container[key])]);
}

function changeType(value: unknown): unknown {
    return typeof value === "string" ? 7 : Array.isArray(value) ? {} : typeof value === "object" ? [] : "x";
}

const deleteKey = {
    accepts: ({ container, key }: Place) => !Array.isArray(container) && !optionalKeys.includes(key),
    apply: ({ container, key }: Place) => {
        delete container[key];
    },
};
const replaceType = {
    accepts: () => true,
    apply: ({ container, key }: Place) => {
        container[key] = changeType(container[key]);
    },
};
const renameRegion = {
    accepts: ({ key }: Place) => regionKeys.includes(key),
    apply: ({ container, key }: Place) => {
        container[key] = `${String(container[key])}0`;
    },
};

function mutate(manifest: Manifest, mutation: typeof deleteKey, seed: number): Manifest {
    const copy = structuredClone(manifest);
    const places = listPlaces(copy).filter(place => mutation.accepts(place));
    mutation.apply(places[seed % places.length]!);
    return copy;
}

// Guards against a mistake that the build accepts and that entries then apply.
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
