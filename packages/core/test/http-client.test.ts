import assert from "node:assert/strict";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpCallError, responseTimeoutCode, createHttpClient } from "../src/index.js";
import type { HttpClient } from "../src/index.js";
import { measureMemory } from "./heap.js";

const maxResponseBytes = 10_000;

let server: Server | undefined;
let client: HttpClient | undefined;
const sockets = new Set<Socket>();

afterEach(() => {
    client?.close();
    client = undefined;
    server?.close();
    sockets.forEach(socket => socket.destroy());
    sockets.clear();
});

/** Starts a TCP server that passes each received chunk to `respond`. */
async function listen(respond: (socket: Socket, head: string) => void): Promise<string> {
    server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", data => respond(socket, data.toString()));
    });
    await new Promise<void>(resolve => server!.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function call(address: string, options: { timeoutMs?: number; signal?: AbortSignal; body?: string } = {}) {
    client ??= createHttpClient({
        connections: 2,
        connectTimeoutMs: 300,
        maxResponseBytes,
    });
    const { timeoutMs = 1000, signal, body } = options;
    return client.call({
        method: body === undefined ? "GET" : "POST",
        address,
        path: "/a",
        headers: {},
        body,
        timeoutMs,
        signal,
    });
}

test("reuses the connection for the next call", async () => {
    const address = await listen(socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    assert.deepEqual(await call(address), { status: 200, text: "ok" });
    assert.deepEqual(await call(address), { status: 200, text: "ok" });
    assert.equal(sockets.size, 1);
});

test("sends the body with its content length", async () => {
    const heads: string[] = [];
    const address = await listen((socket, head) => {
        heads.push(head);
        socket.write("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
    });
    assert.equal((await call(address, { body: "{}" })).status, 409);
    assert.match(heads[0]!, /^POST \/a HTTP\/1\.1[^]*content-length: 2\r\n/i);
});

test("reports the system error code of a refused connection", async () => {
    const address = await listen(() => undefined);
    await new Promise(resolve => server!.close(resolve));
    await assert.rejects(call(address), (err: HttpCallError) => err.code === "ECONNREFUSED");
});

test("times out and closes the connection if the server does not respond", async () => {
    const address = await listen(() => undefined);
    await assert.rejects(
        call(address, { timeoutMs: 80 }),
        (err: HttpCallError) => err.code === responseTimeoutCode,
    );
    await waitUntilClosed();
});

test("times out if the response stalls halfway", async () => {
    const address = await listen(socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"));
    await assert.rejects(call(address, { timeoutMs: 80 }), HttpCallError);
});

test("rejects a truncated response", async () => {
    const address = await listen(socket => socket.end("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"));
    await assert.rejects(call(address), HttpCallError);
});

test("rejects an endless body at the size limit", async () => {
    const address = await listen(socket => {
        socket.write("HTTP/1.1 200 OK\r\n\r\n");
        keepWriting(socket, "x".repeat(1000));
    });
    await assert.rejects(call(address), /more than 10000 bytes/);
    await waitUntilClosed();
});

test("rejects endless headers", async () => {
    const address = await listen(socket => {
        socket.write("HTTP/1.1 200 OK\r\n");
        keepWriting(socket, `x-filler: ${"x".repeat(1000)}\r\n`);
    });
    await assert.rejects(call(address), HttpCallError);
    await waitUntilClosed();
});

test("a canceled call fails immediately", async () => {
    const address = await listen(() => undefined);
    const controller = new AbortController();
    const response = call(address, { signal: controller.signal });
    controller.abort();
    await assert.rejects(response, /canceled/);
});

// Guards against an unhandled error event, which would crash the process during shutdown.
test("a call with an already aborted signal fails without opening a connection", async () => {
    const address = await listen(() => undefined);
    await assert.rejects(call(address, { signal: AbortSignal.abort() }), /canceled/);
    await new Promise(resolve => setTimeout(resolve, 50));
    assert.equal(sockets.size, 0);
});

function keepWriting(socket: Socket, text: string): void {
    const timer = setInterval(() => socket.write(text), 1);
    socket.on("close", () => clearInterval(timer));
}

async function waitUntilClosed(): Promise<void> {
    const open = [...sockets].filter(socket => !socket.destroyed);
    await Promise.all(open.map(socket => new Promise(resolve => socket.once("close", resolve))));
}

/** Guards against a process that runs out of memory on a body of the store or a peer in small chunks (LOST). */
test("holds the bytes of a response in chunks of one byte, not an object for each", async () => {
    const chunkCount = 500_000;
    client = createHttpClient({ connections: 1, connectTimeoutMs: 300, maxResponseBytes: 2 * chunkCount });
    const answers: Promise<unknown>[] = [];
    const received = new Promise<Socket>(resolve => {
        void listen(socket => {
            socket.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            socket.write("1\r\nx\r\n".repeat(chunkCount), () => resolve(socket));
        }).then(address => answers.push(call(address, { timeoutMs: 20_000 })));
    });
    const before = measureMemory();
    const socket = await received;
    await sleep(500);
    assert.ok(measureMemory() - before < 20 * chunkCount);
    socket.write("0\r\n\r\n");
    assert.deepEqual(await answers[0], { status: 200, text: "x".repeat(chunkCount) });
});

/** Guards against a part of an answer of the store or a peer that is taken for the whole one. */
for (const framing of [
    "Content-Length: -1",
    "Content-Length: 1o",
    "Content-Length:",
    "Content-Length: 1\r\nContent-Length: 2",
    "Transfer-Encoding: chunked\r\nContent-Length: 1",
    "Transfer-Encoding: chunked\r\n\r\n1\r\n1\r\n-5",
    "Transfer-Encoding: chunked\r\n\r\n1\r\n1\r\n",
]) {
    test(`rejects a response with the framing ${JSON.stringify(framing)}`, async () => {
        const address = await listen(socket =>
            socket.end(`HTTP/1.1 200 OK\r\n${framing}\r\n\r\n12\r\n0\r\n\r\n`),
        );
        await assert.rejects(call(address), HttpCallError);
    });
}

/** Pours text into a connection until the client closes it. */
function pour(socket: Socket, text: string): void {
    const write = () => {
        while (!socket.destroyed && socket.writable && socket.write(text)) {
            // The client still reads.
        }
    };
    socket.on("drain", write);
    write();
}

/** Guards against a process that spends its time on a faulty store or peer until the call times out (LOST). */
for (const { name, head, filler, detail } of [
    {
        name: "interim responses",
        head: "",
        filler: "HTTP/1.1 102 X\r\n\r\n".repeat(100),
        detail: /more than 16 interim responses/,
    },
    {
        name: "small chunks",
        head: "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n",
        filler: "1\r\nx\r\n".repeat(1000),
        detail: /too many small chunks/,
    },
]) {
    test(`endless ${name}: the call fails long before its timeout`, async () => {
        const address = await listen(socket => {
            socket.write(head);
            pour(socket, filler);
        });
        client = createHttpClient({
            connections: 1,
            connectTimeoutMs: 300,
            maxResponseBytes: 32 * 1024 * 1024,
        });
        const startedAt = performance.now();
        await assert.rejects(call(address, { timeoutMs: 10_000 }), detail);
        assert.ok(performance.now() - startedAt < 5000);
    });
}

// Guards against a status that HTTP does not have, which callers of the client would take for a decision of the server.
for (const status of ["000", "001", "099", "600", "999"]) {
    test(`a response with status ${status} fails the call, and its connection is not used again`, async () => {
        const address = await listen(socket =>
            socket.write(`HTTP/1.1 ${sockets.size === 1 ? status : 200} X\r\nContent-Length: 2\r\n\r\nok`),
        );
        await assert.rejects(call(address), HttpCallError);
        assert.deepEqual(await call(address), { status: 200, text: "ok" });
    });
}
