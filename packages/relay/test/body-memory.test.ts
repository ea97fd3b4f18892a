import assert from "node:assert/strict";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { RequestKind } from "@waxwingdale/balancing";
import { createManualClock } from "@waxwingdale/core";
import { createBodyMemory } from "@waxwingdale/relay";
import { measureMemory } from "../../core/test/heap.js";
import { formatRequest, formatResponse, sendRaw, startInstance, startServer } from "./fixtures.js";

const mib = 1024 * 1024;

test("a body that is alone may exceed the limit", () => {
    const memory = createBodyMemory(10, createManualClock(0));
    assert.ok(memory.open().grow(12));
    assert.equal(memory.open().grow(1), false);
    assert.equal(memory.heldBytes(), 12);
});

test("the largest body that is being received makes room for others", () => {
    const memory = createBodyMemory(10, createManualClock(0));
    const evicted: string[] = [];
    memory.open(() => evicted.push("small")).grow(2);
    memory.open(() => evicted.push("large")).grow(5);
    assert.ok(memory.open(() => evicted.push("new")).grow(4));
    assert.deepEqual(evicted, ["large"]);
    assert.equal(memory.heldBytes(), 6);
});

test("a body that would have to evict smaller ones has no room", () => {
    const memory = createBodyMemory(10, createManualClock(0));
    memory.open(() => assert.fail("evicted")).grow(4);
    assert.equal(memory.open(() => undefined).grow(7), false);
    assert.equal(memory.heldBytes(), 4);
});

/** Guards against callers that do not read their responses and leave no room for others (LOST). */
test("the body that has been sent for the longest time makes room, before one that is being received", async () => {
    const clock = createManualClock(0);
    const memory = createBodyMemory(10, clock);
    const evicted: string[] = [];
    for (const [name, bytes] of [
        ["first", 2],
        ["second", 4],
    ] as const) {
        const hold = memory.open(() => assert.fail("evicted as incomplete"));
        hold.grow(bytes);
        hold.complete();
        hold.startSending(() => evicted.push(name));
        await clock.advance(100);
    }
    memory.open(() => evicted.push("incoming")).grow(3);
    assert.equal(memory.open().grow(2), true);
    assert.deepEqual(evicted, ["incoming"]);
    await clock.advance(950);
    assert.equal(memory.open().grow(4), true);
    assert.deepEqual(evicted, ["incoming", "first"]);
});

test("a complete body is not evicted and is freed once", () => {
    const memory = createBodyMemory(10, createManualClock(0));
    const hold = memory.open(() => assert.fail("evicted"));
    hold.grow(8);
    hold.complete();
    assert.equal(memory.open(() => undefined).grow(3), false);
    hold.release();
    hold.release();
    assert.equal(memory.heldBytes(), 0);
});

/** Guards against a process that is killed for its memory by uploads that it accepts all at once (LOST). */
test("an upload that has no room beside others is rejected at once and can come back", async t => {
    const server = await startServer((text, socket) => void socket.write(formatResponse(text, "ok")));
    const instance = await startInstance([server], { bodyBytes: 64 * mib });
    t.after(() => {
        instance.close();
        server.close();
    });
    const head = (id: string) =>
        formatRequest(RequestKind.NonIdempotent, id).replace(/Content-Length: 2\r\n\r\nhi/, "") +
        `Content-Length: ${40 * mib}\r\n\r\n`;
    const first = connect(instance.port, "127.0.0.1", () => first.write(head("a")));
    t.after(() => first.destroy());
    await sleep(50);
    assert.match(
        await sendRaw(instance.port, head("b"), 1),
        /^HTTP\/1\.1 503 [^]*Retry-After: \d[^]*no memory for the body/,
    );
    first.destroy();
    await sleep(50);
    assert.match(await sendRaw(instance.port, formatRequest(RequestKind.NonIdempotent, "c"), 1), / 200 /);
});

/** Guards against a process that runs out of memory on an upload in small chunks, as it held an object for each (LOST). */
test("an upload in chunks of one byte takes the memory of its bytes", async t => {
    const chunkCount = 300_000;
    const server = await startServer(() => undefined);
    const instance = await startInstance([server], { bodyBytes: 2 * chunkCount });
    t.after(() => {
        instance.close();
        server.close();
    });
    const head = formatRequest(RequestKind.NonIdempotent, "a").replace(/Content-Length: 2\r\n\r\nhi/, "");
    const before = measureMemory();
    const caller = connect(instance.port, "127.0.0.1");
    t.after(() => caller.destroy());
    caller.write(`${head}Transfer-Encoding: chunked\r\n\r\n`);
    await new Promise(resolve => caller.write("1\r\nx\r\n".repeat(chunkCount), resolve));
    await sleep(500);
    assert.ok(measureMemory() - before < 20 * chunkCount);
});

/** Guards against a process that is killed for its memory by callers that do not read their responses (LOST). */
test("a response has room beside those of callers that do not read theirs: the one sent for the longest time goes", async t => {
    const body = "x".repeat(15 * mib);
    const server = await startServer((text, socket) => void socket.write(formatResponse(text, body)));
    const instance = await startInstance([server]);
    const callers: Socket[] = [];
    t.after(() => {
        callers.forEach(caller => caller.destroy());
        instance.close();
        server.close();
    });
    const request = async (index: number) => {
        const caller = connect(instance.port, "127.0.0.1").pause();
        callers.push(caller);
        const text = formatRequest(RequestKind.NonIdempotent, `c${index}`);
        caller.write(text.replace("X-Deadline: 700", "X-Deadline: 5000"));
        while (instance.records.length < callers.length) {
            await sleep(5);
        }
    };
    for (let index = 0; index < 10; index++) {
        await request(index);
    }
    await sleep(1050);
    await request(10);
    assert.deepEqual(
        instance.records.map(({ status }) => status),
        Array<number>(11).fill(200),
    );
    const closed = callers.map(
        caller => new Promise<boolean>(resolve => caller.once("close", () => resolve(true))),
    );
    callers.forEach(caller => caller.on("error", () => undefined).resume());
    assert.ok(
        await Promise.race([closed[0]!, sleep(1000, false)]),
        "the first caller has lost its connection",
    );
    assert.equal(await Promise.race([closed[10]!, sleep(100, false)]), false);
});

/** Guards against an instance that holds more than its limit while callers have had no time to read. */
test("a body that is sent for less than a second is not evicted", async () => {
    const clock = createManualClock(0);
    const memory = createBodyMemory(10, clock);
    const hold = memory.open(() => assert.fail("evicted as incomplete"));
    hold.grow(8);
    hold.complete();
    hold.startSending(() => assert.fail("evicted as slow"));
    await clock.advance(900);
    assert.equal(memory.open(() => undefined).grow(3), false);
});
