import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createCallerApp } from "../src/caller-listener.js";
import type { CallerListenerOptions } from "../src/caller-listener.js";

/** Asks the callers' application over a socket. The fake carrier answers with the path that reached it. */
async function ask(path: string, method = "GET"): Promise<{ status: number; text: string }> {
    const options = {
        carrier: { handleCaller: async (req, res) => void res.end(`carried ${req.url}`) },
        directory: {
            lookup: (service: string, client: string | undefined) =>
                service === "register"
                    ? { service, generation: 1, ttlSeconds: 5, entries: [], client }
                    : undefined,
        },
        getNotReadyReason: () => undefined,
        recordLookup: () => undefined,
    } as Partial<CallerListenerOptions> as CallerListenerOptions;
    const app = createCallerApp(options);
    const server = createServer((req, res) => app.handler(req, res));
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const res = await fetch(`http://127.0.0.1:${port}${path}`, { method });
    const text = await res.text();
    server.closeAllConnections();
    await new Promise(resolve => server.close(resolve));
    return { status: res.status, text };
}

// Guards against a carried request that ends at a page of the system, or the other way round.
test("requests of services are carried, whatever their names start with", async () => {
    for (const path of ["/register/detectors/7?a=1", "/healthcare/x", "/ready-mix/x", "/v1/other"]) {
        assert.deepEqual(await ask(path), { status: 200, text: `carried ${path}` });
    }
});

test("the system's own pages are answered by the entry", async () => {
    assert.equal((await ask("/health")).text, "ok\n");
    assert.equal((await ask("/ready")).text, '{"ready":true}');
});

// Guards against a query that the path without the router reads differently.
test("a look-up takes service and client from its query", async () => {
    const found = JSON.parse((await ask("/v1/lookup?client=10.0.0.1&service=register")).text) as object;
    assert.deepEqual(found, {
        service: "register",
        generation: 1,
        ttlSeconds: 5,
        entries: [],
        client: "10.0.0.1",
    });
    assert.equal((await ask("/v1/lookup?service=absent")).status, 404);
    assert.equal((await ask("/v1/lookup")).status, 400);
    assert.equal((await ask("/v1/lookup?service=register&client=%31%32")).status, 200);
});
