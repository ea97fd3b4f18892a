/** Connections on which a server sends more than the response to the call, or sends it at another time. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { afterEach, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { HttpCallError, createHttpClient, createLogger, createSystemClock } from "../src/index.js";
import type { HttpCall, HttpClient, HttpResponse } from "../src/index.js";

const limits = { connections: 1, connectTimeoutMs: 300, maxResponseBytes: 10_000 };

/** More than the buffers of a connection hold. */
const largeBody = "x".repeat(32 * 1024 * 1024);

let server: Server | undefined;
let client: HttpClient | undefined;
const sockets: Socket[] = [];

afterEach(() => {
    client?.close();
    client = undefined;
    server?.close();
    sockets.forEach(socket => socket.destroy());
    sockets.length = 0;
});

/** Starts a server that calls `respond` with the number of the request, from 1 on, and with the text received. */
async function listen(respond: (socket: Socket, requestNumber: number, text: string) => void) {
    let requests = 0;
    server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", data => {
            requests += 1;
            respond(socket, requests, data.toString());
        });
    });
    await new Promise<void>(resolve => server!.listen(0, "127.0.0.1", resolve));
    return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

function call(address: string, options: Partial<HttpCall> = {}) {
    client ??= createHttpClient(limits);
    return client.call({ method: "GET", address, path: "/a", headers: {}, timeoutMs: 1000, ...options });
}

function format(text: string, status = 200): string {
    return `HTTP/1.1 ${status} X\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
}

/** Guards against a second response, or other bytes, that are taken for the response to the next call (MIXED). */
for (const [name, surplus] of [
    ["a second response", format("late")],
    ["a rejection", format("late", 503)],
    ["an interim response", "HTTP/1.1 103 X\r\n\r\n"],
    ["a part of a response", "HTTP/1.1 200 X\r\nContent-Le"],
    ["bytes that are no response", "late bytes\r\n\r\n"],
    ["an empty line", "\r\n"],
] as const) {
    test(`idle connection, ${name}: it is closed, and the next call opens another`, async () => {
        const address = await listen((socket, requestNumber) =>
            socket.write(format(`body ${requestNumber}`)),
        );
        const lines: string[] = [];
        const logger = createLogger(createSystemClock(), { write: line => lines.push(line) });
        client = createHttpClient({ ...limits, logger });
        assert.equal((await call(address)).text, "body 1");
        await sleep(30);
        sockets[0]!.write(surplus);
        if (!sockets[0]!.destroyed) {
            await once(sockets[0]!, "close", { signal: AbortSignal.timeout(1000) });
        }
        assert.equal((await call(address)).text, "body 2");
        assert.equal(sockets.length, 2);
        assert.equal(lines.length, 1);
        assert.match(
            lines[0]!,
            new RegExp(`event=unsolicited-bytes address=${address} bytes=${surplus.length}`),
        );
    });

    test(`idle connection, ${name} not read yet when the next call starts: the call opens another`, async () => {
        const address = await listen((socket, requestNumber) =>
            socket.write(format(`body ${requestNumber}`)),
        );
        assert.equal((await call(address)).text, "body 1");
        await sleep(10);
        sockets[0]!.write(surplus);
        assert.equal((await call(address)).text, "body 2");
        assert.equal(sockets.length, 2);
    });

    test(`${name} in the segment of a response: no call receives it`, async () => {
        const address = await listen((socket, requestNumber) =>
            socket.write(format(`body ${requestNumber}`) + (requestNumber === 1 ? surplus : "")),
        );
        const first = await call(address).catch((err: unknown) => err);
        assert.ok(first instanceof HttpCallError || (first as HttpResponse).text === "body 1");
        assert.equal((await call(address)).text, "body 2");
    });
}

test("an interim response before the response is skipped", async () => {
    const address = await listen(socket => socket.write(`HTTP/1.1 103 X\r\n\r\n${format("own")}`));
    assert.deepEqual(await call(address), { status: 200, text: "own" });
});

test("a response cut off in the middle is not completed by the next one", async () => {
    const address = await listen((socket, requestNumber) =>
        requestNumber === 1 ? socket.end(format("body 1").slice(0, -2)) : socket.write(format("body 2")),
    );
    await assert.rejects(call(address), HttpCallError);
    assert.equal((await call(address)).text, "body 2");
});

/** Guards against a success for a body that the server cannot have read (MIXED). */
test("a success before the request is complete fails the call at once", async () => {
    const address = await listen(socket => {
        socket.pause();
        socket.write(format("early"));
    });
    const startedAt = performance.now();
    await assert.rejects(call(address, { method: "POST", body: largeBody, timeoutMs: 5000 }), HttpCallError);
    assert.ok(performance.now() - startedAt < 4000);
});

/** Guards against a connection that is in use for ever: the server does not read the rest of the request. */
test("a rejection before the request is complete is returned, and the next call opens a connection", async () => {
    const address = await listen((socket, _requestNumber, text) => {
        if (text.startsWith("POST")) {
            socket.pause();
            socket.write(format("too large", 413));
        } else {
            socket.write(format("body"));
        }
    });
    const res = await call(address, { method: "POST", body: largeBody, timeoutMs: 5000 });
    assert.equal(res.status, 413);
    assert.equal((await call(address)).text, "body");
});
