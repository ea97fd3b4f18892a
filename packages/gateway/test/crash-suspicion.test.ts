import assert from "node:assert/strict";
import { test } from "node:test";
import { getTrialDelayMs } from "../src/crash-suspicion.js";

const instances = Array.from({ length: 30 }, (_, index) => `g-${index}`);

// Guards against a wave of trials, one at each instance that a request reaches (BUDGET).
test("instances try a request one after the other, in an order that depends on the request", () => {
    const getDelays = (fingerprint: string) =>
        instances.map(self => getTrialDelayMs(fingerprint, self, instances));
    const delays = getDelays("a");
    assert.deepEqual(
        [...delays].sort((a, b) => a - b).slice(0, 12),
        [0, 200, 400, 600, 800, 1000, 1200, 1400, 1600, 1800, 2000, 2000],
    );
    assert.notDeepEqual(delays, getDelays("b"));
});

test("an instance that is not active leaves a trial to all others", () => {
    assert.equal(getTrialDelayMs("a", "standby", instances), 2000);
});
