import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { RequestKind } from "@waxwingdale/balancing";
import { RequestOutcome } from "@waxwingdale/relay";
import {
    formatResponse,
    formatRequest,
    getRequestId,
    sendRaw,
    startInstance,
    startServer,
} from "./fixtures.js";
import type { Script } from "./fixtures.js";

const { Idempotent, NonIdempotent } = RequestKind;

async function setUp(t: TestContext, ...scripts: Script[]) {
    const servers = await Promise.all(scripts.map(startServer));
    const instance = await startInstance(servers);
    t.after(() => {
        instance.close();
        servers.forEach(server => server.close());
    });
    const requestCounts = () => servers.map(({ requests }) => requests.length);
    return {
        instance,
        servers,
        requestCounts,
        totalSent: () => requestCounts().reduce((sum, count) => sum + count, 0),
    };
}

const respond: Script = (text, socket) =>
    void socket.write(formatResponse(text, `body of ${getRequestId(text)}`));

test("forwards requests with the remaining deadline and the server id, and responses unchanged", async t => {
    const { instance, servers } = await setUp(t, respond);
    const text = await sendRaw(instance.port, formatRequest(Idempotent, "a"), 1);
    assert.match(text, /^HTTP\/1\.1 200/);
    assert.match(text, /X-Signature: s/);
    assert.match(text, /body of a$/);
    const sent = servers[0]!.requests[0]!;
    assert.match(sent, /X-Server: i-0/);
    const remainingMs = Number(/X-Deadline: (\d+)/.exec(sent)![1]);
    assert.ok(remainingMs <= 700 && remainingMs > 500);
});

// Guards against swapped responses when the second of two pipelined requests completes first.
test("pipelined requests get their responses in order", async t => {
    const { instance } = await setUp(t, (text, socket) => {
        setTimeout(
            () => socket.write(formatResponse(text, `body of ${getRequestId(text)}`)),
            getRequestId(text) === "a" ? 80 : 0,
        );
    });
    const text = await sendRaw(
        instance.port,
        formatRequest(Idempotent, "a") + formatRequest(Idempotent, "b"),
        2,
    );
    assert.ok(text.indexOf("body of a") < text.indexOf("body of b"));
});

// Guards against forwarding an unsolicited response of a faulty server to the next caller.
test("an unsolicited response is not matched to any request", async t => {
    const { instance } = await setUp(t, (text, socket) => {
        socket.write(formatResponse(text, `body of ${getRequestId(text)}`));
        setTimeout(
            () => socket.write(formatResponse(text, "stray", { id: "other" })),
            getRequestId(text) === "a" ? 0 : 5,
        );
    });
    for (const id of ["a", "b", "c", "d"]) {
        const text = await sendRaw(instance.port, formatRequest(NonIdempotent, id), 1);
        assert.match(text, new RegExp(`body of ${id}$`));
    }
});

// Guards against mistaking a late, unsolicited response for the response to the next request.
test("a response with the id of another request is skipped", async t => {
    const { instance, totalSent } = await setUp(t, (text, socket) => {
        socket.write(formatResponse(text, "stray", { id: "other" }) + formatResponse(text, "right"));
    });
    const text = await sendRaw(instance.port, formatRequest(NonIdempotent, "a"), 1);
    assert.match(text, /right$/);
    assert.equal(totalSent(), 1);
});

/** A server that rejects its first request, and writes the rejection again in front of its response to the next one. */
async function sendAfterRepeatedRejection(t: TestContext, idHeader: string) {
    const rejection = `HTTP/1.1 503 X\r\n${idHeader}X-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull`;
    const script: Script = (text, socket, count) => {
        if (count === 0) {
            socket.write(formatResponse(text, "full", { status: 503, extra: "X-Not-Run: 1\r\n" }));
            return;
        }
        socket.write(rejection);
        setTimeout(() => {
            if (socket.writable) {
                socket.write(formatResponse(text, `body of ${getRequestId(text)}`));
            }
        }, 20);
    };
    const { instance, requestCounts } = await setUp(t, script, respond);
    await sendRaw(instance.port, formatRequest(Idempotent, "first"), 1);
    const [first, second] = requestCounts();
    // The server that has rejected a request is used again after a while.
    await new Promise(resolve => setTimeout(resolve, 100));
    const sentAt = performance.now();
    const text = await sendRaw(instance.port, formatRequest(NonIdempotent, "later"), 1);
    assert.deepEqual(requestCounts(), [first! + 1, second]);
    return { text, tookMs: performance.now() - sentAt };
}

// Guards against telling a caller that its request did not run, and running it twice, because a faulty server wrote an
// earlier rejection once more on a connection that is in use again.
test("a repeated rejection with the id of the earlier request is not matched to a later request", async t => {
    assert.match((await sendAfterRepeatedRejection(t, "X-Id: first\r\n")).text, /body of later$/);
});

// Guards against the same, and against a success where the rejection was the server's response to the later request.
test("a repeated rejection without an id is not matched to a later request, which fails at once", async t => {
    const { text, tookMs } = await sendAfterRepeatedRejection(t, "");
    assert.match(text, /^HTTP\/1\.1 502/);
    assert.ok(tookMs < 350, `it took ${Math.round(tookMs)} ms`);
});

// Guards against a request without an id whose response is mistaken for that of another one.
test("a request without an id is served on a connection of its own", async t => {
    const echo: Script = (text, socket) =>
        void socket.write(formatResponse(text, "body").replace("X-Id: \r\n", ""));
    const { instance, servers } = await setUp(t, echo);
    const connections = new Set<unknown>();
    servers[0]!.onConnection(socket => connections.add(socket));
    const withoutId = formatRequest(Idempotent, "").replace("X-Id: \r\n", "");
    for (const text of [formatRequest(Idempotent, "a"), withoutId, withoutId]) {
        assert.match(await sendRaw(instance.port, text, 1), /^HTTP\/1\.1 200/);
    }
    assert.equal(connections.size, 3);
});

// Guards against forwarding a truncated response as if it were complete.
test("a truncated response is not forwarded, and an idempotent request is retried on another server", async t => {
    const truncate: Script = (text, socket) =>
        void socket.end(formatResponse(text, "0123456789").slice(0, -4));
    const { instance, totalSent } = await setUp(t, truncate, truncate);
    const text = await sendRaw(instance.port, formatRequest(Idempotent, "a"), 1);
    assert.match(text, /^HTTP\/1\.1 502/);
    assert.equal(totalSent(), 2);
});

// Guards against executing a request twice, such as issuing a certificate.
test("a non-idempotent request whose response is lost is neither retried nor reported as refused", async t => {
    const reset: Script = (_text, socket) => void socket.resetAndDestroy();
    const { instance, totalSent } = await setUp(t, reset, reset);
    const text = await sendRaw(instance.port, formatRequest(NonIdempotent, "a"), 1);
    assert.match(text, /^HTTP\/1\.1 502/);
    assert.equal(totalSent(), 1);
});

// Guards against a 503 that tells the caller that the request was not executed although the server did not state it.
test("a 503 from a server that does not state that the request was not executed becomes a 502", async t => {
    const fail: Script = (text, socket) => void socket.write(formatResponse(text, "x", { status: 503 }));
    const { instance } = await setUp(t, fail);
    const text = await sendRaw(instance.port, formatRequest(NonIdempotent, "a"), 1);
    assert.match(text, /^HTTP\/1\.1 502/);
    assert.doesNotMatch(text, /X-Signature/);
});

test("a request that a server did not execute is retried on another server", async t => {
    const shed: Script = (text, socket, count) =>
        void socket.write(
            count === 0 && getRequestId(text) === "a" && !shedState.done
                ? ((shedState.done = true),
                  formatResponse(text, "full", { status: 503, extra: "X-Not-Run: 1\r\n" }))
                : formatResponse(text, "ran"),
        );
    const shedState = { done: false };
    const { instance, totalSent } = await setUp(t, shed, shed);
    const text = await sendRaw(instance.port, formatRequest(NonIdempotent, "a"), 1);
    assert.match(text, /ran$/);
    assert.equal(totalSent(), 2);
});

// Guards against further requests to an address that another server has taken over.
test("a 421 removes the server, and the request is retried on another server", async t => {
    const other: Script = (text, socket) =>
        void socket.write(`HTTP/1.1 421 X\r\nX-Id: ${getRequestId(text)}\r\nContent-Length: 0\r\n\r\n`);
    const { instance, requestCounts } = await setUp(t, other, respond);
    for (const id of ["a", "b", "c"]) {
        assert.match(
            await sendRaw(instance.port, formatRequest(NonIdempotent, id), 1),
            new RegExp(`body of ${id}$`),
        );
    }
    assert.ok(requestCounts()[0]! <= 1);
});

// Guards against requests to a server that shuts down, although its record does not say so yet.
test("a server that announces its shutdown in a response gets no further requests", async t => {
    const script: Script = (text, socket) =>
        void socket.write(
            formatResponse(text, `body of ${getRequestId(text)}`, { extra: "X-Leaving: 1\r\n" }),
        );
    const { instance, requestCounts } = await setUp(t, script, respond);
    for (const id of ["a", "b", "c", "d"]) {
        assert.match(
            await sendRaw(instance.port, formatRequest(NonIdempotent, id), 1),
            new RegExp(`body of ${id}$`),
        );
    }
    assert.ok(requestCounts()[0]! <= 1, `${requestCounts()[0]} requests`);
});

// Guards against work for callers that have disconnected.
test("the request to the server is aborted when the caller disconnects", async t => {
    const { instance, servers } = await setUp(t, () => undefined);
    const socket = connect(instance.port, "127.0.0.1", () => socket.write(formatRequest(Idempotent, "a")));
    await waitUntil(() => servers[0]!.requests.length === 1);
    socket.destroy();
    await waitUntil(() => servers[0]!.connections.size === 0);
    assert.equal(instance.records[0]!.outcome, RequestOutcome.CallerLeft);
});

// Guards against keeping a caller waiting beyond its deadline for an unresponsive server.
test("a request without a response fails with 504 at its deadline", async t => {
    const { instance } = await setUp(t, () => undefined);
    const startedAt = Date.now();
    const text = await sendRaw(instance.port, formatRequest(NonIdempotent, "a"), 1);
    assert.match(text, /^HTTP\/1\.1 504/);
    assert.ok(Date.now() - startedAt < 900);
});

// Guards against dropping a response without a length, and against treating it as complete after a reset.
test("a response without a length ends when the connection closes", async t => {
    const unframed: Script = (text, socket) => {
        socket.write(`HTTP/1.1 200 X\r\nX-Id: ${getRequestId(text)}\r\nX-Signature: s\r\n\r\nwhole`);
        if (getRequestId(text) === "whole") {
            socket.end();
        } else {
            setTimeout(() => socket.resetAndDestroy(), 20);
        }
    };
    const { instance } = await setUp(t, unframed);
    assert.match(await sendRaw(instance.port, formatRequest(NonIdempotent, "whole"), 1), /whole$/);
    assert.match(await sendRaw(instance.port, formatRequest(NonIdempotent, "reset"), 1), /^HTTP\/1\.1 502/);
});

// Guards against mistaking a reset for the end of the stream: Node reports it so when data and reset arrive together.
test("a response without a length is incomplete if the connection is reset along with its last bytes", async t => {
    const { instance } = await setUp(t, (text, socket) => {
        socket.write(`HTTP/1.1 200 X\r\nX-Id: ${getRequestId(text)}\r\nX-Signature: s\r\n\r\npart`);
        socket.resetAndDestroy();
    });
    for (const id of ["a", "b", "c"]) {
        assert.match(await sendRaw(instance.port, formatRequest(NonIdempotent, id), 1), /^HTTP\/1\.1 502/);
    }
});

// Guards against waiting for an unresponsive server while another one could respond.
test("an idempotent request is hedged on another server when its server stops responding", async t => {
    let isUnresponsive = false;
    const script: Script = (text, socket) => {
        if (isUnresponsive) {
            isUnresponsive = false;
            return;
        }
        socket.write(formatResponse(text, "there"));
    };
    const { instance, totalSent } = await setUp(t, script, script);
    for (let round = 0; round < 8; round++) {
        await sendRaw(instance.port, formatRequest(Idempotent, "warm-up"), 1);
    }
    isUnresponsive = true;
    assert.match(await sendRaw(instance.port, formatRequest(Idempotent, "a"), 1), /there$/);
    assert.equal(totalSent(), 10);
});

// Guards against stale connections that use up the attempts of a request.
test("a reset of a reused connection does not count as an attempt of an idempotent request", async t => {
    const resetConnections = new Set<string>();
    const script: Script = (text, socket) => {
        const id = getRequestId(text);
        if (id.startsWith("cut") && !resetConnections.has(`${id} ${socket.remotePort}`)) {
            resetConnections.add(`${id} ${socket.remotePort}`);
            if (resetConnections.size <= 3) {
                socket.resetAndDestroy();
                return;
            }
        }
        socket.write(formatResponse(text, `body of ${id}`));
    };
    const { instance } = await setUp(t, script);
    await Promise.all(["a", "b", "c"].map(id => sendRaw(instance.port, formatRequest(Idempotent, id), 1)));
    assert.match(await sendRaw(instance.port, formatRequest(Idempotent, "cut"), 1), /body of cut$/);
});

// Guards against sending a non-idempotent request on an idle connection after other connections turned out to be stale.
test("no non-idempotent request is lost to a short idle timeout once an idempotent one has revealed it", async t => {
    const serverIdleTimeoutMs = 100;
    const usedAt = new Map<unknown, number>();
    const script: Script = (text, socket) => {
        const last = usedAt.get(socket) ?? Date.now();
        usedAt.set(socket, Date.now());
        if (Date.now() - last > serverIdleTimeoutMs) {
            socket.resetAndDestroy();
        } else {
            socket.write(formatResponse(text, `body of ${getRequestId(text)}`));
        }
    };
    const { instance, servers } = await setUp(t, script, script, script, script, script);
    const send = (kind: RequestKind, id: string) => sendRaw(instance.port, formatRequest(kind, id), 1);
    await Promise.all([send(Idempotent, "a"), send(NonIdempotent, "b")]);
    assert.ok(
        servers.every(({ requests }) => requests.length <= 1),
        "each request uses its own server",
    );
    await new Promise(resolve => setTimeout(resolve, 2 * serverIdleTimeoutMs));
    assert.match(await send(Idempotent, "c"), /body of c$/);
    assert.match(await send(NonIdempotent, "d"), /body of d$/);
});

// All instances are killed simultaneously, and callers retry before the new processes have read the store.
test("a request during startup waits for the instance to become ready, and is rejected after a time limit", async t => {
    const server = await startServer(respond);
    const instance = await startInstance([server], { isStarting: true });
    t.after(() => {
        instance.close();
        server.close();
    });
    const startedAt = Date.now();
    assert.match(await sendRaw(instance.port, formatRequest(Idempotent, "early"), 1), /^HTTP\/1.1 503/);
    assert.ok(Date.now() - startedAt < 700, "rejected later than the caller's deadline");
    assert.equal(server.requests.length, 0);
    setTimeout(() => instance.openGate(), 100);
    assert.match(await sendRaw(instance.port, formatRequest(NonIdempotent, "held"), 1), /body of held$/);
    assert.equal(server.requests.length, 1);
});

// Guards against a crash on forwarding invalid headers, found by the fuzz test with FUZZ_SEED=2.
for (const damaged of ["X-Na@me: 1", "X-Value: a\u0001b"]) {
    test(`a response with the header ${JSON.stringify(damaged)} is not forwarded`, async t => {
        const script: Script = (text, socket) =>
            void socket.write(formatResponse(text, "body", { extra: `${damaged}\r\n` }));
        const { instance } = await setUp(t, script);
        assert.match(await sendRaw(instance.port, formatRequest(NonIdempotent, "a"), 1), /^HTTP\/1.1 502/);
        assert.match(instance.records[0]!.attempts[0]!.result, /^malformed/);
    });
}

test("a path without a route gets a 404 and is not forwarded", async t => {
    const { instance, totalSent } = await setUp(t, respond);
    const text = await sendRaw(instance.port, "GET /none/1 HTTP/1.1\r\nHost: h\r\nX-Id: a\r\n\r\n", 1);
    assert.match(text, /^HTTP\/1\.1 404/);
    assert.equal(totalSent(), 0);
});

async function waitUntil(condition: () => boolean): Promise<void> {
    for (let round = 0; round < 100 && !condition(); round++) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    assert.ok(condition());
}
