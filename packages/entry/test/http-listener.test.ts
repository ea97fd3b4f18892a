import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { createSilentLogger, splitAddress } from "@waxwingdale/core";
import { openHttpListener } from "../src/http-listener.js";

/** Guards against "not run" for a request that is in progress, because a malformed one follows it. */
test("a malformed request behind another one: the response to the other one comes first", async t => {
    const listener = await openHttpListener({
        name: "callers",
        address: "127.0.0.1:0",
        logger: createSilentLogger(),
        handler: (_req, res) => void setTimeout(() => res.end("body"), 50),
    });
    t.after(() => listener.close());
    const { host, port } = splitAddress(listener.address);
    const caller = connect(port, host);
    caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\nno request\r\n\r\n");
    let text = "";
    caller.on("data", data => {
        text += data.toString("latin1");
    });
    await new Promise(resolve => caller.once("close", resolve));
    assert.match(text, /^HTTP\/1\.1 200 OK\r\n[^]*bodyHTTP\/1\.1 400 [^]*waxwingdale-outcome: not-run/);
});
