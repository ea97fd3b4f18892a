/** Guards against forwarding a response as whole that its server broke off, at any byte. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestKind } from "@waxwingdale/balancing";
import { formatRequest, getRequestId, sendRaw, startInstance, startServer } from "./fixtures.js";

const formatHead = (id: string, framing: string) =>
    `HTTP/1.1 200 OK\r\nX-Id: ${id}\r\nX-Signature: s\r\nX-More: value\r\n${framing}\r\n\r\n`;

/** Complete responses, and the shortest length from which a cut one is whole; undefined if only all of it is. */
const responses: Record<string, (id: string) => { text: string; wholeFrom?: number }> = {
    "with a length": id => ({ text: `${formatHead(id, "Content-Length: 4")}body` }),
    "in chunks": id => ({
        text: `${formatHead(id, "Transfer-Encoding: chunked")}4\r\nbody\r\n0\r\n\r\n`,
    }),
    "with a length and a trailing line in its head": id => ({
        text: `${formatHead(id, "Content-Length: 4\r\nX-Last: value")}body`,
    }),
    // Without a length the end of the connection is the end of the body, which only a cut in the head contradicts.
    "without a length": id => {
        const head = formatHead(id, "X-Last: value");
        return { text: `${head}body`, wholeFrom: head.length };
    },
};

for (const [name, createResponse] of Object.entries(responses)) {
    for (const close of ["closed", "reset"]) {
        test(`a response ${name} whose connection is ${close} at any byte is not forwarded`, async t => {
            let sentBytes = 0;
            const server = await startServer((text, socket) => {
                const response = createResponse(getRequestId(text)).text.slice(0, sentBytes);
                socket.write(response, () => {
                    if (close === "closed") {
                        socket.end();
                    } else {
                        socket.resetAndDestroy();
                    }
                });
            });
            const instance = await startInstance([server]);
            t.after(() => {
                instance.close();
                server.close();
            });
            const { text, wholeFrom = Infinity } = createResponse("c");
            const lastCut = close === "closed" ? Math.min(text.length, wholeFrom) : text.length;
            for (sentBytes = 0; sentBytes < lastCut; sentBytes++) {
                const received = await sendRaw(
                    instance.port,
                    formatRequest(RequestKind.NonIdempotent, "c"),
                    1,
                );
                assert.match(
                    received,
                    /^HTTP\/1\.1 502/,
                    `cut after ${JSON.stringify(text.slice(0, sentBytes))}`,
                );
            }
        });
    }
}
