import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { createCallerApp } from "../src/caller-listener.js";
import type { CallerListenerOptions } from "../src/caller-listener.js";

/** Sends a request to the caller listener. The fake carrier responds with the path that it received. */
async function sendRequest(path: string, method = "GET"): Promise<{ status: number; text: string }> {
    const options = {
        carrier: { handleCaller: async (req, res) => void res.end(`forwarded ${req.url}`) },
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

// Guards against a request that is handled by a built-in endpoint instead of being forwarded, or vice versa.
test("requests to services are forwarded, even if the service name starts like a built-in endpoint", async () => {
    for (const path of ["/register/detectors/7?a=1", "/healthcare/x", "/ready-mix/x", "/v1/other"]) {
        assert.deepEqual(await sendRequest(path), { status: 200, text: `forwarded ${path}` });
    }
});

test("built-in endpoints are served by the entry itself", async () => {
    assert.equal((await sendRequest("/health")).text, "ok\n");
    assert.equal((await sendRequest("/ready")).text, '{"ready":true}');
});

// Guards against a query that is parsed differently when a lookup bypasses the router.
test("a lookup reads the service and the client from its query", async () => {
    const found = JSON.parse(
        (await sendRequest("/v1/lookup?client=10.0.0.1&service=register")).text,
    ) as object;
    assert.deepEqual(found, {
        service: "register",
        generation: 1,
        ttlSeconds: 5,
        entries: [],
        client: "10.0.0.1",
    });
    assert.equal((await sendRequest("/v1/lookup?service=absent")).status, 404);
    assert.equal((await sendRequest("/v1/lookup")).status, 400);
    assert.equal((await sendRequest("/v1/lookup?service=register&client=%31%32")).status, 200);
});
