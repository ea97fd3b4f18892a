import assert from "node:assert/strict";
import { test } from "node:test";
import { createDisconnectSignal } from "../src/disconnect-signal.js";

// Guards against work that goes on for a caller that has left.
test("listeners and signals of a caller's leave are told once", () => {
    const left = createDisconnectSignal();
    const told: string[] = [];
    const removed = () => void told.push("removed");
    left.addEventListener("abort", () => void told.push("kept"));
    left.addEventListener("abort", removed);
    left.removeEventListener("abort", removed);
    const early = left.toSignal();
    assert.equal(early.aborted, false);
    left.abort();
    left.abort();
    assert.deepEqual(
        [told, left.aborted, early.aborted, left.toSignal().aborted],
        [["kept"], true, true, true],
    );
});

test("a signal that is asked for after the leave is aborted", () => {
    const left = createDisconnectSignal();
    left.abort();
    assert.equal(left.toSignal().aborted, true);
});
