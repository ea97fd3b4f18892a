import assert from "node:assert/strict";
import { test } from "node:test";
import { createEventLoopMonitor, createManualClock } from "@waxwingdale/core";

const intervalMs = 100;

/** Lets `count` turns of the event loop pass. */
async function passTurns(count: number): Promise<void> {
    for (let turn = 0; turn < count; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

test("an event loop that ticks in time is not late, and callbacks run immediately", () => {
    const clock = createManualClock();
    const monitor = createEventLoopMonitor(clock, intervalMs);
    for (let round = 0; round < 5; round++) {
        clock.jump(intervalMs);
        monitor.tick();
        clock.jump(intervalMs / 2);
        assert.equal(monitor.pendingMs(), 0);
        clock.jump(-intervalMs / 2);
    }
    let calls = 0;
    monitor.afterPending(() => (calls += 1));
    assert.equal(calls, 1);
});

// Guards against a late loop that looks on time, since its timers run before the events that arrived meanwhile.
test("after a long turn, events that are handled behind the next tick count as late", () => {
    const clock = createManualClock();
    const monitor = createEventLoopMonitor(clock, intervalMs);
    clock.jump(intervalMs);
    monitor.tick();
    clock.jump(700);
    assert.ok(monitor.pendingMs() >= 700);
    monitor.tick();
    assert.ok(monitor.pendingMs() >= 700);
    clock.jump(intervalMs);
    monitor.tick();
    assert.equal(monitor.pendingMs(), 0);
});

test("in a late event loop a callback runs after the events of the next turn", async () => {
    const clock = createManualClock();
    const monitor = createEventLoopMonitor(clock, intervalMs);
    clock.jump(700);
    let calls = 0;
    monitor.afterPending(() => (calls += 1));
    await passTurns(1);
    assert.equal(calls, 0);
    await passTurns(2);
    assert.equal(calls, 1);
});
