/** Timeouts of callers that read nothing of a response. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { closeIfStalled } from "../src/caller-response.js";

/** More than the buffers of a connection hold. */
const largeBody = Buffer.alloc(16 * 1024 * 1024);

// Guards against a pipelined request behind a download whose connection is closed while its server works (LOST).
test("the timeout of a download ends with it, and does not meet the request behind it", async t => {
    const pending: { req: IncomingMessage; res: ServerResponse }[] = [];
    const server = createServer((req, res) => {
        pending.push({ req, res });
        if (req.url === "/large") {
            res.end(largeBody);
            closeIfStalled(req, res);
        }
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
    t.after(() => {
        client.destroy();
        server.close();
    });
    client.pause();
    client.write("GET /large HTTP/1.1\r\nHost: a\r\n\r\nGET /next HTTP/1.1\r\nHost: a\r\n\r\n");
    while (pending.length < 2) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    const [download] = pending;
    const { socket } = download!.req;
    assert.ok(socket.timeout! > 0, "a caller that reads nothing is closed");
    const finished = once(download!.res, "finish");
    client.resume();
    await finished;
    assert.equal(socket.timeout, 0);
    pending[1]!.res.end("next");
    await once(pending[1]!.res, "close");
    assert.equal(socket.timeout > 0, true, "the idle timeout of the server is in force");
});
