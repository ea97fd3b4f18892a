/** What strangers can reach and how long they can hold an entry. Each test guards against an open door of a listener. */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { test } from "node:test";
import { Outcome, ReasonCode, maxHeaderBytes } from "@waxwingdale/core";
import { request } from "undici";
import { fleetKey, send, until, useFleet } from "./fleet-fixture.js";

const limit = { timeout: 40_000 };
const getFleet = useFleet({ regions: ["east"], entriesPerRegion: 1, servers: 1 });
/** Bound in milliseconds on a silence in the middle of a body, with a margin for timers. */
const silenceMs = 10_000 + 1500;

const internalPaths = [
    "/rpc",
    "/forward/desk/items/1",
    "/status",
    "/dump",
    "/metrics",
    "/requests",
    "/explain",
];

async function ask(address: string, path: string, authorization?: string) {
    const method = path === "/rpc" ? "POST" : "GET";
    const headers = authorization === undefined ? {} : { authorization };
    const res = await request(`http://${address}${path}`, { method, headers });
    await res.body.dump();
    return res;
}

/** Sends text on a connection of its own and resolves with what comes back until its end. */
function talk(address: string, ...parts: (string | Buffer)[]): Promise<{ text: string; ms: number }> {
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

test("peer and operator listeners refuse a missing or wrong key", limit, async () => {
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
                assert.equal((await ask(address, path, key)).statusCode, 401, `${path} with ${key}`);
            }
        }
    }
    assert.equal((await ask(entry!.operators, "/status", `Bearer ${fleetKey}`)).statusCode, 200);
    assert.equal((await ask(entry!.peers, "/forward/desk/items/1", `Bearer ${fleetKey}`)).statusCode, 200);
});

test("callers reach no internal page on their listener, even with the fleet's key", limit, async () => {
    const [entry] = getFleet().entries;
    for (const path of [...internalPaths, "//dump", "/desk/../dump", "/%64ump"]) {
        for (const key of [undefined, `Bearer ${fleetKey}`]) {
            const res = await ask(entry!.callers, path, key);
            assert.equal(res.statusCode, 404, path);
            assert.equal(res.headers["waxwingdale-reason"], ReasonCode.NoRoute, path);
        }
    }
});

test("a header block over 16 KB is refused with 431 on every listener", limit, async () => {
    const [entry] = getFleet().entries;
    const head = `GET /desk/items/1 HTTP/1.1\r\nhost: a\r\nx-long: ${"x".repeat(maxHeaderBytes)}\r\n\r\n`;
    for (const address of [entry!.callers, entry!.peers, entry!.operators]) {
        assert.match((await talk(address, head)).text, /^HTTP\/1\.1 431 /);
    }
});

test(
    "half a body and then silence: the connection ends within the limit and no slot stays taken",
    limit,
    async () => {
        const [entry] = getFleet().entries;
        const head = (method: string, path: string, length: number) =>
            `${method} /desk${path} HTTP/1.1\r\nhost: a\r\nidempotency-key: half\r\ncontent-length: ${length}\r\n\r\n`;
        const [held, streamed] = await Promise.all([
            talk(entry!.callers, head("POST", "/certs", 1000), "x".repeat(500)),
            talk(entry!.callers, head("PUT", "/files/1", 300_000), Buffer.alloc(100_000)),
        ]);
        assert.ok(held.ms <= silenceMs, `a held body: ${held.ms} ms`);
        assert.match(held.text, /waxwingdale-outcome: not-run/);
        assert.ok(streamed.ms <= silenceMs, `a streamed body: ${streamed.ms} ms`);
        await until("no request runs", 2000, async () =>
            (await getFleet().states()).every(({ busy }) => busy === 0),
        );
        const answer = await send(entry!, { path: "/items/1" });
        assert.equal(answer.outcome, Outcome.Ran);
    },
);
