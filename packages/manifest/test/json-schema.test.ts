import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { generateManifestSchema } from "@waxwingdale/manifest";

const read = (name: string) => readFileSync(new URL(`../../../docs/config/${name}`, import.meta.url), "utf8");

test("the committed schema is up to date", () => {
    assert.deepEqual(
        JSON.parse(read("manifest.schema.json")),
        JSON.parse(JSON.stringify(generateManifestSchema())),
        "run: node --import tsx packages/manifest/src/write-json-schema.ts",
    );
});

/** Lists the names of all properties in a JSON Schema. */
function listProperties(schema: unknown): string[] {
    if (typeof schema !== "object" || !schema) {
        return [];
    }
    const { properties, items } = schema as { properties?: Record<string, unknown>; items?: unknown };
    const own = Object.entries(properties ?? {}).flatMap(([key, value]) => [key, ...listProperties(value)]);
    return [...own, ...listProperties(items)];
}

// Guards against a new field without documentation.
test("each field is documented", () => {
    const page = read("manifest.md");
    const missing = listProperties(generateManifestSchema()).filter(name => !page.includes(`\`${name}\``));
    assert.deepEqual(missing, []);
});
