import assert from "node:assert/strict";
import { test } from "node:test";
import { createReadTimeout } from "../src/read-timeout.js";

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
const createError = () => new Error("late");

// Guards against a sender that stops in the middle of a body and keeps its slot.
test("silence ends a wait", async t => {
    const limit = createReadTimeout(30, true, createError);
    t.after(() => limit.stop());
    await limit.race(Promise.resolve());
    await assert.rejects(limit.race(new Promise(() => undefined)), /late/);
    await assert.rejects(limit.race(Promise.resolve()), /late/, "the limit has expired for good");
});

// Guards against a large upload that is cut off although it makes progress.
test("progress restarts the time, unless it counts for all parts together", async t => {
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
