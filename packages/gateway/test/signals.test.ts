import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { setImmediate as flush } from "node:timers/promises";
import { createSilentLogger } from "@waxwingdale/core";
import type { Gateway } from "../src/run-gateway.js";
import { ExitCode, handleSignals } from "../src/signals.js";

/** Creates a promise that is settled from outside. */
function defer<Value>() {
    let resolve!: (value: Value) => void;
    let reject!: (err: Error) => void;
    const promise = new Promise<Value>((onValue, onError) => {
        resolve = onValue;
        reject = onError;
    });
    return { promise, resolve, reject };
}

function setUp() {
    const source = new EventEmitter();
    const calls: string[] = [];
    const started = defer<Gateway>();
    const stopped = defer<void>();
    const gateway: Gateway = {
        logger: createSilentLogger(),
        reload: async () => void calls.push("reload"),
        stop: () => {
            calls.push("stop");
            return stopped.promise;
        },
    };
    handleSignals({ source, started: started.promise, exit: code => calls.push(`exit ${code}`) });
    const send = async (...signals: string[]) => {
        signals.forEach(signal => source.emit(signal));
        await flush();
    };
    return { calls, send, stopped, start: () => started.resolve(gateway), fail: started.reject };
}

// Guards against requests in progress that a second SIGTERM cuts off (LOST).
test("a second SIGTERM does not end the shutdown", async () => {
    const { calls, send, start, stopped } = setUp();
    start();
    await send("SIGTERM");
    await send("SIGTERM", "SIGINT", "SIGTERM");
    assert.deepEqual(calls, ["stop"]);
    stopped.resolve(undefined);
    await flush();
    assert.deepEqual(calls, ["stop", "exit 0"]);
});

test("a second SIGINT ends the process at once", async () => {
    const { calls, send, start } = setUp();
    start();
    await send("SIGINT");
    await send("SIGINT");
    assert.deepEqual(calls, ["stop", `exit ${ExitCode.Internal}`]);
});

test("a shutdown that fails ends the process with a code of its own", async () => {
    const { calls, send, start, stopped } = setUp();
    start();
    await send("SIGTERM");
    stopped.reject(new Error("no"));
    await flush();
    assert.deepEqual(calls, ["stop", `exit ${ExitCode.Internal}`]);
});

// Guards against a signal that ends the process while it starts, with requests that it has accepted already.
test("signals that come during the start take effect after it", async () => {
    const { calls, send, start } = setUp();
    await send("SIGHUP", "SIGTERM");
    assert.deepEqual(calls, []);
    start();
    await flush();
    assert.deepEqual(calls, ["reload", "stop"]);
});

test("a signal during a start that fails does nothing", async () => {
    const { calls, send, fail } = setUp();
    await send("SIGTERM");
    fail(new Error("no"));
    await send("SIGTERM");
    assert.deepEqual(calls, []);
});
