/**
 * Servers that break off a response and go on with another one on the same connection. Guards against a success that is put
 * together from both, and against one behind a failure that was read as a part of something else (MIXED).
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { RequestKind } from "@waxwingdale/balancing";
import { ResponseMismatch } from "@waxwingdale/relay";
import {
    formatRequest,
    formatResponse,
    getRequestId,
    sendRaw,
    startInstance,
    startServer,
} from "./fixtures.js";
import type { Script } from "./fixtures.js";

const { Idempotent, NonIdempotent } = RequestKind;
/** Time in milliseconds after which a server goes on. */
const pauseMs = 5;
/** Part of the deadline of a request, 700 ms, in which a lost response must have ended its wait. */
const promptMs = 350;

const formatFailure = (text: string) => formatResponse(text, "failed", { status: 500 });

function writeLater(socket: Socket, bytes: string, delayMs = pauseMs): void {
    setTimeout(() => {
        if (socket.writable) {
            socket.write(bytes);
        }
    }, delayMs);
}

async function setUp(t: TestContext, script: Script) {
    const server = await startServer(script);
    const instance = await startInstance([server]);
    t.after(() => {
        instance.close();
        server.close();
    });
    const send = async (id: string, kind: RequestKind = NonIdempotent) => {
        const sentAt = performance.now();
        const text = await sendRaw(instance.port, formatRequest(kind, id), 1);
        return { text, tookMs: performance.now() - sentAt };
    };
    return { instance, send };
}

// Guards against a connection that is used again while it holds the beginning of a head.
test("a copy that is cut at any byte in the segment of a response does not reach the next caller", async t => {
    const copyOf = (id: string) => formatResponse("", "copy", { id });
    const script: Script = (text, socket) => {
        const [, name, cut] = /^(a|b)(\d+)$/.exec(getRequestId(text)) ?? [];
        const copy = name === "a" ? copyOf(getRequestId(text)).slice(0, Number(cut)) : "";
        socket.write(name === "a" ? formatResponse(text, "right") + copy : formatFailure(text));
    };
    const { instance, send } = await setUp(t, script);
    const { length } = copyOf("a10");
    for (let cut = 1; cut < length; cut++) {
        assert.match((await send(`a${cut}`)).text, /^HTTP\/1\.1 200[^]*right$/, `cut at ${cut}`);
        assert.match((await send(`b${cut}`)).text, /^HTTP\/1\.1 500[^]*failed$/, `cut at ${cut}`);
    }
    const surplus = instance.skipped.filter(({ mismatch }) => mismatch === ResponseMismatch.Surplus);
    assert.equal(surplus.length, length - 1);
});

// Guards against a status line that is read as a part of the head before it.
test("a response that is cut at any byte of its head, then a failure, is no success", async t => {
    const headLength = formatResponse(formatRequest(NonIdempotent, "100"), "").length;
    const script: Script = (text, socket) => {
        socket.write(formatResponse(text, "right").slice(0, Number(getRequestId(text)) - 100));
        writeLater(socket, formatFailure(text));
    };
    const { send } = await setUp(t, script);
    for (let cut = 0; cut < headLength; cut++) {
        const { text, tookMs } = await send(String(100 + cut));
        assert.match(text, /^HTTP\/1\.1 50[02]/, `cut at ${cut}`);
        assert.ok(tookMs < promptMs, `cut at ${cut}: it took ${Math.round(tookMs)} ms`);
    }
});

test("an interim response that is cut in its head, then a failure and a success, is no success", async t => {
    const script: Script = (text, socket) => {
        const failure = formatResponse(text, "", { status: 500 });
        socket.write(`HTTP/1.1 103 X\r\nX-Foo: ${failure}`);
        writeLater(socket, formatResponse(text, "second"));
    };
    const { send } = await setUp(t, script);
    assert.match((await send("a")).text, /^HTTP\/1\.1 502/);
});

for (const kind of [Idempotent, NonIdempotent]) {
    // Guards against a body that is filled up with the beginning of the next response.
    test(`a body that is cut, then a failure: the ${kind} request fails`, async t => {
        const script: Script = (text, socket) => {
            socket.write(formatResponse(text, "x".repeat(20)).slice(0, -10));
            writeLater(socket, formatFailure(text));
        };
        const { send } = await setUp(t, script);
        assert.match((await send("a", kind)).text, /^HTTP\/1\.1 502/);
    });

    // Guards against a failure that is read as the body of a copy before it.
    test(`a copy without its body, then a failure and a success: the ${kind} request fails`, async t => {
        const script: Script = (text, socket, count) => {
            if (count === 0) {
                socket.write(formatResponse(text, "first"));
                return;
            }
            const failure = formatFailure(text);
            const copy = formatResponse(text, "x".repeat(failure.length), { id: "a" });
            // The status line comes in two segments.
            socket.write(copy.slice(0, -failure.length) + failure.slice(0, 3));
            writeLater(socket, failure.slice(3));
            writeLater(socket, formatResponse(text, "second"), 2 * pauseMs);
        };
        const { send } = await setUp(t, script);
        await send("a");
        assert.match((await send("b", kind)).text, /^HTTP\/1\.1 502/);
    });

    // Guards against waiting for a response behind a copy that ends with the connection.
    test(`a copy without a length ends the wait of the ${kind} request`, async t => {
        const script: Script = (text, socket, count) => {
            if (count === 0) {
                socket.write(formatResponse(text, "first"));
                return;
            }
            const copy = formatResponse(text, "copy", { id: "a" }).replace(/Content-Length: .*\r\n/, "");
            socket.write(copy + formatResponse(text, "right"));
        };
        const { send } = await setUp(t, script);
        await send("a");
        const { text, tookMs } = await send("b", kind);
        assert.match(text, /^HTTP\/1\.1 502/);
        assert.ok(tookMs < promptMs, `it took ${Math.round(tookMs)} ms`);
    });
}

// Guards against a response that is lost because a body has other bytes behind it, which belong to no request.
test("a body that contains a status line is whole", async t => {
    const page = "an answer begins with HTTP/1.1 200 OK";
    const { send } = await setUp(t, (text, socket) => void socket.write(formatResponse(text, page)));
    assert.ok((await send("a")).text.endsWith(page));
});
