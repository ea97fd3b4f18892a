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

// Guards against an instance that serves stale changes as current because its own reader cannot reach the store.
test("changes from another instance keep the age that it reports", async () => {
    const clock = createManualClock(10_000);
    const log = createChangeLog(clock);
    log.append(1, createResult(2), clock.now() - maxAgeMs);
    assert.equal(await log.waitForChanges(1, 0, maxAgeMs), undefined);
    log.append(2, createResult(3), clock.now() - 1000);
    const result = await log.waitForChanges(1, 0, maxAgeMs);
    assert.equal(result?.asOf, clock.now() - 1000);
    await clock.advance(600);
    assert.equal(await log.waitForChanges(1, 0, maxAgeMs), undefined);
});

// Guards against followers that all fall back to the store when another instance becomes their reader.
test("an instance that becomes a reader can serve the changes that it received as a follower", async () => {
    const log = createChangeLog(createManualClock());
    log.append(1, createResult(2), -1000);
    log.append(2, createResult(3), -500);
    log.append(3, createResult(4), 0);
    const result = await log.waitForChanges(1, 0, maxAgeMs);
    assert.deepEqual(
        result?.changes.map(({ version }) => version),
        [2, 3, 4],
    );
});

test("a list starts the log at its position", async () => {
    const log = createChangeLog(createManualClock());
    log.recordList(5, 0);
    assert.equal(await log.waitForChanges(4, 0, maxAgeMs), undefined);
    assert.deepEqual(await log.waitForChanges(5, 0, maxAgeMs), {
        changes: [],
        version: 5,
        expired: false,
        asOf: 0,
    });
});

// Guards against a reader that reports no changes to its followers although its latest list contained some.
test("a list beyond the end of the log resets the log", async () => {
    const log = createChangeLog(createManualClock());
    log.append(1, createResult(2), 0);
    const waiting = log.waitForChanges(2, 1000, maxAgeMs);
    log.recordList(5, 0);
    assert.equal(await log.waitForChanges(2, 0, maxAgeMs), undefined);
    assert.equal(await waiting, undefined);
});

// Guards against a late response that moves the end of the log back.
test("a response that arrives after a newer one is ignored", async () => {
    const log = createChangeLog(createManualClock());
    log.append(1, createResult(2, 3), 0);
    log.append(1, createResult(2), 0);
    assert.equal((await log.waitForChanges(3, 0, maxAgeMs))?.version, 3);
    assert.equal((await log.waitForChanges(2, 0, maxAgeMs))?.changes.length, 2);
});

// Guards against followers whose view is older than their reader's by a whole wait.
test("a waiting follower is notified immediately if there are no changes", async () => {
    const clock = createManualClock();
    const log = createChangeLog(clock);
    log.recordList(5, 0);
    const waiting = log.waitForChanges(5, 5000, maxAgeMs);
    await clock.advance(500);
    log.append(5, { changes: [], version: 6, expired: false }, 500);
    assert.deepEqual(await waiting, { changes: [], version: 6, expired: false, asOf: 500 });
});
