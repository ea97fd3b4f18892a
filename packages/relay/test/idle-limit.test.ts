/** Servers that drop idle connections early, for example after a third of a second. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock } from "@waxwingdale/core";
import { createIdleLimit } from "@waxwingdale/relay";

// Guards against sending a non-idempotent request on a stale connection: this looks like a lost response, so the
// request fails.
test("a stale connection temporarily lowers the limit for non-idempotent requests", () => {
    const clock = createManualClock();
    const limit = createIdleLimit(clock);
    assert.ok(limit.limitMs(false) > 1000);
    limit.recordStale(400);
    assert.ok(limit.limitMs(false) < 320);
    assert.ok(limit.limitMs(true) > 1000, "idempotent requests can be retried");
    limit.recordStale(2000);
    assert.ok(limit.limitMs(false) < 320, "a longer idle time does not raise the limit");
    clock.jump(60_000);
    assert.ok(limit.limitMs(false) > 1000);
});

test("resets that do not depend on the idle time do not disable connection reuse", () => {
    const limit = createIdleLimit(createManualClock());
    limit.recordStale(0);
    assert.ok(limit.limitMs(false) > 0);
});
