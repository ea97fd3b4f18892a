/** Servers whose entries are removed together. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryObjectStore } from "@waxwingdale/store";
import { createServer, startInstance } from "./view-instance.js";

/** Shortest bound in seconds that a deployment declares for a removal, and the part of it that a relay of the store may take. */
const drainSeconds = 2.5;
const relayMs = 500;

// Guards against requests to servers that left together, later than the bound for a removal (DRAIN).
test("servers whose entries are removed together get no requests after the bound", async () => {
    for (let phaseMs = 0; phaseMs < 1300; phaseMs += 50) {
        const instance = await startInstance(clock => new MemoryObjectStore(clock, { era: 1 }), {
            drainSeconds,
        });
        const { clock, store } = instance;
        const ids = ["s2", "s3", "s4", "s5"];
        for (const id of ids) {
            await store.put(`servers/${id}`, createServer("ready"), 0);
        }
        await clock.advance(10_000 + phaseMs);
        for (const id of ids) {
            await store.delete(`servers/${id}`, (await store.get(`servers/${id}`))!.version);
        }
        // Other entries change all the while, as those of cold servers do.
        for (let passedMs = 0; passedMs < drainSeconds * 1000 - relayMs; passedMs += 100) {
            await store.put(
                "servers/s1",
                createServer("ready", { status: { state: "ready", sequence: passedMs } }),
                (await store.get("servers/s1"))!.version,
            );
            await clock.advance(100);
        }
        assert.deepEqual(instance.servers(), ["s1"], `phase ${phaseMs} ms`);
        await instance.stop();
    }
});
