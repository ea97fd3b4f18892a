import assert from "node:assert/strict";
import { test } from "node:test";
import { createReadTimeout } from "../src/read-timeout.js";

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
const createError = () => new Error("late");

// Guards against a sender that stalls in the middle of a body and occupies its slot.
test("a read that takes too long is rejected", async t => {
    const timeout = createReadTimeout(30, true, createError);
    t.after(() => timeout.stop());
    await timeout.race(Promise.resolve());
    await assert.rejects(timeout.race(new Promise(() => undefined)), /late/);
    await assert.rejects(timeout.race(Promise.resolve()), /late/, "the timeout stays expired");
});

// Guards against a large upload that is canceled although it makes progress.
test("each read restarts the timeout, unless it covers all reads together", async t => {
    const restarting = createReadTimeout(200, true, createError);
    const total = createReadTimeout(200, false, createError);
    t.after(() => {
        restarting.stop();
        total.stop();
    });
    for (let i = 0; i < 5; i++) {
        await restarting.race(sleep(60));
    }
    await assert.rejects(total.race(sleep(1000)), /late/);
});
