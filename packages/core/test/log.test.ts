import assert from "node:assert/strict";
import { test } from "node:test";
import { createLogger, createManualClock, formatFields, parseFields } from "@waxwingdale/core";
import fc from "fast-check";

test("a value cannot forge a second log line", () => {
    assert.equal(formatFields({ path: "/a\nevent=forged" }), 'path="/a\\nevent=forged"');
});

test("limits the rate of an event and counts the suppressed lines", async () => {
    const clock = createManualClock();
    const lines: string[] = [];
    const logger = createLogger(clock, { maxLinesPerSecond: 2, write: line => lines.push(line) });
    for (let i = 0; i < 5; i++) {
        logger.info("flood");
    }
    assert.equal(lines.length, 2);
    await clock.advance(1000);
    logger.info("flood");
    assert.match(lines[2]!, /suppressed=3/);
});

test("parseFields restores the fields written by formatFields", () => {
    const key = fc.stringMatching(/^[a-z][A-Za-z]*$/).filter(name => name !== "__proto__");
    fc.assert(
        fc.property(fc.dictionary(key, fc.string({ unit: "binary" }), { noNullPrototype: true }), fields => {
            assert.deepEqual(parseFields(formatFields(fields)), fields);
        }),
    );
});
