/** Backend servers of the older daemon that break off a response and go on with other bytes. */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setImmediate as nextTurn, setTimeout as sleep } from "node:timers/promises";
import { DispatchPhase } from "../src/dispatch-request.js";
import { setUp } from "./dispatch-fixture.js";

const body = "0123456789".repeat(40);
const missingBytes = 100;
const errorText = "worker ended while it wrote: broken pipe\n".repeat(10);
const sizedHead = `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n`;
const chunkedHead = `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n`;
const cutBody = body.slice(0, -missingBytes);

async function writePieces(socket: Socket, bytes: string, pieceBytes: number, pauseMs: number) {
    for (let from = 0; from < bytes.length; from += pieceBytes) {
        socket.write(bytes.slice(from, from + pieceBytes));
        await (pauseMs > 0 ? sleep(pauseMs) : nextTurn());
    }
}

const ways: Record<string, (socket: Socket) => unknown> = {
    "in one write": socket => socket.write(sizedHead + cutBody + errorText),
    "in pieces of 50 bytes": async socket => {
        socket.write(sizedHead);
        await writePieces(socket, cutBody + errorText, 50, 0);
    },
    "in pieces of 50 bytes, 3 ms apart": async socket => {
        socket.write(sizedHead);
        await writePieces(socket, cutBody + errorText, 50, 3);
    },
    "in chunks": socket => socket.write(chunkedHead + cutBody + errorText),
};

for (const [name, respond] of Object.entries(ways)) {
    // Guards against a broken-off body that other bytes fill up (MIXED).
    test(`a response that breaks off and goes on with other bytes, ${name}, is not complete`, async t => {
        const { send } = await setUp(t, respond);
        const { phase, text } = await send();
        assert.equal(phase, DispatchPhase.Truncated);
        // Only the end of a body in chunks is marked, so its caller sees that the mark is missing.
        const maxBytes = name === "in chunks" ? body.length : body.length - 1;
        assert.ok(text.length <= maxBytes, `${text.length} bytes`);
    });
}

// Guards against a body that the beginning of the next response fills up.
test("a response that breaks off and goes on with another response is not complete", async t => {
    const other = `HTTP/1.1 500 X\r\nContent-Length: 300\r\n\r\n${"x".repeat(300)}`;
    const { send } = await setUp(t, socket => socket.write(sizedHead + cutBody + other));
    assert.equal((await send()).phase, DispatchPhase.Truncated);
});

test("a whole response in chunks is complete, whatever follows it", async t => {
    const { send } = await setUp(t, socket => socket.write(`${chunkedHead}${body}\r\n0\r\n\r\n${errorText}`));
    assert.deepEqual(await send(), { phase: DispatchPhase.Complete, text: body });
});

test("a response in pieces with pauses is complete", async t => {
    const { send } = await setUp(t, socket => writePieces(socket, sizedHead + body, 70, 3));
    assert.deepEqual(await send(), { phase: DispatchPhase.Complete, text: body });
});
