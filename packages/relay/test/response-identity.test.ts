/**
 * Servers that answer twice, with and without the id of the request. Guards against a success for a request that its server
 * has answered with a failure, and against waiting for a response that is known to be lost.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { RequestKind } from "@waxwingdale/balancing";
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
/** Time in milliseconds after which a server sends its second response. */
const secondResponseMs = 30;
/** Part of the deadline of a request, 700 ms, in which a lost response must have ended its wait. */
const promptMs = 350;
/** Time in milliseconds after which a server that has rejected a request is used again. */
const rejectedServerMs = 100;

const withoutId = (response: string) => response.replace(/X-Id: .*\r\n/, "");
const formatFailure = (text: string, fields: { id?: string; extra?: string } = {}) =>
    formatResponse(text, "failed", { status: 500, ...fields });

/** A first response of which nobody can tell that it is the response to the request in flight, or that it is not. */
const unidentified: Record<string, (text: string) => string> = {
    "a failure without an id": text => withoutId(formatFailure(text)),
    "a failure with an empty id": text => formatFailure(text, { id: "" }),
    "a failure with the id of the request and another one": text =>
        formatFailure(text, { extra: "X-Id: other\r\n" }),
    "a failure with another id and that of the request": text =>
        formatFailure(text, { id: "other", extra: `X-Id: ${getRequestId(text)}\r\n` }),
    "a failure without an id, behind an interim response": text =>
        `HTTP/1.1 103 X\r\n\r\n${withoutId(formatFailure(text))}`,
    "a failure in chunks without an id": text =>
        withoutId(formatFailure(text)).replace(
            "Content-Length: 6\r\n\r\nfailed",
            "Transfer-Encoding: chunked\r\n\r\n6\r\nfailed\r\n0\r\n\r\n",
        ),
    "a success without an id": text => withoutId(formatResponse(text, "unnamed")),
    "a rejection without an id that does not say that the request was not executed": text =>
        withoutId(formatResponse(text, "busy", { status: 503 })),
};

function writeLater(socket: Socket, bytes: string): void {
    setTimeout(() => {
        if (socket.writable) {
            socket.write(bytes);
        }
    }, secondResponseMs);
}

/** Starts an instance with one server. Requests whose id begins with "warm" are answered; the others run the script. */
async function setUp(t: TestContext, script: Script, isReused: boolean) {
    const server = await startServer((text, socket, count) => {
        if (getRequestId(text).startsWith("warm")) {
            socket.write(formatResponse(text, "warm"));
        } else {
            script(text, socket, count);
        }
    });
    const instance = await startInstance([server]);
    t.after(() => {
        instance.close();
        server.close();
    });
    const send = async (kind: RequestKind, id: string) => {
        const sentAt = performance.now();
        const text = await sendRaw(instance.port, formatRequest(kind, id), 1);
        return { text, tookMs: performance.now() - sentAt };
    };
    if (isReused) {
        await send(Idempotent, "warm");
    }
    return { instance, server, send };
}

for (const isReused of [false, true]) {
    const connection = isReused ? "a used connection" : "a new connection";
    for (const kind of [Idempotent, NonIdempotent]) {
        for (const [name, formatFirst] of Object.entries(unidentified)) {
            // Guards against a success (MIXED) after the server has answered with a failure.
            test(`${name} on ${connection}, then a success: the ${kind} request fails`, async t => {
                const script: Script = (text, socket) => {
                    socket.write(formatFirst(text));
                    writeLater(socket, formatResponse(text, "second"));
                };
                const { send } = await setUp(t, script, isReused);
                assert.match((await send(kind, "a")).text, /^HTTP\/1\.1 502/);
            });

            // Guards against waiting until the deadline for a response that is known to be lost.
            test(`${name} on ${connection} ends the wait of the ${kind} request`, async t => {
                const script: Script = (text, socket) => void socket.write(formatFirst(text));
                const { send, server } = await setUp(t, script, isReused);
                const { text, tookMs } = await send(kind, "a");
                assert.match(text, /^HTTP\/1\.1 502/);
                assert.ok(tookMs < promptMs, `it took ${Math.round(tookMs)} ms`);
                assert.equal(server.requests.length, isReused ? 2 : 1);
            });
        }
    }
}

// Guards against a success that belongs to an earlier send of the same id on the same connection.
test("a late success for an earlier request is not taken for a later one with the same id", async t => {
    let first: Socket | undefined;
    const script: Script = (text, socket) => {
        const isUsed = socket === first;
        first ??= socket;
        socket.write(isUsed ? formatResponse(text, "late") : formatFailure(text));
    };
    const { send } = await setUp(t, script, false);
    const answers = [(await send(NonIdempotent, "a")).text, (await send(NonIdempotent, "a")).text];
    answers.forEach(text => assert.match(text, /^HTTP\/1\.1 500/));
});

// Guards against a response that gets lost along with an unidentified one of a request before it.
test("an idempotent request whose response has no id is served by another server", async t => {
    const servers = [
        await startServer((text, socket) => void socket.write(withoutId(formatFailure(text)))),
        await startServer((text, socket) => void socket.write(formatResponse(text, "right"))),
    ];
    const instance = await startInstance(servers);
    t.after(() => {
        instance.close();
        servers.forEach(server => server.close());
    });
    for (const id of ["a", "b", "c", "d"]) {
        const sentAt = performance.now();
        assert.match(await sendRaw(instance.port, formatRequest(Idempotent, id), 1), /right$/);
        assert.ok(performance.now() - sentAt < promptMs);
    }
});

const rejectionOf = (text: string) =>
    formatResponse(text, "busy", { status: 503, extra: "X-Not-Run: 1\r\n" });
const firstRejections: Record<string, (text: string) => string> = {
    "with its id": rejectionOf,
    "without an id": text => withoutId(rejectionOf(text)),
};
for (const [name, formatFirst] of Object.entries(firstRejections)) {
    for (const kind of [Idempotent, NonIdempotent]) {
        // Guards against a success after a rejection that looks like a copy of the one before it (MIXED).
        test(`a rejection without an id behind one ${name}, then a success: the ${kind} request fails`, async t => {
            const script: Script = (text, socket, count) => {
                if (count === 0) {
                    socket.write(formatFirst(text));
                    return;
                }
                socket.write(withoutId(rejectionOf(text)));
                writeLater(socket, formatResponse(text, "second"));
            };
            const { send } = await setUp(t, script, false);
            await send(kind, "a");
            await sleep(rejectedServerMs);
            const { text, tookMs } = await send(kind, "b");
            assert.match(text, /^HTTP\/1\.1 50[23]/);
            assert.ok(tookMs < promptMs, `it took ${Math.round(tookMs)} ms`);
        });
    }
}

// Guards against a wait for the deadline if a rejection without an id comes on a used connection.
test("a rejection without an id on a used connection ends the wait", async t => {
    const script: Script = (text, socket) => void socket.write(withoutId(rejectionOf(text)));
    const { send } = await setUp(t, script, true);
    const { text, tookMs } = await send(NonIdempotent, "a");
    assert.match(text, /^HTTP\/1\.1 502/);
    assert.ok(tookMs < promptMs, `it took ${Math.round(tookMs)} ms`);
});

// Guards against a copy without an id on a connection whose later responses cannot be told from it.
test("a connection on which a response without an id was taken is not used again", async t => {
    const script: Script = (text, socket) => {
        if (getRequestId(text) === "") {
            const response = withoutId(formatResponse(text, "unnamed"));
            socket.write(response);
            writeLater(socket, response);
            return;
        }
        socket.write(formatResponse(text, "right"));
    };
    const { instance, send } = await setUp(t, script, false);
    const withoutAnId = formatRequest(Idempotent, "").replace("X-Id: \r\n", "");
    assert.match(await sendRaw(instance.port, withoutAnId, 1), /unnamed$/);
    assert.match((await send(NonIdempotent, "b")).text, /right$/);
});

// Guards against a failure of a request whose response follows a copy that names several earlier requests.
test("a copy with the id of an earlier request and another one is skipped", async t => {
    const script: Script = (text, socket) => {
        socket.write(formatResponse(text, "copy", { id: "warm", extra: "X-Id: other\r\n" }));
        socket.write(formatResponse(text, "right"));
    };
    const { send } = await setUp(t, script, true);
    assert.match((await send(NonIdempotent, "a")).text, /right$/);
});

// Guards against a request that always fails because its caller sends an empty id, which the server repeats.
test("a request with an empty id is served as one without an id", async t => {
    const script: Script = (text, socket) => void socket.write(formatResponse(text, "right"));
    const { send } = await setUp(t, script, true);
    assert.match((await send(NonIdempotent, "")).text, /right$/);
});

// Guards against a success after a failure that the server names itself, where the request has no id (MIXED).
test("the first response to a request without an id decides, whatever id it has", async t => {
    const script: Script = (text, socket) => {
        socket.write(formatFailure(text, { id: "other" }));
        writeLater(socket, withoutId(formatResponse(text, "second")));
    };
    const { send } = await setUp(t, script, false);
    assert.match((await send(NonIdempotent, "")).text, /^HTTP\/1\.1 500/);
});

// Guards against a success of which the server says that it did not execute the request.
test("a success that states that the request was not executed is not forwarded", async t => {
    const script: Script = (text, socket) =>
        void socket.write(formatResponse(text, "odd", { extra: "X-Not-Run: 1\r\n" }));
    const { send, server } = await setUp(t, script, false);
    assert.match((await send(NonIdempotent, "a")).text, /^HTTP\/1\.1 502/);
    assert.equal(server.requests.length, 1);
});

// Guards against an idempotent request that waits for its server although that has answered for another one.
test("an idempotent request goes to another server at once if its server names a request that it never got", async t => {
    const servers = [
        await startServer((text, socket) => void socket.write(formatFailure(text, { id: "other" }))),
        await startServer((text, socket) => void socket.write(formatResponse(text, "right"))),
    ];
    const instance = await startInstance(servers);
    t.after(() => {
        instance.close();
        servers.forEach(server => server.close());
    });
    for (const id of ["a", "b", "c", "d"]) {
        const sentAt = performance.now();
        assert.match(await sendRaw(instance.port, formatRequest(Idempotent, id), 1), /right$/);
        assert.ok(performance.now() - sentAt < promptMs);
    }
});
