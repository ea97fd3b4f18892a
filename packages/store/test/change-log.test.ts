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
test("what another instance has told is as old as that one says", async () => {
    const clock = createManualClock(10_000);
    const log = createChangeLog(clock);
    log.append(1, createResult(2), clock.now() - maxAgeMs);
    assert.equal(await log.follow(1, 0, maxAgeMs), undefined);
    log.append(2, createResult(3), clock.now() - 1000);
    const result = await log.follow(1, 0, maxAgeMs);
    assert.equal(result?.asOf, clock.now() - 1000);
    await clock.advance(600);
    assert.equal(await log.follow(1, 0, maxAgeMs), undefined);
});

// Guards against followers that all go to the store when another instance becomes their reader.
test("an instance that begins to read can tell what it heard as a follower", async () => {
    const log = createChangeLog(createManualClock());
    log.append(1, createResult(2), -1000);
    log.append(2, createResult(3), -500);
    log.append(3, createResult(4), 0);
    const result = await log.follow(1, 0, maxAgeMs);
    assert.deepEqual(
        result?.changes.map(({ version }) => version),
        [2, 3, 4],
    );
});

test("a list begins the log at its position", async () => {
    const log = createChangeLog(createManualClock());
    log.begin(5, 0);
    assert.equal(await log.follow(4, 0, maxAgeMs), undefined);
    assert.deepEqual(await log.follow(5, 0, maxAgeMs), {
        changes: [],
        version: 5,
        expired: false,
        asOf: 0,
    });
});

// Guards against a reader that says "no changes" to its followers after a list has told it of some.
test("a list beyond the end of the log begins it anew", async () => {
    const log = createChangeLog(createManualClock());
    log.append(1, createResult(2), 0);
    const waiting = log.follow(2, 1000, maxAgeMs);
    log.begin(5, 0);
    assert.equal(await log.follow(2, 0, maxAgeMs), undefined);
    assert.equal(await waiting, undefined);
});

// Guards against a late answer that takes the end of the log back.
test("an answer that a later one has overtaken changes nothing", async () => {
    const log = createChangeLog(createManualClock());
    log.append(1, createResult(2, 3), 0);
    log.append(1, createResult(2), 0);
    assert.equal((await log.follow(3, 0, maxAgeMs))?.version, 3);
    assert.equal((await log.follow(2, 0, maxAgeMs))?.changes.length, 2);
});

// Guards against followers whose view grows older than their reader's by a whole wait.
test("a follower hears at once that there are no changes", async () => {
    const clock = createManualClock();
    const log = createChangeLog(clock);
    log.begin(5, 0);
    const waiting = log.follow(5, 5000, maxAgeMs);
    await clock.advance(500);
    log.append(5, { changes: [], version: 6, expired: false }, 500);
    assert.deepEqual(await waiting, { changes: [], version: 6, expired: false, asOf: 500 });
});
