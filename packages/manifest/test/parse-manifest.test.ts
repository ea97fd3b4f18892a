import assert from "node:assert/strict";
import { test } from "node:test";
import { maxObjectBytes } from "@waxwingdale/core";
import {
    ProblemCode,
    checkManifest,
    diffManifests,
    hasErrors,
    parseManifest,
    readManifest,
} from "@waxwingdale/manifest";
import type { Problem } from "@waxwingdale/manifest";
import fc from "fast-check";
import { exampleNames, readExampleText, validManifest } from "./fixtures.js";

function summarize(problems: readonly Problem[]): string[] {
    return problems.map(({ code, line, column, path }) => `${code} ${line}:${column} ${path}`);
}

function assertPositionsInside(text: string, problems: readonly Problem[]): void {
    const lines = text.split(/\r\n|\n|\r/);
    for (const { line, column, fix, expected } of problems) {
        assert.ok(line >= 1 && line <= lines.length, `line ${line}`);
        assert.ok(column >= 1 && column <= lines[line - 1]!.length + 1, `column ${column}`);
        assert.ok(fix !== "" && expected !== "");
    }
}

// Guards against an example that operators copy and then cannot push.
for (const name of exampleNames) {
    test(`example ${name} has no problems`, () => {
        assert.deepEqual(readManifest(readExampleText(name), name).problems, []);
    });
}

// Guards against a check that has to be run once for each mistake.
test("all problems are reported in one pass", () => {
    const text = readExampleText("khata")
        .replace('"storeRegion": "bagmati",', '"storeRegion": "bagmaty",,')
        .replace('"zones": ["a", "b"]', '"zone": ["a", "b"]')
        .replace('"timeoutMs": 2000', '"timeoutMs": "2000"')
        .replace('"crashLimit": 2', '"crashLimit": 2, "crashLimit": 3');
    assert.deepEqual(summarize(readManifest(text, "a").problems), [
        "missing-key 6:9 regions[0]",
        "unknown-key 6:30 regions[0].zone",
        "syntax 10:30 $",
        "wrong-type 46:34 services[0].routes[0].timeoutMs",
        "duplicate-key 122:38 quarantine.crashLimit",
    ]);
});

test("semantic problems are reported in spite of unknown keys", () => {
    const text = readExampleText("khata")
        .replace('"storeRegion": "bagmati"', '"storeRegion": "bagmaty"')
        .replace('"ttlSeconds": 5', '"ttlSeconds": 5, "ttl": 5');
    assert.deepEqual(summarize(readManifest(text, "a").problems), [
        "unknown-name 10:20 storeRegion",
        "unknown-key 115:34 lookup.ttl",
    ]);
});

test("an unknown key gets a suggestion", () => {
    const text = readExampleText("khata").replace('"shiftCaps"', '"shiftCap"');
    const problem = parseManifest(text, "a").problems.find(({ code }) => code === ProblemCode.UnknownKey);
    assert.equal(problem?.fix, 'did you mean "shiftCaps"?');
});

test("extra and missing commas are located", () => {
    const extra = parseManifest('{\n  "formatVersion": 1,,\n}', "a").problems[0]!;
    assert.deepEqual([extra.message, extra.line, extra.column], ["extra comma", 2, 22]);
    const missing = parseManifest('{\n  "formatVersion": 1\n  "deployment": "x"\n}', "a").problems[0]!;
    assert.deepEqual(
        [missing.message, missing.line, missing.column],
        ["missing comma between two items", 3, 3],
    );
});

test("a file above the size limit of the store is rejected", () => {
    const { problems } = parseManifest(" ".repeat(maxObjectBytes + 1), "a");
    assert.deepEqual(summarize(problems), ["too-large 1:1 $"]);
});

// The recursive parser overflows the stack at a few thousand levels.
test("deep nesting is rejected", () => {
    const { problems } = parseManifest("[".repeat(100_000), "a");
    assert.deepEqual(summarize(problems), ["too-deep 1:65 $"]);
});

// Guards against a report that takes minutes because of one wrong bracket early in a large file.
test("the number of reported syntax errors is limited", () => {
    assert.equal(parseManifest("[1 ".repeat(40) + "1 ".repeat(1000), "a").problems.length, 50);
});

test("problems of arbitrary text have positions inside the file", () => {
    const text = fc.oneof(
        fc.string({ unit: "binary", maxLength: 200 }),
        fc.json(),
        fc
            .array(
                fc.constantFrom(
                    "{",
                    "}",
                    "[",
                    "]",
                    ",",
                    ":",
                    '"a"',
                    "1",
                    "//",
                    "/*",
                    "\r\n",
                    "\u2028",
                    "null",
                ),
            )
            .map(tokens => tokens.join("")),
    );
    fc.assert(
        fc.property(text, input => {
            const { manifest, problems } = readManifest(input, "a");
            assert.equal(manifest, undefined);
            assert.ok(hasErrors(problems));
            assertPositionsInside(input, problems);
        }),
    );
});

test("problems of a corrupted manifest have positions inside the file", () => {
    const text = readExampleText("khata");
    fc.assert(
        fc.property(fc.nat(text.length), fc.nat(40), fc.string({ maxLength: 4 }), (at, length, inserted) => {
            const corrupted = text.slice(0, at) + inserted + text.slice(at + length);
            assertPositionsInside(corrupted, readManifest(corrupted, "a").problems);
        }),
    );
});

test("a valid manifest is unchanged after a round trip", () => {
    fc.assert(
        fc.property(validManifest, fc.constantFrom(0, 4), (manifest, indent) => {
            const parsed = parseManifest(JSON.stringify(manifest, undefined, indent), "a");
            assert.deepEqual(parsed.problems, []);
            assert.deepEqual(parsed.manifest, manifest);
            assert.equal(hasErrors(checkManifest(manifest)), false);
            assert.deepEqual(diffManifests(manifest, parsed.manifest), []);
        }),
    );
});
