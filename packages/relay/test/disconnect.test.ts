/** Guards against work for callers that have disconnected, in each state of a request and for each way to leave. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { RequestKind } from "@waxwingdale/balancing";
import { RequestOutcome } from "@waxwingdale/relay";
import {
    formatRequest,
    formatResponse,
    getRequestId,
    startInstance,
    startServer,
    waitUntil,
} from "./fixtures.js";
import type { Script } from "./fixtures.js";

const { Idempotent, NonIdempotent } = RequestKind;

/** Time in milliseconds after which no request of a caller that has left may reach a server any more. */
const leftMs = 500;
/** A block of the event loop in milliseconds that is longer. */
const blockMs = 600;
/** Time in milliseconds in which everything that is pending is handled. */
const settleMs = 150;
/** Time in milliseconds after which a server that has rejected one request is used again. */
const shedBackoffMs = 100;

const leave: Record<string, (socket: Socket) => void> = {
    "closes with FIN": socket => socket.destroy(),
    "closes its sending side": socket => socket.end(),
    "closes with RST": socket => socket.resetAndDestroy(),
};

const respond: Script = (text, socket) =>
    void socket.write(formatResponse(text, `body of ${getRequestId(text)}`));
const reject: Script = (text, socket) =>
    void socket.write(formatResponse(text, "full", { status: 503, extra: "X-Not-Run: 1\r\n" }));

/** Returns scripts of two servers: the first one to get a `warm-up` request rejects it, the other responds. */
function createWarmableScripts(script: Script): Script[] {
    let warmUps = 0;
    const warmable: Script = (text, socket, count) => {
        if (getRequestId(text) !== "warm-up") {
            script(text, socket, count);
            return;
        }
        warmUps += 1;
        (warmUps === 1 ? reject : respond)(text, socket, count);
    };
    return [warmable, warmable];
}

const ignore: Script = () => undefined;

async function setUp(t: TestContext, scripts: Script[], options: Parameters<typeof startInstance>[1] = {}) {
    const servers = await Promise.all(scripts.map(startServer));
    const instance = await startInstance(servers, options);
    const callers: Socket[] = [];
    t.after(() => {
        callers.forEach(socket => socket.destroy());
        instance.close();
        servers.forEach(server => server.close());
    });
    const sent = (id: string) =>
        servers.flatMap(({ requests }) => requests).filter(text => getRequestId(text) === id).length;
    /** Opens a connection on which one request has already been served. */
    const openCaller = async (isServed = true): Promise<Socket> => {
        const socket = connect(instance.port, "127.0.0.1");
        callers.push(socket);
        socket.on("error", () => undefined);
        await once(socket, "connect");
        if (isServed) {
            socket.write(formatRequest(Idempotent, "first"));
            await once(socket, "data");
        }
        return socket;
    };
    /** Sends a request that the first server rejects, so that both servers have an idle connection. */
    const warmUp = async () => {
        const caller = await openCaller(false);
        const response = once(caller, "data");
        caller.write(formatRequest(Idempotent, "warm-up"));
        await response;
        await sleep(shedBackoffMs);
        assert.ok(servers.every(({ connections }) => connections.size === 1));
    };
    const findRecord = (id: string) => instance.records.find(({ requestId }) => requestId === id);
    return { instance, servers, sent, openCaller, warmUp, findRecord };
}

/** Blocks the event loop, so that everything that arrives meanwhile is handled late. */
function block(ms = blockMs): void {
    const until = performance.now() + ms;
    while (performance.now() < until) {
        // Busy on purpose.
    }
}

const withLongDeadline = (text: string) => text.replace("X-Deadline: 700", "X-Deadline: 3000");
const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
const nextTurn = () => new Promise(resolve => setImmediate(resolve));

for (const [way, close] of Object.entries(leave)) {
    for (const kind of [Idempotent, NonIdempotent]) {
        test(`late process: a ${kind} request is not sent if its caller ${way} before it is read`, async t => {
            const { sent, openCaller } = await setUp(t, [respond]);
            const caller = await openCaller();
            caller.write(formatRequest(kind, "a"));
            close(caller);
            block();
            await sleep(settleMs);
            assert.equal(sent("a"), 0);
        });

        test(`late process: a ${kind} request on a new connection is not sent if its caller ${way}`, async t => {
            const { sent, openCaller } = await setUp(t, [respond]);
            await openCaller();
            const caller = await openCaller(false);
            caller.write(formatRequest(kind, "a"));
            close(caller);
            block();
            await sleep(settleMs);
            assert.equal(sent("a"), 0);
        });
    }

    test(`late process: pipelined requests are not sent if their caller ${way}`, async t => {
        const { sent, openCaller } = await setUp(t, [respond]);
        const caller = await openCaller();
        caller.write(["a", "b", "c"].map(id => formatRequest(Idempotent, id)).join(""));
        close(caller);
        block();
        await sleep(settleMs);
        assert.equal(sent("a") + sent("b") + sent("c"), 0);
    });

    test(`late process: a request is not sent on a connection that opened after its caller ${way}`, async t => {
        const { instance, sent, openCaller } = await setUp(t, [respond]);
        const caller = await openCaller(false);
        caller.write(formatRequest(Idempotent, "a"));
        await waitUntil(() => instance.connectionCount() === 1, nextTurn);
        close(caller);
        block();
        await sleep(settleMs);
        assert.equal(sent("a"), 0);
    });

    test(`late process: a rejected request is not retried if its caller ${way}`, async t => {
        const rejections: (() => void)[] = [];
        const scripts = createWarmableScripts((text, socket, count) => {
            rejections.push(() => reject(text, socket, count));
        });
        const { sent, openCaller, warmUp } = await setUp(t, scripts);
        await warmUp();
        const caller = await openCaller(false);
        caller.write(withLongDeadline(formatRequest(NonIdempotent, "a")));
        await waitUntil(() => rejections.length === 1);
        rejections[0]!();
        close(caller);
        block();
        await sleep(settleMs);
        assert.equal(sent("a"), 1);
    });

    test(`late process: a request is not hedged if its caller ${way}`, async t => {
        const { sent, openCaller, warmUp } = await setUp(t, createWarmableScripts(ignore));
        await warmUp();
        const caller = await openCaller(false);
        caller.write(formatRequest(Idempotent, "a"));
        await waitUntil(() => sent("a") === 1);
        close(caller);
        block();
        await sleep(settleMs);
        assert.equal(sent("a"), 1);
    });

    test(`late process: a request that waits for a server is not sent if its caller ${way}`, async t => {
        const responses: (() => void)[] = [];
        const hold: Script = (text, socket) => void responses.push(() => respond(text, socket, 0));
        const { sent, openCaller } = await setUp(t, [hold]);
        for (const id of ["1", "2", "3", "4", "5"]) {
            (await openCaller(false)).write(formatRequest(Idempotent, id));
        }
        await waitUntil(() => responses.length === 5);
        const caller = await openCaller(false);
        caller.write(formatRequest(Idempotent, "a"));
        await sleep(20);
        assert.equal(sent("a"), 0, "the request waits");
        responses.forEach(run => run());
        close(caller);
        block();
        await sleep(settleMs);
        assert.equal(sent("a"), 0);
    });

    test(`late process: a request that waited for startup is not sent if its caller ${way}`, async t => {
        const { instance, sent, openCaller } = await setUp(t, [respond], { isStarting: true });
        const caller = await openCaller(false);
        // With this deadline the request would be held for longer than the event loop is blocked.
        caller.write(withLongDeadline(formatRequest(Idempotent, "a")));
        await sleep(20);
        close(caller);
        block(leftMs);
        instance.openGate();
        await sleep(settleMs);
        assert.equal(sent("a"), 0);
    });
}

/** Makes each turn of the event loop take a while, as in a process that has much to do after a pause. */
function slowDownTurns(turnMs: number, forMs: number): void {
    const until = performance.now() + forMs;
    const burn = () => {
        block(turnMs);
        if (performance.now() < until) {
            setImmediate(burn);
        }
    };
    setImmediate(burn);
}

// Guards against a process that looks on time while connections still wait: it accepts one in each turn. Found by the
// soak, seeds 1 to 6.
for (const [way, close] of Object.entries(leave)) {
    test(`late process: no request from a long accept queue is sent if its caller ${way}`, async t => {
        const respondLater: Script = (text, socket) => void setTimeout(() => respond(text, socket, 0), 30);
        const { instance, sent, openCaller } = await setUp(t, [respondLater]);
        const served = await Promise.all(Array.from({ length: 5 }, () => openCaller(false)));
        const responses = served.map(caller => once(caller, "data"));
        served.forEach(caller => caller.write(formatRequest(Idempotent, "first")));
        await Promise.all(responses);
        assert.equal(instance.connectionCount(), 5, "connections to the server are open");
        slowDownTurns(8, 1500);
        const queued = Array.from({ length: 100 }, () => connect(instance.port, "127.0.0.1"));
        t.after(() => queued.forEach(socket => socket.destroy()));
        await Promise.all(queued.map(socket => once(socket, "connect")));
        const leaver = await openCaller(false);
        leaver.write(formatRequest(Idempotent, "a"));
        close(leaver);
        await sleep(2500);
        assert.equal(sent("a"), 0);
    });
}

// Guards against a deadline that is cut in a surge of connections, most of which have hardly waited.
test("the time in the accept queue does not shorten the deadline of a caller that stays", async t => {
    const { instance, servers, openCaller } = await setUp(t, [respond]);
    slowDownTurns(8, 1200);
    const queued = Array.from({ length: 60 }, () => connect(instance.port, "127.0.0.1"));
    t.after(() => queued.forEach(socket => socket.destroy()));
    await Promise.all(queued.map(socket => once(socket, "connect")));
    const caller = await openCaller(false);
    caller.write(formatRequest(Idempotent, "a"));
    await once(caller, "data");
    const text = servers[0]!.requests.find(request => getRequestId(request) === "a")!;
    assert.ok(Number(/X-Deadline: (\d+)/.exec(text)![1]) > 500, "most of 700 ms are left");
});

test("late process: requests of callers that stay are served", async t => {
    const { sent, openCaller } = await setUp(t, [respond, respond]);
    const callers = [await openCaller(), await openCaller(false)];
    const responses = callers.map(caller => once(caller, "data"));
    callers.forEach((caller, index) => caller.write(formatRequest(NonIdempotent, `a${index}`)));
    block();
    const bodies = (await Promise.all(responses)).map(String);
    bodies.forEach((body, index) => assert.match(body, new RegExp(`body of a${index}$`)));
    assert.equal(sent("a0") + sent("a1"), 2);
});

// Guards against a server that works for longer than the caller waits, since its time began when the request was read.
test("late process: the time for which a request was pending counts against its deadline", async t => {
    const { servers, openCaller } = await setUp(t, [respond]);
    const caller = await openCaller();
    const response = once(caller, "data");
    caller.write(formatRequest(Idempotent, "a"));
    block();
    await response;
    const text = servers[0]!.requests.find(request => getRequestId(request) === "a")!;
    const passedOnMs = Number(/X-Deadline: (\d+)/.exec(text)![1]);
    assert.ok(passedOnMs < 500, `${passedOnMs} ms are passed on although at most 100 ms are left`);
});

// Guards against a disconnect that is not noticed because Node has stopped reading the caller's connection.
for (const [way, close] of Object.entries(leave)) {
    test(`a request behind which large pipelined responses wait is aborted when its caller ${way}`, async t => {
        const largeBody = "x".repeat(100_000);
        const script: Script = (text, socket) => {
            if (getRequestId(text) !== "a") {
                socket.write(formatResponse(text, largeBody));
            }
        };
        const { findRecord, openCaller } = await setUp(t, [script, script]);
        const caller = await openCaller(false);
        caller.write(["a", "b"].map(id => formatRequest(Idempotent, id)).join(""));
        await waitUntil(() => findRecord("b") !== undefined);
        // Node pauses the connection when a further request arrives.
        caller.write(formatRequest(Idempotent, "c"));
        await sleep(20);
        close(caller);
        await sleep(settleMs);
        assert.equal(findRecord("a")?.outcome, RequestOutcome.CallerLeft);
    });
}

// Guards against the same during startup, when the body of a request is not read yet.
test("a request with a large body that waited for startup is not sent after its caller disconnected", async t => {
    const bodyBytes = 200_000;
    const { instance, sent, openCaller } = await setUp(t, [respond], { isStarting: true, bodyBytes });
    const caller = await openCaller(false);
    const head = formatRequest(NonIdempotent, "a").replace(/Content-Length[^]*$/, "");
    caller.write(`${head}Content-Length: ${bodyBytes}\r\n\r\n${"x".repeat(bodyBytes)}`);
    await sleep(50);
    caller.destroy();
    await sleep(50);
    instance.openGate();
    await sleep(settleMs);
    assert.equal(sent("a"), 0);
});

// Guards against bytes that the kernel still delivers although the attempt has been canceled.
test("a request whose bytes have not reached the server is discarded when its caller disconnects", async t => {
    const bodyBytes = 600_000;
    let received = 0;
    const server = await startServer(ignore);
    server.onConnection(socket => {
        socket.pause();
        socket.on("data", chunk => (received += chunk.length));
    });
    const instance = await startInstance([server], { bodyBytes });
    t.after(() => {
        instance.close();
        server.close();
    });
    const caller = connect(instance.port, "127.0.0.1");
    const head = formatRequest(Idempotent, "a").replace(/\r\n$/, "");
    caller.write(`${head}Content-Length: ${bodyBytes}\r\n\r\n${"x".repeat(bodyBytes)}`);
    await waitUntil(() => server.connections.size === 1);
    await sleep(100);
    // A health check later has a connection of its own.
    const [connection] = server.connections;
    caller.destroy();
    await sleep(100);
    connection!.resume();
    await sleep(settleMs);
    assert.ok(received < bodyBytes, `${received} bytes arrived`);
    assert.ok(!server.connections.has(connection!), "the server sees that the request was canceled");
});

// Guards against a server that goes on working for a caller that has left.
for (const [way, close] of Object.entries(leave)) {
    test(`the server's connection is closed when the caller ${way}`, async t => {
        const { servers, findRecord, openCaller } = await setUp(t, [ignore]);
        const caller = await openCaller(false);
        caller.write(formatRequest(Idempotent, "a"));
        await waitUntil(() => servers[0]!.requests.length === 1);
        const [connection] = servers[0]!.connections;
        assert.equal(servers[0]!.connections.size, 1);
        close(caller);
        await sleep(settleMs);
        assert.ok(!servers[0]!.connections.has(connection!));
        assert.equal(findRecord("a")?.outcome, RequestOutcome.CallerLeft);
    });
}

test("a request whose body is incomplete when its caller disconnects is not sent", async t => {
    const { sent, openCaller } = await setUp(t, [respond]);
    const caller = await openCaller();
    caller.write(formatRequest(NonIdempotent, "a").slice(0, -1));
    await sleep(20);
    caller.destroy();
    await sleep(settleMs);
    assert.equal(sent("a"), 0);
});

/** Guards against a count of requests below zero, by which a planned stop ends while requests run (LOST). */
for (const [name, leaveNow] of Object.entries(leave)) {
    test(`a caller that ${name} while its request runs leaves no count of active requests behind`, async t => {
        const server = await startServer(() => undefined);
        const instance = await startInstance([server]);
        t.after(() => {
            instance.close();
            server.close();
        });
        const socket = connect(instance.port, "127.0.0.1");
        socket.write(formatRequest(Idempotent, "a") + formatRequest(Idempotent, "b"));
        await new Promise(resolve => setTimeout(resolve, settleMs));
        assert.equal(instance.active(), 2);
        leaveNow(socket);
        await new Promise(resolve => setTimeout(resolve, settleMs));
        assert.equal(instance.active(), 0);
    });
}
