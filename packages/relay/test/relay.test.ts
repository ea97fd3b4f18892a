import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { RequestKind } from "@waxwingdale/balancing";
import { RequestOutcome } from "@waxwingdale/relay";
import { formatAnswer, formatRequest, idOf, sendRaw, startInstance, startServer } from "./fixtures.js";
import type { Script } from "./fixtures.js";

const { Idempotent, NonIdempotent } = RequestKind;

async function setUp(t: TestContext, ...scripts: Script[]) {
    const servers = await Promise.all(scripts.map(startServer));
    const instance = await startInstance(servers);
    t.after(() => {
        instance.close();
        servers.forEach(server => server.close());
    });
    const sentTo = () => servers.map(({ requests }) => requests.length);
    return { instance, servers, sentTo, totalSent: () => sentTo().reduce((sum, count) => sum + count, 0) };
}

const answer: Script = (text, socket) => void socket.write(formatAnswer(text, `body of ${idOf(text)}`));

test("an answer is passed on unchanged with the time that is left and the server it is meant for", async t => {
    const { instance, servers } = await setUp(t, answer);
    const text = await sendRaw(instance.port, formatRequest(Idempotent, "a"), 1);
    assert.match(text, /^HTTP\/1\.1 200/);
    assert.match(text, /X-Signature: s/);
    assert.match(text, /body of a$/);
    const sent = servers[0]!.requests[0]!;
    assert.match(sent, /X-Server: i-0/);
    const left = Number(/X-Deadline: (\d+)/.exec(sent)![1]);
    assert.ok(left <= 700 && left > 500);
});

// Guards against answers that are mixed up between pipelined requests of which the second is answered first.
test("pipelined requests are answered in their order", async t => {
    const { instance } = await setUp(t, (text, socket) => {
        setTimeout(
            () => socket.write(formatAnswer(text, `body of ${idOf(text)}`)),
            idOf(text) === "a" ? 80 : 0,
        );
    });
    const text = await sendRaw(
        instance.port,
        formatRequest(Idempotent, "a") + formatRequest(Idempotent, "b"),
        2,
    );
    assert.ok(text.indexOf("body of a") < text.indexOf("body of b"));
});

// Guards against a second answer of a faulty server that reaches the next caller.
test("an extra answer belongs to no request", async t => {
    const { instance } = await setUp(t, (text, socket) => {
        socket.write(formatAnswer(text, `body of ${idOf(text)}`));
        setTimeout(
            () => socket.write(formatAnswer(text, "stray", { id: "other" })),
            idOf(text) === "a" ? 0 : 5,
        );
    });
    for (const id of ["a", "b", "c", "d"]) {
        const text = await sendRaw(instance.port, formatRequest(NonIdempotent, id), 1);
        assert.match(text, new RegExp(`body of ${id}$`));
    }
});

// Guards against a late extra answer that stands where the next answer is expected.
test("an answer with the id of another request is skipped", async t => {
    const { instance, totalSent } = await setUp(t, (text, socket) => {
        socket.write(formatAnswer(text, "stray", { id: "other" }) + formatAnswer(text, "right"));
    });
    const text = await sendRaw(instance.port, formatRequest(NonIdempotent, "a"), 1);
    assert.match(text, /right$/);
    assert.equal(totalSent(), 1);
});

// Guards against a truncated answer that looks complete.
test("an answer that is cut off is not passed on; an idempotent request is sent to another server", async t => {
    const cut: Script = (text, socket) => void socket.end(formatAnswer(text, "0123456789").slice(0, -4));
    const { instance, totalSent } = await setUp(t, cut, cut);
    const text = await sendRaw(instance.port, formatRequest(Idempotent, "a"), 1);
    assert.match(text, /^HTTP\/1\.1 502/);
    assert.equal(totalSent(), 2);
});

// Guards against a certificate that is issued twice.
test("a non-idempotent request whose answer is lost is not sent again and not called a refusal", async t => {
    const reset: Script = (_text, socket) => void socket.resetAndDestroy();
    const { instance, totalSent } = await setUp(t, reset, reset);
    const text = await sendRaw(instance.port, formatRequest(NonIdempotent, "a"), 1);
    assert.match(text, /^HTTP\/1\.1 502/);
    assert.equal(totalSent(), 1);
});

// Guards against a 503 that promises "not run" although the server did not say so.
test("a server's own 503 without the statement that it did not run is not passed on as one", async t => {
    const fail: Script = (text, socket) => void socket.write(formatAnswer(text, "x", { status: 503 }));
    const { instance } = await setUp(t, fail);
    const text = await sendRaw(instance.port, formatRequest(NonIdempotent, "a"), 1);
    assert.match(text, /^HTTP\/1\.1 502/);
    assert.doesNotMatch(text, /X-Signature/);
});

test("a request that a server did not run goes to another one", async t => {
    const shed: Script = (text, socket, count) =>
        void socket.write(
            count === 0 && idOf(text) === "a" && !sharedShed.done
                ? ((sharedShed.done = true),
                  formatAnswer(text, "full", { status: 503, extra: "X-Not-Run: 1\r\n" }))
                : formatAnswer(text, "ran"),
        );
    const sharedShed = { done: false };
    const { instance, totalSent } = await setUp(t, shed, shed);
    const text = await sendRaw(instance.port, formatRequest(NonIdempotent, "a"), 1);
    assert.match(text, /ran$/);
    assert.equal(totalSent(), 2);
});

// Guards against an address that another server has taken over.
test("a 421 takes the server out and the request goes elsewhere", async t => {
    const other: Script = (text, socket) =>
        void socket.write(`HTTP/1.1 421 X\r\nX-Id: ${idOf(text)}\r\nContent-Length: 0\r\n\r\n`);
    const { instance, sentTo } = await setUp(t, other, answer);
    for (const id of ["a", "b", "c"]) {
        assert.match(
            await sendRaw(instance.port, formatRequest(NonIdempotent, id), 1),
            new RegExp(`body of ${id}$`),
        );
    }
    assert.ok(sentTo()[0]! <= 1);
});

// Guards against work for callers that have gone.
test("a caller that leaves ends the work at the server", async t => {
    const { instance, servers } = await setUp(t, () => undefined);
    const socket = connect(instance.port, "127.0.0.1", () => socket.write(formatRequest(Idempotent, "a")));
    await waitUntil(() => servers[0]!.requests.length === 1);
    socket.destroy();
    await waitUntil(() => servers[0]!.connections.size === 0);
    assert.equal(instance.records[0]!.outcome, RequestOutcome.CallerLeft);
});

// Guards against a caller that waits beyond its deadline for a silent server.
test("a request without an answer ends at its deadline with 504", async t => {
    const { instance } = await setUp(t, () => undefined);
    const startedAt = Date.now();
    const text = await sendRaw(instance.port, formatRequest(NonIdempotent, "a"), 1);
    assert.match(text, /^HTTP\/1\.1 504/);
    assert.ok(Date.now() - startedAt < 900);
});

// Guards against an answer without a length that is dropped, and against one that was reset being taken as complete.
test("an answer without a length ends with its connection", async t => {
    const unframed: Script = (text, socket) => {
        socket.write(`HTTP/1.1 200 X\r\nX-Id: ${idOf(text)}\r\nX-Signature: s\r\n\r\nwhole`);
        if (idOf(text) === "whole") {
            socket.end();
        } else {
            setTimeout(() => socket.resetAndDestroy(), 20);
        }
    };
    const { instance } = await setUp(t, unframed);
    assert.match(await sendRaw(instance.port, formatRequest(NonIdempotent, "whole"), 1), /whole$/);
    assert.match(await sendRaw(instance.port, formatRequest(NonIdempotent, "reset"), 1), /^HTTP\/1\.1 502/);
});

// Guards against a reset that Node reports as the end of the stream, which it does when data and reset arrive together.
test("an answer without a length whose connection is reset together with its last bytes is not complete", async t => {
    const { instance } = await setUp(t, (text, socket) => {
        socket.write(`HTTP/1.1 200 X\r\nX-Id: ${idOf(text)}\r\nX-Signature: s\r\n\r\npart`);
        socket.resetAndDestroy();
    });
    for (const id of ["a", "b", "c"]) {
        assert.match(await sendRaw(instance.port, formatRequest(NonIdempotent, id), 1), /^HTTP\/1\.1 502/);
    }
});

// Guards against a caller that waits for a server which has fallen silent while another one could answer.
test("a silent server does not hold up an idempotent request: another one is asked in time", async t => {
    let isSilent = false;
    const script: Script = (text, socket) => {
        if (isSilent) {
            isSilent = false;
            return;
        }
        socket.write(formatAnswer(text, "there"));
    };
    const { instance, totalSent } = await setUp(t, script, script);
    for (let round = 0; round < 8; round++) {
        await sendRaw(instance.port, formatRequest(Idempotent, "warm-up"), 1);
    }
    isSilent = true;
    assert.match(await sendRaw(instance.port, formatRequest(Idempotent, "a"), 1), /there$/);
    assert.equal(totalSent(), 10);
});

// Guards against a connection that the server has closed, which used up the attempts of a request.
test("a kept connection that was reset does not count as an attempt of an idempotent request", async t => {
    const cutOnce = new Set<string>();
    const script: Script = (text, socket) => {
        const id = idOf(text);
        if (id.startsWith("cut") && !cutOnce.has(`${id} ${socket.remotePort}`)) {
            cutOnce.add(`${id} ${socket.remotePort}`);
            if (cutOnce.size <= 3) {
                socket.resetAndDestroy();
                return;
            }
        }
        socket.write(formatAnswer(text, `body of ${id}`));
    };
    const { instance } = await setUp(t, script);
    await Promise.all(["a", "b", "c"].map(id => sendRaw(instance.port, formatRequest(Idempotent, id), 1)));
    assert.match(await sendRaw(instance.port, formatRequest(Idempotent, "cut"), 1), /body of cut$/);
});

// Guards against a request that must not run twice on a kept connection of which others have shown that it may be gone.
test("servers that forget connections soon lose no non-idempotent request once one has shown it", async t => {
    const forgetMs = 100;
    const usedAt = new Map<unknown, number>();
    const script: Script = (text, socket) => {
        const last = usedAt.get(socket) ?? Date.now();
        usedAt.set(socket, Date.now());
        if (Date.now() - last > forgetMs) {
            socket.resetAndDestroy();
        } else {
            socket.write(formatAnswer(text, `body of ${idOf(text)}`));
        }
    };
    const { instance, servers } = await setUp(t, script, script, script, script, script);
    const send = (kind: RequestKind, id: string) => sendRaw(instance.port, formatRequest(kind, id), 1);
    await Promise.all([send(Idempotent, "a"), send(NonIdempotent, "b")]);
    assert.ok(
        servers.every(({ requests }) => requests.length <= 1),
        "the two kinds have servers of their own",
    );
    await new Promise(resolve => setTimeout(resolve, 2 * forgetMs));
    assert.match(await send(Idempotent, "c"), /body of c$/);
    assert.match(await send(NonIdempotent, "d"), /body of d$/);
});

// Pattern: all instances are killed at once, and callers come back before the new processes have read the store.
test("a request that reaches a starting instance waits for the start, and is refused after a bounded time", async t => {
    const server = await startServer(answer);
    const instance = await startInstance([server], { isStarting: true });
    t.after(() => {
        instance.close();
        server.close();
    });
    const startedAt = Date.now();
    assert.match(await sendRaw(instance.port, formatRequest(Idempotent, "early"), 1), /^HTTP\/1.1 503/);
    assert.ok(Date.now() - startedAt < 700, "longer than the caller could wait");
    assert.equal(server.requests.length, 0);
    setTimeout(() => instance.openGate(), 100);
    assert.match(await sendRaw(instance.port, formatRequest(NonIdempotent, "held"), 1), /body of held$/);
    assert.equal(server.requests.length, 1);
});

// Guards against a damaged answer that ended the process when it was passed on (FUZZ_SEED=2 of the fuzz test).
for (const damaged of ["X-Na@me: 1", "X-Value: a\u0001b"]) {
    test(`an answer with the header ${JSON.stringify(damaged)} is not passed on`, async t => {
        const script: Script = (text, socket) =>
            void socket.write(formatAnswer(text, "body", { extra: `${damaged}\r\n` }));
        const { instance } = await setUp(t, script);
        assert.match(await sendRaw(instance.port, formatRequest(NonIdempotent, "a"), 1), /^HTTP\/1.1 502/);
        assert.match(instance.records[0]!.attempts[0]!.result, /^malformed/);
    });
}

test("a path without a route gets 404, and no server sees it", async t => {
    const { instance, totalSent } = await setUp(t, answer);
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
