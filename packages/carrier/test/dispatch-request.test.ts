import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createSystemClock } from "@waxwingdale/core";
import { Pool } from "undici";
import { DispatchPhase, dispatchRequest } from "../src/dispatch-request.js";

/** More calls than an answer of this size can have; the sink stops pausing there, so that a fault ends the test. */
const callLimit = 10_000;

// Guards against an entry that stands still: a pause for an empty chunk led to the next one without end.
test("a sink that pauses for each chunk gets each byte once", async t => {
    const body = Buffer.alloc(2_000_000, "x");
    const server = createServer((_req, res) => void res.end(body));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const pool = new Pool(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
    t.after(async () => {
        await pool.destroy();
        server.close();
    });
    const clock = createSystemClock();
    let calls = 0;
    let bytes = 0;
    const sink = {
        write: (chunk: Buffer) => {
            bytes += chunk.length;
            return ++calls < callLimit ? Promise.resolve() : undefined;
        },
    };
    const result = await dispatchRequest({
        pool,
        clock,
        method: "GET",
        path: "/",
        headers: {},
        body: undefined,
        deadlineAt: clock.now() + 10_000,
        signal: undefined,
        onResponseHead: () => sink,
    });
    assert.equal(result.phase, DispatchPhase.Complete);
    assert.equal(bytes, body.length);
    assert.ok(calls < callLimit, `${calls} calls`);
});
