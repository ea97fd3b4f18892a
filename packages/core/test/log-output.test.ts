import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { test } from "node:test";
import { createLogOutput, createManualClock } from "@waxwingdale/core";

// Guards against unbounded memory use when the consumer stops reading, and against lines that are lost unnoticed.
test("lines beyond the buffer limit are dropped and counted", async () => {
    const clock = createManualClock();
    const written: string[] = [];
    const stream = { writableLength: 0, write: (text: string) => written.push(text) };
    const output = createLogOutput({ clock, stream, maxBufferedBytes: 1000 });
    output.write("first");
    await clock.advance(100);
    assert.deepEqual(written, ["first\n"]);
    stream.writableLength = 1001;
    output.write("lost");
    output.write("lost");
    await clock.advance(100);
    stream.writableLength = 0;
    output.write("next");
    await clock.advance(100);
    assert.equal(written.length, 2);
    assert.match(written[1]!, /^next\n.*event=log-lines-dropped count=2\n$/);
});

const writer = `
import { createLogOutput, createSystemClock } from "@waxwingdale/core";
const output = createLogOutput({ clock: createSystemClock(), flushDelayMs: 1 });
const line = "x".repeat(1000);
const startedAt = Date.now();
let count = 0;
const timer = setInterval(() => {
    for (let index = 0; index < 200; index++) {
        output.write(line);
    }
    if (++count === 20) {
        clearInterval(timer);
        process.stderr.write(String(Date.now() - startedAt), () => process.exit());
    }
}, 5);
`;

// Guards against a process that blocks when nobody reads its log: a pipe buffers 64 KiB.
test("a full pipe does not block the process", async () => {
    const child = spawn(process.execPath, ["--import", "tsx", "--input-type=module", "-e", writer], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    let elapsed = "";
    child.stderr.on("data", chunk => (elapsed += String(chunk)));
    await once(child, "exit");
    assert.ok(Number(elapsed) > 0 && Number(elapsed) < 3000);
});
