import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock } from "@waxwingdale/core";
import type { ObjectChange } from "@waxwingdale/core";
import { createChangeLog } from "../src/change-log.js";

const maxAgeMs = 1500;

function createChange(version: number): ObjectChange {
    return { key: `servers/s${version}`, version, value: 1, deleted: false };
}

function createResult(...versions: number[]) {
    return { changes: versions.map(createChange), version: versions.at(-1)!, expired: false };
}

// Guards against an instance that passes on old news as new, since the one that it follows has lost the store.
test("what another instance has told does not count as an answer of the store", async () => {
    const log = createChangeLog(createManualClock());
    log.append(1, createResult(2));
    assert.equal(await log.follow(1, 0, maxAgeMs), undefined);
});

// Guards against followers that all go to the store when another instance becomes their reader.
test("an instance that begins to read can tell what it heard as a follower", async () => {
    const log = createChangeLog(createManualClock());
    log.append(1, createResult(2));
    log.append(2, createResult(3));
    log.addAnswer(3, createResult(4));
    const result = await log.follow(1, 0, maxAgeMs);
    assert.deepEqual(
        result?.changes.map(({ version }) => version),
        [2, 3, 4],
    );
});

test("a list begins the log at its position", async () => {
    const log = createChangeLog(createManualClock());
    log.begin(5);
    assert.equal(await log.follow(4, 0, maxAgeMs), undefined);
    assert.deepEqual(await log.follow(5, 0, maxAgeMs), { changes: [], version: 5, expired: false });
});
