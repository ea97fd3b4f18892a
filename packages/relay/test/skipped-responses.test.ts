/** Guards against responses of faulty servers that are skipped without a trace in logs and metrics. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { RequestKind } from "@waxwingdale/balancing";
import { ResponseMismatch } from "@waxwingdale/relay";
import { formatRequest, formatResponse, sendRaw, startInstance, startServer } from "./fixtures.js";
import type { Script } from "./fixtures.js";

async function setUp(t: TestContext, script: Script) {
    const server = await startServer(script);
    const instance = await startInstance([server]);
    t.after(() => {
        instance.close();
        server.close();
    });
    const send = (id: string) => sendRaw(instance.port, formatRequest(RequestKind.NonIdempotent, id), 1);
    return { instance, send };
}

test("a copy of the response before it is reported with both ids", async t => {
    const { instance, send } = await setUp(t, (text, socket, count) => {
        const copy = count === 0 ? "" : formatResponse(text, "copy", { id: "a", status: 500 });
        socket.write(copy + formatResponse(text, "right"));
    });
    await send("a");
    assert.match(await send("b"), /right$/);
    assert.deepEqual(instance.skipped, [
        {
            mismatch: ResponseMismatch.EarlierRequest,
            requestId: "b",
            responseIds: ["a"],
            status: 500,
            isReused: true,
        },
    ]);
});

test("a response with the id of a request that was never sent is reported", async t => {
    const { instance, send } = await setUp(t, (text, socket) => {
        socket.write(formatResponse(text, "stray", { id: "other" }) + formatResponse(text, "right"));
    });
    await send("a");
    const [first] = instance.skipped;
    assert.equal(first?.mismatch, ResponseMismatch.OtherRequest);
    assert.deepEqual(first.responseIds, ["other"]);
    assert.equal(first.isReused, false);
});

test("a second response in the same segment is reported", async t => {
    const { instance, send } = await setUp(t, (text, socket) => {
        socket.write(formatResponse(text, "first") + formatResponse(text, "second", { status: 500 }));
    });
    assert.match(await send("a"), /first$/);
    assert.deepEqual(
        instance.skipped.map(({ mismatch, status }) => ({ mismatch, status })),
        [{ mismatch: ResponseMismatch.Surplus, status: 500 }],
    );
});

test("bytes on an idle connection are reported", async t => {
    const { instance, send } = await setUp(t, (text, socket) => {
        socket.write(formatResponse(text, "first"));
        setTimeout(() => socket.write(formatResponse(text, "second")), 5);
    });
    await send("a");
    assert.deepEqual(
        instance.skipped.map(({ mismatch, status, requestId }) => ({ mismatch, status, requestId })),
        [{ mismatch: ResponseMismatch.Unsolicited, status: undefined, requestId: "a" }],
    );
});
