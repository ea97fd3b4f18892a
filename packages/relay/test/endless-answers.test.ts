/**
 * Servers in trouble that send bytes which are no answer, without end, until the caller closes. Each case guards against memory
 * that grows with them, a caller that waits for them, and a connection that stays open.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { RequestKind } from "@waxwingdale/balancing";
import { formatAnswer, formatRequest, idOf, sendRaw, startInstance, startServer } from "./fixtures.js";
import type { Script } from "./fixtures.js";

const kib = 1024;
/** Bytes that a server may get rid of before the instance closes the connection: its bounds, and what lies in sockets. */
const maxSentBytes = 32 * kib * kib;
/** Time in milliseconds in which a request with a deadline of 700 ms has its answer. */
const answerMs = 900;

/** Writes `text` as fast as it is read, until the connection closes. Returns the bytes written so far. */
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

/** Writes one byte of filler every few milliseconds, until the connection closes. */
function writeSlowly(socket: Socket): void {
    const timer = setInterval(() => socket.write("x"), 5);
    socket.on("close", () => clearInterval(timer));
}

function head(text: string, extra: string): string {
    return `HTTP/1.1 200 X\r\nX-Id: ${idOf(text)}\r\nX-Signature: s\r\n${extra}`;
}

interface EndlessCase {
    name: string;
    /** What comes first, and what is repeated after it. */
    start: (text: string) => string;
    filler: string;
}

const filler = "x".repeat(64 * kib);

const cases: EndlessCase[] = [
    { name: "a status line", start: () => "HTTP/1.1 200 ", filler },
    { name: "a header", start: text => head(text, "X-Filler: "), filler },
    { name: "headers", start: text => head(text, ""), filler: `x-filler: ${"x".repeat(kib)}\r\n` },
    { name: "interim answers", start: () => "", filler: "HTTP/1.1 102 Processing\r\n\r\n".repeat(kib) },
    {
        name: "a chunk size",
        start: text => head(text, "Transfer-Encoding: chunked\r\n\r\n5;x="),
        filler,
    },
    {
        name: "trailers",
        start: text => head(text, "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n"),
        filler: `x-filler: ${"x".repeat(kib)}\r\n`,
    },
    {
        name: "a chunked body",
        start: text => head(text, "Transfer-Encoding: chunked\r\n\r\n"),
        filler: `10000\r\n${filler}\r\n`,
    },
    { name: "a body without a length", start: text => head(text, "\r\n"), filler },
    {
        name: "a body that is longer than a caller can take",
        start: text => head(text, "Content-Length: 99999999999\r\n\r\n"),
        filler,
    },
    {
        name: "an answer to another request",
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
    test(`${endlessCase.name} without end: the caller is answered in time and the connection closed`, async t => {
        const { instance, endless, sentBytes } = await setUp(t, endlessCase);
        const startedAt = performance.now();
        const received = await sendRaw(instance.port, formatRequest(RequestKind.NonIdempotent, "a"), 1);
        assert.match(received, /^HTTP\/1\.1 50[24] /);
        assert.ok(performance.now() - startedAt < answerMs);
        assert.equal(endless.connections.size, 0);
        assert.ok(sentBytes() < maxSentBytes, `${sentBytes()} bytes`);
        assert.equal(instance.records[0]!.attempts.length, 1);
    });
}

test("bytes that come slowly and without end: another server answers an idempotent request in time", async t => {
    let isSlow = false;
    const script: Script = (text, socket) => {
        if (isSlow) {
            isSlow = false;
            socket.write(head(text, "X-Filler: "));
            writeSlowly(socket);
        } else {
            socket.write(formatAnswer(text, "ok"));
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
