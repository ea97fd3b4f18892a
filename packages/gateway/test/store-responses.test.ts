/** A store that sends a late copy of an earlier response, which arrives after the next call was sent. */
import assert from "node:assert/strict";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import type { TestContext } from "node:test";
import {
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
} from "@waxwingdale/core";
import { PlatformStore } from "@waxwingdale/platform";

const callTimeoutMs = 2000;

/** Starts a store that answers each call with the next of the responses, and a client of it. */
async function startStore(t: TestContext, responses: { status?: number; body: unknown }[]) {
    const sockets: Socket[] = [];
    let calls = 0;
    const server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => {
            const { status = 200, body } = responses[calls++]!;
            const text = typeof body === "string" ? body : JSON.stringify(body);
            socket.write(`HTTP/1.1 ${status} X\r\nContent-Length: ${text.length}\r\n\r\n${text}`);
        });
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const store = new PlatformStore({ address, callTimeoutMs });
    t.after(() => {
        store.close();
        server.close();
        sockets.forEach(socket => socket.destroy());
    });
    return { store, sockets };
}

const createObject = (name: string, revision: number) => ({
    metadata: { name, revision },
    spec: { text: name },
});

/** Checks that a call fails at once, and that the next one opens a connection. */
async function checkFailure(
    store: PlatformStore,
    sockets: Socket[],
    call: Promise<unknown>,
    error: typeof StoreUnavailableError | typeof StoreOutcomeUnknownError,
) {
    const startedAt = performance.now();
    await assert.rejects(call, (err: unknown) => err instanceof error);
    assert.ok(performance.now() - startedAt < callTimeoutMs / 2);
    const connections = sockets.length;
    assert.equal((await store.get("notes/last"))?.version, 99);
    assert.equal(sockets.length, connections + 1);
}

const last = { body: createObject("last", 99) };

/** Guards against an object that is taken for another one (MIXED). */
test("an object of another name is not that which was read", async t => {
    const { store, sockets } = await startStore(t, [{ body: createObject("b", 5) }, last]);
    await checkFailure(store, sockets, store.get("notes/a"), StoreUnavailableError);
});

/** Guards against a list that lacks objects (MIXED). */
test("a copy of the page before is not the next page", async t => {
    const page = { items: [createObject("a", 5)], "has-more": true, "as-of": 9 };
    const { store, sockets } = await startStore(t, [{ body: page }, { body: page }, last]);
    await checkFailure(store, sockets, store.listWithVersion("notes/"), StoreUnavailableError);
});

test("a page that is older than the one before is not the next page", async t => {
    const page = { items: [createObject("a", 5)], "has-more": true, "as-of": 9 };
    const older = { items: [], "has-more": false, "as-of": 8 };
    const { store, sockets } = await startStore(t, [{ body: page }, { body: older }, last]);
    await checkFailure(store, sockets, store.listWithVersion("notes/"), StoreUnavailableError);
});

for (const [name, body] of [
    ["the changes before", { events: [{ object: createObject("a", 9) }], "as-of": 9 }],
    ["an older revision", { events: [], "as-of": 8 }],
    ["a list", { items: [createObject("a", 5)], "as-of": 20 }],
] as const) {
    test(`${name}: not the response to a watch`, async t => {
        const { store, sockets } = await startStore(t, [{ body }, last]);
        await checkFailure(store, sockets, store.watch("notes/", 9, 10), StoreUnavailableError);
    });
}

/** Guards against a missing history that is taken for a missing object, and the other way round. */
test("a status that another call may have is a failure of a read", async t => {
    const gone = { status: 410, body: "" };
    const { store } = await startStore(t, [gone, gone, { status: 404, body: "" }]);
    await assert.rejects(store.get("notes/a"), StoreUnavailableError);
    await assert.rejects(store.listWithVersion("notes/"), StoreUnavailableError);
    await assert.rejects(store.watch("notes/", 9, 10), StoreUnavailableError);
});

/** Guards against a write that is reported as done, or as not done, although it is unknown whether it was. */
for (const [name, response] of [
    ["an object of another name", { body: createObject("b", 12) }],
    ["an object that is older than the write", { body: createObject("a", 8) }],
    ["a conflict with an object of another name", { status: 409, body: createObject("b", 12) }],
    ["a conflict with the revision that was expected", { status: 409, body: createObject("a", 9) }],
    ["the changes of a watch", { body: { events: [], "as-of": 12 } }],
    ["a part of an object", { body: '{"metadata":{"na' }],
] as const) {
    test(`${name} leaves the outcome of a write unknown`, async t => {
        const { store, sockets } = await startStore(t, [response, last]);
        await checkFailure(store, sockets, store.put("notes/a", { text: "a" }, 9), StoreOutcomeUnknownError);
    });
}

for (const status of [204, 302, 500, 502, 504]) {
    test(`a response with status ${status} leaves the outcome of a write unknown`, async t => {
        const { store } = await startStore(t, [{ status, body: "" }]);
        await assert.rejects(store.put("notes/a", {}, 9), StoreOutcomeUnknownError);
    });
}

test("responses to writes that say what was done", async t => {
    const { store, sockets } = await startStore(t, [
        { status: 201, body: createObject("a", 10) },
        { body: createObject("a", 10) },
        { status: 409, body: createObject("a", 12) },
        { status: 409, body: {} },
        { body: {} },
        { status: 503, body: "" },
        { status: 429, body: "" },
        { status: 404, body: "" },
    ]);
    assert.equal(await store.put("notes/a", {}, 0), 10);
    assert.equal(await store.put("notes/a", {}, 10), 10);
    await assert.rejects(store.put("notes/a", {}, 10), StoreConflictError);
    await assert.rejects(store.put("notes/a", {}, 10), StoreConflictError);
    await store.delete("notes/a", 12);
    await assert.rejects(store.delete("notes/a", 12), StoreUnavailableError);
    await assert.rejects(store.delete("notes/a", 12), StoreUnavailableError);
    await assert.rejects(store.delete("notes/a", 12), StoreRejectedError);
    assert.equal(sockets.length, 1);
});
