/** Guards against a test run that passes over more tests than KNOWN-RED.txt lists. */
import assert from "node:assert/strict";
import { test } from "node:test";

interface KnownRed {
    parseKnownRed: (text: string) => Map<string, string[]>;
    createNamePattern: (names: readonly string[], isInverted?: boolean) => string;
}

const { parseKnownRed, createNamePattern } = (await import(
    new URL("../../../scripts/known-red.mjs", import.meta.url).href
)) as KnownRed;

const text = `packages/a/test/x.test.ts
  test: one (of two)
  command: npm test, in packages/b/test/other.test.ts
  seen: twice

packages/a/test/y.process.test.ts
  test: all
`;

test("reads the tests of each file that an entry lists, and no others", () => {
    assert.deepEqual(
        [...parseKnownRed(text)],
        [
            ["packages/a/test/x.test.ts", ["one (of two)"]],
            ["packages/a/test/y.process.test.ts", ["all"]],
        ],
    );
});

test("the patterns match exactly the listed tests, and exactly the others", () => {
    const names = ["one (of two)", "a.b"];
    const listed = new RegExp(createNamePattern(names));
    const others = new RegExp(createNamePattern(names, true));
    for (const name of names) {
        assert.ok(listed.test(name) && !others.test(name), name);
    }
    // The runner also takes a test whose parent matches, and the parent of all is called so.
    assert.ok(!others.test("<root>"), "the root");
    for (const name of ["one", "one (of two) more", "axb", "another"]) {
        assert.ok(!listed.test(name) && others.test(name), name);
    }
});
