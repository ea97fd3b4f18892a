/**
 * Servers that break off a response and go on with other bytes, in any framing, status and order of writes. Guards against a
 * response whose end is in doubt and that reaches the caller as the server's whole one (MIXED).
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setImmediate as nextTurn, setTimeout as sleep } from "node:timers/promises";
import { RequestKind } from "@waxwingdale/balancing";
import { formatRequest, getRequestId, sendRaw, startInstance, startServer } from "./fixtures.js";

const { Idempotent, NonIdempotent } = RequestKind;
const body = "0123456789".repeat(40);
/** Bytes that a broken-off body lacks; a multiple of the pieces, so that one ends where the body is full. */
const missingBytes = 100;
const errorText = "worker ended while it wrote: broken pipe\n".repeat(10);

const formatHead = (id: string, framing: string, status = 200) =>
    `HTTP/1.1 ${status} X\r\nX-Id: ${id}\r\nX-Signature: s\r\n${framing}\r\n`;
const sized = `Content-Length: ${body.length}\r\n`;
const chunked = "Transfer-Encoding: chunked\r\n";

/** Returns the bytes of a response whose last `missing` bytes of the body are cut off. */
type Format = (id: string, status: number, missing: number) => string;

const formats: Record<string, Format> = {
    "with a length": (id, status, missing) =>
        formatHead(id, sized, status) + body.slice(0, body.length - missing),
    "in one chunk": (id, status, missing) =>
        `${formatHead(id, chunked, status)}${body.length.toString(16)}\r\n${body.slice(0, body.length - missing)}${missing === 0 ? "\r\n0\r\n\r\n" : ""}`,
    "without a length": (id, status, missing) =>
        formatHead(id, "", status) + body.slice(0, body.length - missing),
};

const secondBody = "another's".repeat(30);
/** What follows where the server has broken off. */
const followers: Record<string, string> = {
    "an error text": errorText,
    "a response": formatHead("other", `Content-Length: ${secondBody.length}\r\n`) + secondBody,
    "a response in chunks": `${formatHead("other", chunked)}${secondBody.length.toString(16)}\r\n${secondBody}\r\n0\r\n\r\n`,
    "a failure": formatHead("other", `Content-Length: ${secondBody.length}\r\n`, 500) + secondBody,
    "a response that is cut": formatHead("other", `Content-Length: ${secondBody.length}\r\n`).slice(0, -30),
};

interface Writing {
    /** Undefined if all bytes come in one piece. */
    pieceBytes?: number;
    pauseMs: number;
}

const writings: Record<string, Writing> = {
    "in one write": { pauseMs: 0 },
    "in pieces of a byte": { pieceBytes: 1, pauseMs: 0 },
    "in pieces of 50 bytes at once": { pieceBytes: 50, pauseMs: 0 },
    "in pieces of 50 bytes, 3 ms apart": { pieceBytes: 50, pauseMs: 3 },
};

/** Writes from the end of the body outwards, so that a piece ends where the body seems to be full. */
async function writePieces(socket: Socket, bytes: string, bodyEnd: number, { pieceBytes, pauseMs }: Writing) {
    let from = 0;
    for (let until = bodyEnd % (pieceBytes ?? 1); from < bytes.length; until += pieceBytes ?? bytes.length) {
        if (until > from || pieceBytes === undefined) {
            socket.write(bytes.slice(from, Math.max(until, from + 1)), "latin1");
            from = Math.max(until, from + 1);
            await (pauseMs > 0 ? sleep(pauseMs) : nextTurn());
        }
    }
}

interface Way {
    format: Format;
    follower: string;
    writing: Writing;
    status?: number;
    missing?: number;
}

/** Starts servers of which the first `spoiling` spoil their responses, and the others are sound. */
async function setUp(
    t: TestContext,
    { format, follower, writing, status = 200, missing = missingBytes }: Way,
    { spoiling, sound }: { spoiling: number; sound: number },
) {
    const script = async (text: string, socket: Socket) => {
        const bytes = format(getRequestId(text), status, missing);
        const bodyEnd = format(getRequestId(text), status, 0).length;
        await writePieces(socket, bytes + follower, bodyEnd, writing);
        if (format === formats["without a length"]) {
            socket.end();
        }
    };
    const servers = await Promise.all([
        ...Array.from({ length: spoiling }, () => startServer((text, socket) => void script(text, socket))),
        ...Array.from({ length: sound }, () =>
            startServer(
                (text, socket) => void socket.write(formats["with a length"]!(getRequestId(text), status, 0)),
            ),
        ),
    ]);
    const instance = await startInstance(servers, { bodyBytes: 10_000 });
    t.after(() => {
        instance.close();
        servers.forEach(server => server.close());
    });
    const send = (kind: RequestKind, id: string) => sendRaw(instance.port, formatRequest(kind, id), 1);
    return { instance, servers, send };
}

/** Asserts that a signed response is the server's whole one, and returns whether it is signed. */
function checkResponse(text: string, status: number): boolean {
    if (!/^X-Signature: /im.test(text)) {
        assert.match(text, /^HTTP\/1\.1 50[24]/);
        return false;
    }
    assert.match(text, new RegExp(`^HTTP/1\\.1 ${status} `));
    assert.equal(text.slice(text.indexOf("\r\n\r\n") + 4), body);
    return true;
}

/** An error text behind a body without a length can't be told from the body. */
const isRecognizable = (format: string, follower: string) =>
    format !== "without a length" || follower !== "an error text";

for (const [formatName, format] of Object.entries(formats)) {
    for (const [followerName, follower] of Object.entries(followers)) {
        if (!isRecognizable(formatName, followerName)) {
            continue;
        }
        // Guards against a body that is filled up with other bytes and forwarded as a success, or as a server's failure.
        test(`a response ${formatName} that breaks off and goes on with ${followerName} is not forwarded`, async t => {
            for (const [writingName, writing] of Object.entries(writings)) {
                const { send } = await setUp(t, { format, follower, writing }, { spoiling: 2, sound: 0 });
                for (const kind of [NonIdempotent, Idempotent]) {
                    const isSigned = checkResponse(await send(kind, `a-${kind}`), 200);
                    assert.equal(isSigned, false, `${writingName}, ${kind}`);
                }
            }
        });
    }
}

// Guards against a chance: the next response is just as long as what the broken-off body lacks.
test("a body that another response fills up exactly is not forwarded", async t => {
    const follower = followers["a response"]!;
    const missing = follower.length;
    for (const [name, format] of Object.entries(formats)) {
        const end = name === "in one chunk" ? "\r\n0\r\n\r\n" : "";
        for (const writing of Object.values(writings)) {
            const way = { format, follower: follower + end, writing, missing };
            const { send } = await setUp(t, way, { spoiling: 1, sound: 0 });
            assert.equal(checkResponse(await send(NonIdempotent, "a"), 200), false, name);
        }
    }
});

for (const status of [201, 302, 404, 500]) {
    test(`a response with status ${status} that breaks off and goes on with other bytes is not forwarded`, async t => {
        const way = {
            format: formats["with a length"]!,
            follower: errorText,
            writing: writings["in one write"]!,
            status,
        };
        const { send } = await setUp(t, way, { spoiling: 2, sound: 0 });
        assert.equal(checkResponse(await send(NonIdempotent, "a"), status), false);
        assert.equal(checkResponse(await send(Idempotent, "b"), status), false);
    });
}

test("an idempotent request whose response is in doubt gets that of another server", async t => {
    for (const writing of Object.values(writings)) {
        const way = { format: formats["with a length"]!, follower: errorText, writing };
        const { send } = await setUp(t, way, { spoiling: 1, sound: 1 });
        for (let count = 0; count < 4; count++) {
            assert.equal(checkResponse(await send(Idempotent, `a${count}`), 200), true);
        }
    }
});

// Guards against 502 for a request that another server could run a moment later.
test("an idempotent request whose response is in doubt waits for a free slot of another server", async t => {
    const spoiling = await startServer(
        (text, socket) =>
            void socket.write(formats["with a length"]!(getRequestId(text), 200, missingBytes) + errorText),
    );
    const busy = await startServer((text, socket) => {
        const response = formats["with a length"]!(getRequestId(text), 200, 0);
        setTimeout(() => socket.write(response), 60);
    });
    const instance = await startInstance([spoiling, busy]);
    t.after(() => {
        instance.close();
        [spoiling, busy].forEach(server => server.close());
    });
    const ids = ["a", "b", "c", "d", "e", "f"];
    const texts = await Promise.all(ids.map(id => sendRaw(instance.port, formatRequest(Idempotent, id), 1)));
    assert.ok(spoiling.requests.length > 0);
    texts.forEach(text => assert.equal(checkResponse(text, 200), true));
});

test("a request that is not idempotent reaches one server when its response is in doubt", async t => {
    const way = {
        format: formats["with a length"]!,
        follower: errorText,
        writing: writings["in one write"]!,
    };
    const { servers, send, instance } = await setUp(t, way, { spoiling: 2, sound: 2 });
    for (let count = 0; count < 10; count++) {
        checkResponse(await send(NonIdempotent, `a${count}`), 200);
    }
    assert.equal(servers.flatMap(({ requests }) => requests).length, 10);
    const results = instance.records.flatMap(({ attempts }) => attempts.map(({ result }) => result));
    assert.ok(results.includes("malformed: bytes behind the response"), results.join());
});

// Guards against doubt where there is none: the server has marked the end of the body.
test("a whole response in chunks is forwarded, whatever follows it", async t => {
    for (const follower of Object.values(followers)) {
        const way = { format: formats["in one chunk"]!, follower, writing: writings["in one write"]! };
        const { send } = await setUp(t, { ...way, missing: 0 }, { spoiling: 1, sound: 0 });
        assert.equal(checkResponse(await send(NonIdempotent, "a"), 200), true);
    }
});

test("a whole response with a length is forwarded if another response follows it", async t => {
    for (const name of ["a response", "a response in chunks", "a failure", "a response that is cut"]) {
        const way = {
            format: formats["with a length"]!,
            follower: followers[name]!,
            writing: writings["in one write"]!,
        };
        const { send } = await setUp(t, { ...way, missing: 0 }, { spoiling: 1, sound: 0 });
        assert.equal(checkResponse(await send(NonIdempotent, "a"), 200), true, name);
    }
});

test("a response without content is forwarded, whatever follows it", async t => {
    const server = await startServer((text, socket) => {
        const head = formatHead(getRequestId(text), "Content-Length: 0\r\n");
        socket.write((text.startsWith("POST") ? head : head.replace("200 X", "204 X")) + errorText);
    });
    const instance = await startInstance([server]);
    t.after(() => {
        instance.close();
        server.close();
    });
    const send = (kind: RequestKind) => sendRaw(instance.port, formatRequest(kind, kind), 1);
    assert.match(await send(NonIdempotent), /^HTTP\/1\.1 200/);
    assert.match(await send(Idempotent), /^HTTP\/1\.1 204/);
});

// Guards against a document about HTTP that no caller ever gets.
test("a body that quotes a response is whole if it names no request", async t => {
    const page = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhello\n";
    const server = await startServer(
        (text, socket) =>
            void socket.write(formatHead(getRequestId(text), `Content-Length: ${page.length}\r\n`) + page),
    );
    const instance = await startInstance([server]);
    t.after(() => {
        instance.close();
        server.close();
    });
    const text = await sendRaw(instance.port, formatRequest(NonIdempotent, "a"), 1);
    assert.ok(text.startsWith("HTTP/1.1 200") && text.endsWith(page), text);
});

// Guards against a head that other bytes have completed: what follows its cut line is not the server's.
test("a head whose lines end in two ways is not forwarded", async t => {
    const server = await startServer((text, socket) => {
        socket.write(
            `${formatHead(getRequestId(text), "Content-Le").slice(0, -2)}error: broken pipe\n\nrest`,
        );
        setTimeout(() => socket.end(), 5);
    });
    const instance = await startInstance([server]);
    t.after(() => {
        instance.close();
        server.close();
    });
    assert.match(await sendRaw(instance.port, formatRequest(NonIdempotent, "a"), 1), /^HTTP\/1\.1 502/);
});
