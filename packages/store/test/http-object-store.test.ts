import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createSystemClock } from "@waxwingdale/core";
import { createHttpObjectStore } from "@waxwingdale/store";
import type { HttpObjectStore } from "@waxwingdale/store";

async function withServer(handler: RequestListener, run: (store: HttpObjectStore) => Promise<void>) {
    const server = createServer(handler);
    let connections = 0;
    server.on("connection", () => connections++);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
    const store = createHttpObjectStore({ address, clock: createSystemClock() });
    try {
        await run(store);
    } finally {
        await store.close();
        server.close();
    }
    return connections;
}

async function getErrorKind(call: Promise<unknown>): Promise<string> {
    return call.then(
        () => "none",
        (err: Error) => err.name.replace(/^Store|Error$/g, ""),
    );
}

test("HTTP statuses map to errors that tell the outcome of the call", async () => {
    const cases: [status: number, body: string, write: string, read: string][] = [
        [200, "garbage", "OutcomeUnknown", "Unavailable"],
        [400, "", "Rejected", "Rejected"],
        [408, "", "OutcomeUnknown", "Unavailable"],
        [409, "{}", "Conflict", "Rejected"],
        [413, "", "Rejected", "Rejected"],
        [429, "", "Unavailable", "Unavailable"],
        [500, "", "OutcomeUnknown", "Unavailable"],
        [502, "", "OutcomeUnknown", "Unavailable"],
        [503, "", "Unavailable", "Unavailable"],
    ];
    for (const [status, body, write, read] of cases) {
        const handler: RequestListener = (_, res) => res.writeHead(status).end(body);
        await withServer(handler, async store => {
            const results = [await getErrorKind(store.put("a", 1, 0)), await getErrorKind(store.list("a"))];
            assert.deepEqual(results, [write, read], `status ${status}`);
        });
    }
});

test("sequential calls share connections", async () => {
    const connections = await withServer(
        (_, res) => res.end('{"objects":[]}'),
        async store => {
            for (let i = 0; i < 50; i++) {
                await store.list("a");
            }
        },
    );
    assert.ok(connections <= 2, `${connections} connections`);
});

test("a truncated response leaves the outcome of a write unknown", async () => {
    const breakOff: RequestListener = (req, res) => {
        res.writeHead(200, { "content-length": 100 });
        res.write('{"version":1}');
        setImmediate(() => req.socket.destroy());
    };
    await withServer(breakOff, async store => {
        assert.equal(await getErrorKind(store.put("a", 1, 0)), "OutcomeUnknown");
        assert.equal(await getErrorKind(store.get("a")), "Unavailable");
    });
});

test("a call that is canceled before it starts is not sent", async () => {
    let calls = 0;
    await withServer(
        (_, res) => (calls++, res.end("{}")),
        async store => {
            assert.equal(await getErrorKind(store.put("a", 1, 0, AbortSignal.abort())), "Unavailable");
            assert.equal(await getErrorKind(store.get("a", AbortSignal.abort())), "Unavailable");
        },
    );
    assert.equal(calls, 0);
});
