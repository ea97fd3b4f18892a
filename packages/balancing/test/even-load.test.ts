/**
 * Even load in the model of competing choices. Load: one region of deployment Q (50 servers of 9 slots, work takes 2.5 times
 * as long in 0.15 of the time), at 60 % and 85 % of the slots.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { route, runModel } from "./choice-model.js";

const deployment = { servers: 50, slots: 9, maxQueued: 27, slowShare: 0.15, statesWorkTime: true };
/** Choosing instances of a region: 12 active of 36 or 89, and all of 36. */
const instanceCounts = [4, 12];
/** With this many queued requests at a server, a warm request still comes within its target latency. */
const maxQueuedInTime = 15;
/** Of the target latency: a wait that callers do not notice. */
const maxWaitMs = route.targetLatencyMs / 10;

// Guards against servers that are overloaded in turns, while others idle.
for (const instances of instanceCounts) {
    test(`${instances} instances at 60 %: waits are short and no server is far over its slots`, async () => {
        const result = await runModel({ ...deployment, instances, load: 0.6, exchangeMs: 250 });
        assert.ok(result.meanWaitMs < maxWaitMs, `wait ${result.meanWaitMs} ms`);
        assert.ok(result.p99WaitMs < route.targetLatencyMs / 2, `99th percentile ${result.p99WaitMs} ms`);
        assert.ok(result.maxExcess <= maxQueuedInTime, `${result.maxExcess} requests over the slots`);
        assert.ok(result.lost < 0.001, `${result.lost} lost`);
    });

    // Guards against evenness that costs the warm objects, and with them the capacity.
    test(`${instances} instances at 85 %: objects stay warm and 98 of 100 requests get a slot in time`, async () => {
        const result = await runModel({ ...deployment, instances, load: 0.85, exchangeMs: 250 });
        assert.ok(result.warm > 0.75, `${result.warm} warm`);
        assert.ok(result.lost < 0.02, `${result.lost} lost`);
    });
}

// Guards against a choice that depends on peers: their reports are missing while a link is cut.
test("without reports of peers, waits at 60 % stay short", async () => {
    const result = await runModel({ ...deployment, instances: 4, load: 0.6 });
    assert.ok(result.meanWaitMs < maxWaitMs, `wait ${result.meanWaitMs} ms`);
    assert.ok(result.lost < 0.01, `${result.lost} lost`);
});

// Guards against late reports that overwrite what the instance knows better.
test("with reports of peers only every 2 s, waits at 60 % stay short", async () => {
    const result = await runModel({ ...deployment, instances: 4, load: 0.6, exchangeMs: 2000 });
    assert.ok(result.meanWaitMs < maxWaitMs, `wait ${result.meanWaitMs} ms`);
    assert.ok(result.lost < 0.01, `${result.lost} lost`);
});
