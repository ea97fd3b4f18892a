/** Responses whose bodies have a damaged framing: the instance stays responsive and forwards no part of a body as whole. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { RequestKind } from "@waxwingdale/balancing";
import { formatRequest, getRequestId, sendRaw, startInstance, startServer } from "./fixtures.js";
import type { Script } from "./fixtures.js";

/** Time limit in milliseconds for a response that needs no waiting. */
const promptMs = 300;
const body = "0123456789".repeat(40);

function formatHead(text: string, framing: string): string {
    return `HTTP/1.1 200 OK\r\nX-Id: ${getRequestId(text)}\r\nX-Signature: s\r\n${framing}\r\n`;
}

/** Starts an instance with servers that all run the script. */
async function setUp(t: TestContext, script: Script, serverCount = 1) {
    const servers = await Promise.all(Array.from({ length: serverCount }, () => startServer(script)));
    const instance = await startInstance(servers);
    t.after(() => {
        instance.close();
        servers.forEach(server => server.close());
    });
    return instance;
}

/** The first response takes several times as long, as its code is compiled; the others have a bound on their time. */
for (const kind of [RequestKind.Idempotent, RequestKind.NonIdempotent]) {
    test(`the first response of a process, ${kind}: whole, or 502 if a chunk size is damaged`, async t => {
        for (const size of ["5", "-5"]) {
            const instance = await setUp(t, (text, socket) => {
                const head = formatHead(text, "Transfer-Encoding: chunked\r\n");
                socket.write(`${head}5\r\n01234\r\n${size}\r\n56789\r\n0\r\n\r\n`);
            });
            const res = await sendRaw(instance.port, formatRequest(kind, "a"), 1);
            assert.match(res, size === "5" ? /^HTTP\/1\.1 200 [^]*\r\n\r\n0123456789$/ : /^HTTP\/1\.1 502 /);
        }
    });
}

/** Guards against a hang of the process, which read the line of a negative size again and again (LOST). */
for (const size of ["-5", "-6", "-1", "-0", "", " ", "zz", "5z", "0x5", "+5", "NaN", "1".repeat(13)]) {
    test(`chunk size ${JSON.stringify(size)}: the response fails at once, and the process does not hang`, async t => {
        const instance = await setUp(t, (text, socket) => {
            const head = formatHead(text, "Transfer-Encoding: chunked\r\n");
            socket.write(`${head}5\r\n01234\r\n${size}\r\n${body}\r\n0\r\n\r\n`);
        });
        const startedAt = performance.now();
        const res = await sendRaw(instance.port, formatRequest(RequestKind.NonIdempotent, "a"), 1);
        assert.match(res, /^HTTP\/1\.1 502 /);
        assert.ok(performance.now() - startedAt < promptMs);
        assert.match(instance.records[0]!.attempts[0]!.result, /^malformed: a chunk has the size/);
    });
}

/** Guards against a hang of the process: the time for a line grew by the square of its length (LOST). */
test("a head with a line of 70,000 blanks fails at once, and the process does not hang", async t => {
    const instance = await setUp(t, (text, socket) => {
        socket.write(`${formatHead(text, `X-Value: a\r\n${" ".repeat(70_000)}\r\nContent-Length: 2\r\n`)}ok`);
    });
    const startedAt = performance.now();
    const res = await sendRaw(instance.port, formatRequest(RequestKind.NonIdempotent, "a"), 1);
    assert.match(res, /^HTTP\/1\.1 502 /);
    assert.ok(performance.now() - startedAt < promptMs);
});

test("a body in chunks is whole wherever the network splits it", async t => {
    const chunked = `a;x=1\r\n${body.slice(0, 10)}\r\n0A \r\n${body.slice(10, 20)}\r\n0\r\nX-Trailer: t\r\n\r\n`;
    let splitAt = 0;
    const instance = await setUp(t, (text, socket) => {
        const response = formatHead(text, "Transfer-Encoding: Chunked\r\n") + chunked;
        socket.write(response.slice(0, splitAt));
        setTimeout(() => socket.write(response.slice(splitAt)), 2);
    });
    // Each request has an id of its own, of the same length, as a connection carries an id once.
    const formatNumbered = () => formatRequest(RequestKind.Idempotent, String(1000 + splitAt));
    const length = formatHead(formatNumbered(), "").length + 26 + chunked.length;
    for (splitAt = 0; splitAt < length; splitAt++) {
        const res = await sendRaw(instance.port, formatNumbered(), 1);
        assert.ok(res.endsWith(`\r\n\r\n${body.slice(0, 20)}`), `split at ${splitAt}: ${res}`);
    }
});

const damagedHeads: Record<string, string> = {
    "a negative Content-Length": "Content-Length: -1\r\n",
    "a Content-Length with a letter": "Content-Length: 4o0\r\n",
    "a Content-Length without a value": "Content-Length:\r\n",
    "a hexadecimal Content-Length": "Content-Length: 0x10\r\n",
    "a Content-Length with an exponent": "Content-Length: 1e1\r\n",
    "a Content-Length with a fraction": "Content-Length: 10.0\r\n",
    "a Content-Length with two values": "Content-Length: 10, 400\r\n",
    "two different Content-Length headers": "Content-Length: 10\r\nContent-Length: 400\r\n",
    "a Content-Length without a colon": "Content-Length 400\r\n",
    "a Content-Length before the colon": "Content-Length : 10\r\n",
    "a Content-Length in two lines": "Content-Length:\r\n 10\r\n",
    "a Content-Length of many digits": `Content-Length: ${"9".repeat(16)}\r\n`,
    "chunks and a Content-Length": "Transfer-Encoding: chunked\r\nContent-Length: 10\r\n",
    "an unknown Transfer-Encoding": "Transfer-Encoding: chonked\r\n",
    "an empty Transfer-Encoding": "Transfer-Encoding:\r\n",
    "two Transfer-Encodings": "Transfer-Encoding: gzip, chunked\r\n",
    "two Transfer-Encoding headers": "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
    "a header with a character above 127 in its name": "Content-Length\u00b5: 10\r\n",
};

/** Guards against a part of a body that reaches its caller as the whole one, with a length of the instance's own (MIXED). */
for (const [name, framing] of Object.entries(damagedHeads)) {
    test(`a response with ${name} is not forwarded`, async t => {
        const instance = await setUp(t, (text, socket) => {
            socket.end(Buffer.from(`${formatHead(text, framing)}5\r\n01234\r\n0\r\n\r\n${body}`, "latin1"));
        });
        const res = await sendRaw(instance.port, formatRequest(RequestKind.NonIdempotent, "a"), 1);
        assert.match(res, /^HTTP\/1\.1 502 /);
        assert.match(instance.records[0]!.attempts[0]!.result, /^malformed: /);
    });
}

/** Guards against a damaged status that reaches the caller as a success (MIXED). */
for (const line of [
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 200OK",
    "HTTP/2.0 200 OK",
    "HTTP/1.1 101 X",
    "HTTP/1.1 020 X",
]) {
    test(`a response with the status line "${line}" is not forwarded`, async t => {
        const instance = await setUp(t, (text, socket) => {
            const head = formatHead(text, "Content-Length: 2\r\n").replace("HTTP/1.1 200 OK", line);
            socket.end(`${head}ok`);
        });
        const res = await sendRaw(instance.port, formatRequest(RequestKind.NonIdempotent, "a"), 1);
        assert.match(res, /^HTTP\/1\.1 502 /);
    });
}

test("an idempotent request whose response has a damaged framing gets the whole one of another server", async t => {
    let count = 0;
    const script: Script = (text, socket) => {
        const framing = count++ === 0 ? "Content-Length: 4o0\r\n" : `Content-Length: ${body.length}\r\n`;
        socket.write(formatHead(text, framing) + body);
    };
    const instance = await setUp(t, script, 2);
    const res = await sendRaw(instance.port, formatRequest(RequestKind.Idempotent, "a"), 1);
    assert.ok(res.startsWith("HTTP/1.1 200 ") && res.endsWith(`\r\n\r\n${body}`));
});

/** Guards against a part of a body that reaches its caller as the whole one: the length lost a digit (MIXED). */
test("an idempotent request whose response goes on behind its length gets the whole one of another server", async t => {
    let count = 0;
    const script: Script = (text, socket) => {
        const length = count++ === 0 ? body.length / 10 : body.length;
        socket.write(formatHead(text, `Content-Length: ${length}\r\n`) + body);
    };
    const instance = await setUp(t, script, 2);
    const res = await sendRaw(instance.port, formatRequest(RequestKind.Idempotent, "a"), 1);
    assert.ok(res.startsWith("HTTP/1.1 200 ") && res.endsWith(`\r\n\r\n${body}`));
});

test("a response with status 304 and a length has no body", async t => {
    const instance = await setUp(t, (text, socket) => {
        const head = formatHead(text, "Content-Length: 400\r\n").replace("200 OK", "304 Not Modified");
        socket.write(head);
    });
    const res = await sendRaw(instance.port, formatRequest(RequestKind.NonIdempotent, "a"), 1);
    assert.match(res, /^HTTP\/1\.1 304 /);
});

// Guards against a broken-off body that other bytes have filled up: it can't be told from a whole one with bytes behind it.
test("a response with a length and other bytes behind it is not forwarded, and its connection is closed", async t => {
    const instance = await setUp(t, (text, socket) => {
        socket.write(`${formatHead(text, `Content-Length: ${body.length}\r\n`)}${body}no response\r\n\r\n`);
    });
    const res = await sendRaw(instance.port, formatRequest(RequestKind.NonIdempotent, "a"), 1);
    assert.ok(res.startsWith("HTTP/1.1 502 ") && !res.includes(body) && !/x-signature/i.test(res), res);
    assert.equal(instance.connectionCount(), 0);
});
