import assert from "node:assert/strict";
import { test } from "node:test";
import { createElapsedClock, createManualClock } from "@waxwingdale/core";

function setUp(isEnabled = true) {
    const clock = createManualClock(1000);
    const offsets = { wallMs: 5_000_000 };
    const suspensions: number[] = [];
    const elapsed = createElapsedClock({
        clock: { ...clock, wallTime: () => clock.now() + offsets.wallMs },
        isEnabled: () => isEnabled,
        onSuspended: ms => suspensions.push(ms),
    });
    elapsed.now();
    return { clock, offsets, suspensions, elapsed };
}

// Guards against a view that looks younger than it is, since the monotonic clock stood still.
const cases = [
    { name: "a suspension", wallMs: 8000, countedMs: 8000 },
    { name: "a suspension while the time of day is set back by less", wallMs: 3000, countedMs: 3000 },
    { name: "a time of day that is set back", wallMs: -3000, countedMs: 0 },
    { name: "the resolution of the clocks", wallMs: 60, countedMs: undefined },
];

for (const { name, wallMs, countedMs } of cases) {
    test(`elapsed clock: ${name}`, () => {
        const { clock, offsets, suspensions, elapsed } = setUp();
        clock.jump(500);
        offsets.wallMs += wallMs;
        assert.equal(elapsed.now(), 1500 + (countedMs ?? 0));
        assert.deepEqual(suspensions, countedMs === undefined ? [] : [countedMs]);
        assert.equal(elapsed.resumedAt(), countedMs === undefined ? -Infinity : 1500 + countedMs);
        clock.jump(500);
        assert.equal(elapsed.now(), 2000 + (countedMs ?? 0));
        assert.ok(suspensions.length <= 1, "a suspension is counted once");
    });
}

test("elapsed clock: short suspensions add up", () => {
    const { offsets, suspensions, elapsed } = setUp();
    for (let index = 0; index < 4; index++) {
        offsets.wallMs += 40;
        elapsed.now();
    }
    assert.deepEqual(suspensions, [120]);
});

test("elapsed clock: a listener is called until it is removed, and nothing is detected while it is disabled", () => {
    let calls = 0;
    const { offsets, elapsed } = setUp();
    const remove = elapsed.onResume(() => calls++);
    offsets.wallMs += 1000;
    elapsed.now();
    remove();
    offsets.wallMs += 1000;
    elapsed.now();
    assert.equal(calls, 1);
    const disabled = setUp(false);
    disabled.offsets.wallMs += 1000;
    assert.equal(disabled.elapsed.now(), 1000);
});
