import assert from "node:assert/strict";
import { Socket } from "node:net";
import { test } from "node:test";
import { createEventLoopMonitor, createManualClock } from "@waxwingdale/core";
import { createAcceptDelay } from "@waxwingdale/relay";

const tickMs = 100;

function setUp() {
    const clock = createManualClock(1000);
    const eventLoop = createEventLoopMonitor(clock, tickMs);
    const tick = () => {
        clock.jump(tickMs);
        eventLoop.tick();
    };
    return { clock, tick, delay: createAcceptDelay(clock, eventLoop) };
}

async function passTurns(count: number): Promise<void> {
    for (let turn = 0; turn < count; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

test("a connection that is accepted in time has not been pending", () => {
    const { tick, delay } = setUp();
    tick();
    tick();
    const socket = new Socket();
    delay.recordConnection(socket);
    assert.equal(delay.pendingMs(socket), 0);
});

// Guards against connections that look fresh although they have waited behind others since the process was late.
test("connections that are accepted in consecutive turns have waited since the first one", async () => {
    const { clock, tick, delay } = setUp();
    clock.jump(900);
    const sockets = Array.from({ length: 5 }, () => new Socket());
    for (const socket of sockets) {
        delay.recordConnection(socket);
        assert.ok(delay.pendingMs(socket) >= 900, `${delay.pendingMs(socket)} ms`);
        tick();
        await passTurns(1);
    }
    await passTurns(3);
    const later = new Socket();
    delay.recordConnection(later);
    assert.equal(delay.pendingMs(later), 0, "the queue was empty in between");
});

// Guards against counting the time for which a caller keeps its connection idle.
test("the first request of a connection that was idle has not been pending", async () => {
    const { clock, tick, delay } = setUp();
    const socket = new Socket();
    delay.recordConnection(socket);
    await passTurns(3);
    clock.jump(5000);
    tick();
    tick();
    assert.equal(delay.pendingMs(socket), 0);
});
