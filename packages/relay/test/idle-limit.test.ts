/** Kept connections that servers forget. Pattern: servers forget connections that have rested for a third of a second. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock } from "@waxwingdale/core";
import { createIdleLimit } from "@waxwingdale/relay";

// Guards against a request that must not run twice on a connection that the server has forgotten: its loss cannot be told
// from a lost answer, so it fails.
test("after a kept connection was gone, requests that must not run twice use fresher ones for a time", () => {
    const clock = createManualClock();
    const limit = createIdleLimit(clock);
    assert.ok(limit.limitMs(false) > 1000);
    limit.recordStale(400);
    assert.ok(limit.limitMs(false) < 320);
    assert.ok(limit.limitMs(true) > 1000, "a request that may run again finds out by itself");
    limit.recordStale(2000);
    assert.ok(limit.limitMs(false) < 320, "a connection that rested longer shows nothing new");
    clock.jump(60_000);
    assert.ok(limit.limitMs(false) > 1000);
});

test("connections that are reset whatever their rest leave some for reuse", () => {
    const limit = createIdleLimit(createManualClock());
    limit.recordStale(0);
    assert.ok(limit.limitMs(false) > 0);
});
