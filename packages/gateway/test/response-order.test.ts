/** Callers that pipeline requests of which a later one is malformed or waits for an interim response. */
import assert from "node:assert/strict";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { openListener } from "../src/listeners.js";

/** Time after which the first request is answered, in milliseconds. The others are answered at once. */
const firstDelayMs = 100;

/** Answers each request with its path, as soon as it is complete. */
function respond(req: IncomingMessage, res: ServerResponse): void {
    const body = Buffer.from(`body of ${req.url}`);
    req.resume();
    req.on("end", () =>
        setTimeout(
            () => {
                res.sendDate = false;
                res.writeHead(200, { "Content-Length": body.length });
                res.end(body);
            },
            req.url === "/1" ? firstDelayMs : 0,
        ),
    );
}

async function openCaller(t: TestContext) {
    const listener = await openListener("127.0.0.1:0", respond);
    const { port } = listener.server.address() as AddressInfo;
    const caller = connect(port, "127.0.0.1");
    caller.on("error", () => undefined);
    t.after(() => {
        caller.destroy();
        listener.server.closeAllConnections();
        listener.close();
    });
    return caller;
}

/** Returns what is received until the connection closes, or until `pattern` matches. */
async function receive(caller: Socket, pattern?: RegExp): Promise<string> {
    let text = "";
    caller.on("data", data => {
        text += data.toString("latin1");
        if (pattern?.test(text)) {
            caller.destroy();
        }
    });
    await new Promise(resolve => caller.once("close", resolve));
    return text.replace(/(Connection: keep-alive|Keep-Alive: timeout=\d+)\r\n/g, "");
}

const formatRequest = (path: string) => `GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`;
const post = "POST /2 HTTP/1.1\r\nHost: h\r\n";
const ok = (path: string) => `HTTP/1.1 200 OK\r\nContent-Length: ${8 + path.length}\r\n\r\nbody of ${path}`;
const rejection = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n";

/** Guards against a rejection of a malformed request that is taken for the response to the request before (MIXED). */
for (const [name, malformed] of [
    ["bytes that are no request", "no request\r\n\r\n"],
    ["two lengths", `${post}Content-Length: 1\r\nContent-Length: 2\r\n\r\nhi`],
    ["chunks and a length", `${post}Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n`],
    ["a malformed chunk", `${post}Transfer-Encoding: chunked\r\n\r\n2x\r\nhi\r\n0\r\n\r\n`],
] as const) {
    for (const delayMs of [0, firstDelayMs / 2]) {
        test(`${name} ${delayMs} ms behind two requests: their responses come first`, async t => {
            const caller = await openCaller(t);
            const received = receive(caller);
            caller.write(formatRequest("/1") + formatRequest("/3"));
            await sleep(delayMs);
            caller.write(malformed + formatRequest("/4"));
            assert.equal(await received, ok("/1") + ok("/3") + rejection);
        });
    }

    test(`${name} on a new connection: rejected at once`, async t => {
        const caller = await openCaller(t);
        caller.write(malformed + formatRequest("/4"));
        assert.equal(await receive(caller), rejection);
    });
}

test("headers that are too large behind a request: the response of the request comes first", async t => {
    const caller = await openCaller(t);
    caller.write(`${formatRequest("/1")}GET /2 HTTP/1.1\r\nHost: h\r\nX: ${"x".repeat(100_000)}\r\n\r\n`);
    assert.match(await receive(caller), /^HTTP\/1\.1 200 [^]*body of \/1HTTP\/1\.1 431 /);
});

/** Guards against an interim response in the body of a response (MIXED). */
test("a request that expects an interim response behind another one: it comes between the responses", async t => {
    const caller = await openCaller(t);
    const received = receive(caller, /body of \/2$/);
    caller.write(`${formatRequest("/1")}${post}Expect: 100-continue\r\nContent-Length: 2\r\n\r\n`);
    await sleep(firstDelayMs * 2);
    caller.write("hi");
    assert.equal(await received, `${ok("/1")}HTTP/1.1 100 Continue\r\n\r\n${ok("/2")}`);
});

test("a body that does not wait for the interim response: the response is not mixed with it", async t => {
    const caller = await openCaller(t);
    caller.write(`${formatRequest("/1")}${post}Expect: 100-continue\r\nContent-Length: 2\r\n\r\nhi`);
    const received = await receive(caller, /body of \/2$/);
    assert.equal(received.replace("Connection: close\r\n", ""), ok("/1") + ok("/2"));
});

test("a caller that closes while requests are in progress", async t => {
    const caller = await openCaller(t);
    caller.write(`${formatRequest("/1")}${post}Expect: 100-continue\r\nContent-Length: 2\r\n\r\n`);
    await sleep(firstDelayMs / 2);
    caller.resetAndDestroy();
    await sleep(firstDelayMs);
});
