import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createSystemClock } from "@waxwingdale/core";
import { Pool } from "undici";
import { DispatchPhase, dispatchRequest } from "../src/dispatch-request.js";

/** More calls than a response of this size needs. The sink stops pausing here, so that a failing test ends. */
const callLimit = 10_000;

// Guards against an endless loop: the parser emits an empty chunk after each resume, and the sink paused for it again.
test("a sink that pauses after each chunk receives each byte once", async t => {
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
