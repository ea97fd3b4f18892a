import assert from "node:assert/strict";
import { test } from "node:test";
import { createIdleLimit } from "../src/idle-limit.js";

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
const createError = () => new Error("late");

// Guards against a sender that stops in the middle of a body and keeps its slot.
test("silence ends a wait", async t => {
    const limit = createIdleLimit(30, true, createError);
    t.after(() => limit.stop());
    await limit.guard(Promise.resolve());
    await assert.rejects(limit.guard(new Promise(() => undefined)), /late/);
    await assert.rejects(limit.guard(Promise.resolve()), /late/, "the limit has expired for good");
});

// Guards against a large upload that is cut off although it makes progress.
test("progress restarts the time, unless it counts for all parts together", async t => {
    const restarting = createIdleLimit(200, true, createError);
    const total = createIdleLimit(200, false, createError);
    t.after(() => {
        restarting.stop();
        total.stop();
    });
    for (let i = 0; i < 5; i++) {
        await restarting.guard(sleep(60));
    }
    await assert.rejects(total.guard(sleep(1000)), /late/);
});
