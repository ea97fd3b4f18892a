/**
 * Faulty servers that never stop sending data. Each case guards against unbounded memory use, a caller that is kept
 * waiting, and a leaked connection.
 */
import assert from "node:assert/strict";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { RequestKind } from "@waxwingdale/balancing";
import { createResponseParser } from "@waxwingdale/relay";
import {
    formatResponse,
    formatRequest,
    getRequestId,
    sendRaw,
    startInstance,
    startServer,
} from "./fixtures.js";
import type { Script } from "./fixtures.js";

const kib = 1024;
/** Bytes that a server can send before the instance closes the connection: the limits plus socket buffers. */
const maxSentBytes = 32 * kib * kib;
/** Time limit in milliseconds for the response to a request with a deadline of 700 ms. */
const maxResponseMs = 900;

/** Writes `text` as fast as it is read until the connection closes. Returns a counter of the bytes written. */
function writeEndlessly(socket: Socket, text: string): () => number {
    let bytes = 0;
    const write = () => {
        while (!socket.destroyed && socket.writable) {
            bytes += text.length;
            if (!socket.write(text)) {
                return;
            }
        }
    };
    socket.on("drain", write);
    write();
    return () => bytes;
}

/** Writes one byte every few milliseconds until the connection closes. */
function writeSlowly(socket: Socket): void {
    const timer = setInterval(() => socket.write("x"), 5);
    socket.on("close", () => clearInterval(timer));
}

function head(text: string, extra: string): string {
    return `HTTP/1.1 200 X\r\nX-Id: ${getRequestId(text)}\r\nX-Signature: s\r\n${extra}`;
}

interface EndlessCase {
    name: string;
    /** Returns the beginning of the response. */
    start: (text: string) => string;
    /** Repeated after the beginning. */
    filler: string;
}

const filler = "x".repeat(64 * kib);

const cases: EndlessCase[] = [
    { name: "status line", start: () => "HTTP/1.1 200 ", filler },
    { name: "header value", start: text => head(text, "X-Filler: "), filler },
    { name: "header list", start: text => head(text, ""), filler: `x-filler: ${"x".repeat(kib)}\r\n` },
    {
        name: "sequence of interim responses",
        start: () => "",
        filler: "HTTP/1.1 102 Processing\r\n\r\n".repeat(kib),
    },
    {
        name: "sequence of responses to other requests",
        start: () => "",
        filler: "HTTP/1.1 200 X\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n".repeat(kib),
    },
    { name: "sequence of empty lines", start: () => "", filler: "\r\n".repeat(32 * kib) },
    { name: "list of short headers", start: text => head(text, ""), filler: "a:\r\n".repeat(16 * kib) },
    {
        name: "body in chunks of five bytes",
        start: text => head(text, "Transfer-Encoding: chunked\r\n\r\n"),
        filler: "5\r\nxxxxx\r\n".repeat(10 * kib),
    },
    {
        name: "chunk extension",
        start: text => head(text, "Transfer-Encoding: chunked\r\n\r\n5;x="),
        filler,
    },
    {
        name: "trailer section",
        start: text => head(text, "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"),
        filler: `x-filler: ${"x".repeat(kib)}\r\n`,
    },
    {
        name: "chunked body",
        start: text => head(text, "Transfer-Encoding: chunked\r\n\r\n"),
        filler: `10000\r\n${filler}\r\n`,
    },
    { name: "body without a length", start: text => head(text, "\r\n"), filler },
    {
        name: "body with an excessive Content-Length",
        start: text => head(text, "Content-Length: 99999999999\r\n\r\n"),
        filler,
    },
    {
        name: "response to another request",
        start: () => "HTTP/1.1 200 X\r\nX-Id: other\r\nX-Signature: s\r\n\r\n",
        filler,
    },
];

async function setUp(t: TestContext, { start, filler }: EndlessCase) {
    let countSent = () => 0;
    const endless = await startServer((text, socket, count) => {
        if (count === 0) {
            socket.write(start(text));
            countSent = writeEndlessly(socket, filler);
        }
    });
    const instance = await startInstance([endless]);
    t.after(() => {
        instance.close();
        endless.close();
    });
    return { instance, endless, sentBytes: () => countSent() };
}

for (const endlessCase of cases) {
    test(`endless ${endlessCase.name}: responds to the caller in time and closes the connection`, async t => {
        const { instance, endless, sentBytes } = await setUp(t, endlessCase);
        const startedAt = performance.now();
        const received = await sendRaw(instance.port, formatRequest(RequestKind.NonIdempotent, "a"), 1);
        assert.match(received, /^HTTP\/1\.1 50[24] /);
        assert.ok(performance.now() - startedAt < maxResponseMs);
        assert.equal(endless.connections.size, 0);
        assert.ok(sentBytes() < maxSentBytes, `${sentBytes()} bytes`);
        assert.equal(instance.records[0]!.attempts.length, 1);
    });
}

test("endless slow response: another server responds to an idempotent request in time", async t => {
    let isSlow = false;
    const script: Script = (text, socket) => {
        if (isSlow) {
            isSlow = false;
            socket.write(head(text, "X-Filler: "));
            writeSlowly(socket);
        } else {
            socket.write(formatResponse(text, "ok"));
        }
    };
    const servers = [await startServer(script), await startServer(script)];
    const instance = await startInstance(servers);
    t.after(() => {
        instance.close();
        servers.forEach(server => server.close());
    });
    for (let round = 0; round < 8; round++) {
        await sendRaw(instance.port, formatRequest(RequestKind.Idempotent, "warm-up"), 1);
    }
    isSlow = true;
    const received = await sendRaw(instance.port, formatRequest(RequestKind.Idempotent, "a"), 1);
    assert.match(received, /^HTTP\/1\.1 200 [^]*ok$/);
});

/** Guards against a process that runs out of memory, as it held an object for each chunk until the deadline (LOST). */
test("endless body in chunks of one byte: the response fails long before its deadline", async t => {
    const { instance, endless, sentBytes } = await setUp(t, {
        name: "body in chunks of one byte",
        start: text => head(text, "Transfer-Encoding: chunked\r\n\r\n"),
        filler: "1\r\nx\r\n".repeat(10 * kib),
    });
    const received = await sendRaw(instance.port, formatRequest(RequestKind.NonIdempotent, "a"), 1);
    assert.match(received, /^HTTP\/1\.1 502 /);
    assert.match(
        instance.records[0]!.attempts[0]!.result,
        /^malformed: a body has more framing than content/,
    );
    assert.equal(endless.connections.size, 0);
    assert.ok(sentBytes() < 8 * kib * kib, `${sentBytes()} bytes`);
});

/** Guards against requests of others that wait, as each of thousands of heads or chunks takes processor time (LOST). */
for (const { name, start, filler, reason } of [
    {
        name: "interim responses",
        start: () => "",
        filler: "HTTP/1.1 102 Processing\r\n\r\n".repeat(kib),
        reason: /^malformed: more than 16 heads/,
    },
    {
        name: "responses to other requests",
        start: () => "",
        filler: "HTTP/1.1 200 X\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n".repeat(kib),
        reason: /^malformed: more than 16 heads/,
    },
    {
        name: "chunks of five bytes",
        start: (text: string) => head(text, "Transfer-Encoding: chunked\r\n\r\n"),
        filler: "5\r\nxxxxx\r\n".repeat(10 * kib),
        reason: /^malformed: a body has too many small chunks/,
    },
]) {
    test(`endless ${name}: the response fails after a few of them`, async t => {
        const { instance } = await setUp(t, { name, start, filler });
        await sendRaw(instance.port, formatRequest(RequestKind.NonIdempotent, "a"), 1);
        assert.match(instance.records[0]!.attempts[0]!.result, reason);
    });
}

test("interim responses and a copy of an earlier response are skipped", async t => {
    const server = await startServer((text, socket) => {
        socket.write("HTTP/1.1 103 Early Hints\r\n\r\n".repeat(5));
        socket.write(formatResponse(text, "copy", { id: "earlier" }));
        socket.write(formatResponse(text, "ok"));
    });
    const instance = await startInstance([server]);
    t.after(() => {
        instance.close();
        server.close();
    });
    const received = await sendRaw(instance.port, formatRequest(RequestKind.NonIdempotent, "a"), 1);
    assert.match(received, /^HTTP\/1\.1 200 [^]*ok$/);
});

/** Guards against a head whose time to read grows by the square of its length, if it comes in small pieces (LOST). */
test("a head in pieces of one byte is read in time", () => {
    const maxProcessorMs = 1000;
    let heads = 0;
    const parser = createResponseParser({
        onHead: () => {
            heads += 1;
            return true;
        },
        onBody: () => undefined,
        onComplete: () => undefined,
    });
    const bytes = Buffer.from(`HTTP/1.1 204 X\r\n${"a:\r\n".repeat(19 * kib)}\r\n`);
    const before = process.cpuUsage();
    for (let index = 0; index < bytes.length; index++) {
        assert.equal(parser.read(bytes.subarray(index, index + 1)), undefined);
    }
    const { user, system } = process.cpuUsage(before);
    assert.equal(heads, 1);
    assert.ok((user + system) / 1000 < maxProcessorMs, `${(user + system) / 1000} ms`);
});

/** Guards against a caller that keeps an instance reading for nothing, after its request was rejected (LOST). */
for (const { name, target } of [
    { name: "no route", target: "/none" },
    { name: "a route", target: `/${RequestKind.NonIdempotent}/1` },
]) {
    test(`endless upload to ${name}: the connection is closed`, async t => {
        const instance = await startInstance([]);
        t.after(() => instance.close());
        const socket = connect(instance.port, "127.0.0.1");
        socket.on("error", () => undefined);
        socket.write(`POST ${target} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n`);
        const countSent = writeEndlessly(socket, `1000\r\n${"x".repeat(4 * kib)}\r\n`);
        const closed = new Promise(resolve => socket.on("close", resolve));
        assert.equal(
            await Promise.race([closed.then(() => "closed"), sleep(maxResponseMs, "open")]),
            "closed",
        );
        assert.ok(countSent() < maxSentBytes);
        socket.destroy();
    });
}
