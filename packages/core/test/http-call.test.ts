import assert from "node:assert/strict";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { afterEach, test } from "node:test";
import { HttpCallError, responseTimeoutCode, createHttpClient } from "../src/index.js";
import type { HttpClient } from "../src/index.js";

const maxAnswerBytes = 10_000;

let server: Server | undefined;
let caller: HttpClient | undefined;
const sockets = new Set<Socket>();

afterEach(() => {
    caller?.close();
    caller = undefined;
    server?.close();
    sockets.forEach(socket => socket.destroy());
    sockets.clear();
});

/** Listens and hands each request head to `answer`. */
async function listen(answer: (socket: Socket, head: string) => void): Promise<string> {
    server = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("data", data => answer(socket, data.toString()));
    });
    await new Promise<void>(resolve => server!.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function call(address: string, options: { timeoutMs?: number; signal?: AbortSignal; body?: string } = {}) {
    caller ??= createHttpClient({ connections: 2, connectTimeoutMs: 300, maxResponseBytes: maxAnswerBytes });
    const { timeoutMs = 1000, signal, body } = options;
    return caller.call({
        method: body === undefined ? "GET" : "POST",
        address,
        path: "/a",
        headers: {},
        body,
        timeoutMs,
        signal,
    });
}

test("answers come over one kept connection", async () => {
    const address = await listen(socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    assert.deepEqual(await call(address), { status: 200, text: "ok" });
    assert.deepEqual(await call(address), { status: 200, text: "ok" });
    assert.equal(sockets.size, 1);
});

test("a body goes out with its length", async () => {
    const heads: string[] = [];
    const address = await listen((socket, head) => {
        heads.push(head);
        socket.write("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
    });
    assert.equal((await call(address, { body: "{}" })).status, 409);
    assert.match(heads[0]!, /^POST \/a HTTP\/1\.1[^]*content-length: 2\r\n/i);
});

test("a refused connection names the code of the system", async () => {
    const address = await listen(() => undefined);
    await new Promise(resolve => server!.close(resolve));
    await assert.rejects(call(address), (err: HttpCallError) => err.code === "ECONNREFUSED");
});

test("a silent server is given up in time and its connection closed", async () => {
    const address = await listen(() => undefined);
    await assert.rejects(
        call(address, { timeoutMs: 80 }),
        (err: HttpCallError) => err.code === responseTimeoutCode,
    );
    await waitUntilClosed();
});

test("an answer that stops halfway is given up in time", async () => {
    const address = await listen(socket => socket.write("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"));
    await assert.rejects(call(address, { timeoutMs: 80 }), HttpCallError);
});

test("an answer that is cut off is no answer", async () => {
    const address = await listen(socket => socket.end("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"));
    await assert.rejects(call(address), HttpCallError);
});

test("a body without end is given up at the bound", async () => {
    const address = await listen(socket => {
        socket.write("HTTP/1.1 200 OK\r\n\r\n");
        keepWriting(socket, "x".repeat(1000));
    });
    await assert.rejects(call(address), /more than 10000 bytes/);
    await waitUntilClosed();
});

test("a head without end is given up", async () => {
    const address = await listen(socket => {
        socket.write("HTTP/1.1 200 OK\r\n");
        keepWriting(socket, `x-filler: ${"x".repeat(1000)}\r\n`);
    });
    await assert.rejects(call(address), HttpCallError);
    await waitUntilClosed();
});

test("a withdrawn call fails at once", async () => {
    const address = await listen(() => undefined);
    const controller = new AbortController();
    const answer = call(address, { signal: controller.signal });
    controller.abort();
    await assert.rejects(answer, /withdrawn/);
});

// Guards against an error event that nobody hears of, which ends a process that is stopping.
test("a call that is withdrawn before it begins fails and opens no connection", async () => {
    const address = await listen(() => undefined);
    await assert.rejects(call(address, { signal: AbortSignal.abort() }), /withdrawn/);
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
