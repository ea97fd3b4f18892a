/** Guards against unauthenticated access to internal endpoints and against clients that tie up an entry's resources. */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { Outcome, ReasonCode, maxHeaderBytes } from "@waxwingdale/core";
import { request } from "undici";
import { fleetKey, sendRequest, waitUntil, useFleet } from "./fleet-fixture.js";

const testOptions = { timeout: 40_000 };
const getFleet = useFleet({ regions: ["east"], entriesPerRegion: 1, servers: 1 });
/** Timeout for a stalled request body, plus a margin for timers, in milliseconds. */
const readTimeoutMs = 10_000 + 1500;

const internalPaths = [
    "/rpc",
    "/forward/desk/items/1",
    "/status",
    "/dump",
    "/metrics",
    "/requests",
    "/explain",
];

async function sendProbe(address: string, path: string, authorization?: string) {
    const method = path === "/rpc" ? "POST" : "GET";
    const headers = authorization === undefined ? {} : { authorization };
    const res = await request(`http://${address}${path}`, { method, headers });
    await res.body.dump();
    return res;
}

/** Sends raw data on a new connection and resolves with the received text once the connection is closed. */
function exchangeRaw(address: string, ...parts: (string | Buffer)[]): Promise<{ text: string; ms: number }> {
    const [host, port] = address.split(":");
    const startedAt = Date.now();
    return new Promise(resolve => {
        let text = "";
        const socket = connect(Number(port), host, () => parts.forEach(part => socket.write(part)));
        socket.on("data", (chunk: Buffer) => (text += chunk.toString()));
        socket.on("error", () => undefined);
        socket.on("close", () => resolve({ text, ms: Date.now() - startedAt }));
    });
}

test("peer and operator listeners reject a missing or wrong fleet key", testOptions, async () => {
    const [entry] = getFleet().entries;
    const wrongKeys = [
        undefined,
        "Bearer wrong",
        `Bearer ${fleetKey}x`,
        fleetKey,
        `Basic ${fleetKey}`,
        "Bearer ",
    ];
    for (const address of [entry!.peers, entry!.operators]) {
        for (const path of internalPaths) {
            for (const key of wrongKeys) {
                assert.equal((await sendProbe(address, path, key)).statusCode, 401, `${path} with ${key}`);
            }
        }
    }
    assert.equal((await sendProbe(entry!.operators, "/status", `Bearer ${fleetKey}`)).statusCode, 200);
    assert.equal(
        (await sendProbe(entry!.peers, "/forward/desk/items/1", `Bearer ${fleetKey}`)).statusCode,
        200,
    );
});

test(
    "the caller listener exposes no internal endpoint, even to requests with the fleet key",
    testOptions,
    async () => {
        const [entry] = getFleet().entries;
        for (const path of [...internalPaths, "//dump", "/desk/../dump", "/%64ump"]) {
            for (const key of [undefined, `Bearer ${fleetKey}`]) {
                const res = await sendProbe(entry!.callers, path, key);
                assert.equal(res.statusCode, 404, path);
                assert.equal(res.headers["waxwingdale-reason"], ReasonCode.NoRoute, path);
            }
        }
    },
);

test("every listener rejects request headers over 16 KB with status 431", testOptions, async () => {
    const [entry] = getFleet().entries;
    const head = `GET /desk/items/1 HTTP/1.1\r\nhost: a\r\nx-long: ${"x".repeat(maxHeaderBytes)}\r\n\r\n`;
    for (const address of [entry!.callers, entry!.peers, entry!.operators]) {
        assert.match((await exchangeRaw(address, head)).text, /^HTTP\/1\.1 431 /);
    }
});

test(
    "stalled request body: the connection is closed within the timeout and the slot is released",
    testOptions,
    async () => {
        const [entry] = getFleet().entries;
        const head = (method: string, path: string, length: number) =>
            `${method} /desk${path} HTTP/1.1\r\nhost: a\r\nidempotency-key: half\r\ncontent-length: ${length}\r\n\r\n`;
        const [buffered, streamed] = await Promise.all([
            exchangeRaw(entry!.callers, head("POST", "/certs", 1000), "x".repeat(500)),
            exchangeRaw(entry!.callers, head("PUT", "/files/1", 300_000), Buffer.alloc(100_000)),
        ]);
        assert.ok(buffered.ms <= readTimeoutMs, `a buffered body: ${buffered.ms} ms`);
        assert.match(buffered.text, /waxwingdale-outcome: not-run/);
        assert.ok(streamed.ms <= readTimeoutMs, `a streamed body: ${streamed.ms} ms`);
        await waitUntil("all slots are released", 2000, async () =>
            (await getFleet().states()).every(({ busy }) => busy === 0),
        );
        const result = await sendRequest(entry!, { path: "/items/1" });
        assert.equal(result.outcome, Outcome.Ran);
    },
);
