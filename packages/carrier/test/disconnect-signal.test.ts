import assert from "node:assert/strict";
import { test } from "node:test";
import { createDisconnectSignal } from "../src/disconnect-signal.js";

// Guards against work that continues for a caller that has disconnected.
test("a disconnect notifies listeners and aborts signals once", () => {
    const signal = createDisconnectSignal();
    const notified: string[] = [];
    const removed = () => void notified.push("removed");
    signal.addEventListener("abort", () => void notified.push("kept"));
    signal.addEventListener("abort", removed);
    signal.removeEventListener("abort", removed);
    const abortSignal = signal.toSignal();
    assert.equal(abortSignal.aborted, false);
    signal.abort();
    signal.abort();
    assert.deepEqual(
        [notified, signal.aborted, abortSignal.aborted, signal.toSignal().aborted],
        [["kept"], true, true, true],
    );
});

test("a signal requested after the disconnect is already aborted", () => {
    const signal = createDisconnectSignal();
    signal.abort();
    assert.equal(signal.toSignal().aborted, true);
});
