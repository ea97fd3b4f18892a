import assert from "node:assert/strict";
import { readFile } from "node:fs/promises";
import { test } from "node:test";
import { SettingsError } from "@waxwingdale/core";
import { parseSettings, readFleetKey } from "@waxwingdale/entry";

const example = new URL("../../../examples/entry.settings.jsonc", import.meta.url);
const text = await readFile(example, "utf8");

function findProblems(settings: string): readonly string[] {
    try {
        parseSettings(settings, "entry.jsonc");
    } catch (err) {
        assert.ok(err instanceof SettingsError);
        return err.problems;
    }
    return [];
}

test("the example settings are valid", () => {
    assert.equal(parseSettings(text, "entry.jsonc").id, "entry-north-1");
});

test("a missing zone is reported with a fix", () => {
    assert.deepEqual(findProblems(text.replace(/"zone":.*/, "")), ["entry.jsonc: zone: missing; add it"]);
});

test("an unknown key is rejected, not ignored", () => {
    assert.match(findProblems(text.replace('"logLevel"', '"loglevel"'))[0]!, /loglevel: unknown key/);
});

test("a host name is rejected where an IP address is required", () => {
    assert.match(
        findProblems(text.replace("10.1.255.10:7000", "store.example:7000"))[0]!,
        /store: must be an IP address/,
    );
});

test("a syntax error is reported with its position", () => {
    assert.match(findProblems(text.replace('"region":', ',"region":'))[0]!, /^entry\.jsonc:\d+:\d+: /);
});

test("a short fleet key is rejected", async () => {
    const settings = { ...parseSettings(text, "entry.jsonc"), fleetKeyFile: undefined };
    await assert.rejects(readFleetKey(settings, "short"), /at least 16 characters/);
    assert.equal(await readFleetKey(settings, "a key that is long enough"), "a key that is long enough");
});
