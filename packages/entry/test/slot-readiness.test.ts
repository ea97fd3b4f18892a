import assert from "node:assert/strict";
import { test } from "node:test";
import type { BackendDirectory } from "@waxwingdale/backends";
import { createManualClock } from "@waxwingdale/core";
import type { BackendServer } from "@waxwingdale/core";
import type { SlotBroker } from "@waxwingdale/limits";
import { createSlotReadiness } from "../src/slot-readiness.js";

const server: BackendServer = {
    id: "s1",
    service: "register",
    address: "127.0.0.1:1",
    region: "north",
    zone: "a",
    slots: 3,
    draining: false,
};

function createFixture() {
    const clock = createManualClock();
    const state = { servers: [] as BackendServer[], confirmed: false };
    const slots = () =>
        state.servers.length === 0 ? [] : [{ key: "s1/0", isOwn: true, isConfirmed: state.confirmed }];
    const broker = { state: () => ({ slots: slots() }) } as unknown as SlotBroker;
    const backends = {
        listAgeMs: () => 0,
        servers: () => state.servers,
        find: () => server,
    } as unknown as BackendDirectory;
    return { clock, state, readiness: createSlotReadiness(clock, broker, backends) };
}

test("an entry is not ready until one of its slots is confirmed", () => {
    const { state, readiness } = createFixture();
    state.servers = [server];
    assert.equal(readiness.isReady(), false);
    state.confirmed = true;
    assert.equal(readiness.isReady(), true);
});

test("the wait for slots starts when the servers become known", async () => {
    const { clock, state, readiness } = createFixture();
    assert.equal(readiness.isReady(), false);
    await clock.advance(5000);
    state.servers = [server];
    assert.equal(readiness.isReady(), false);
    await clock.advance(5000);
    assert.equal(readiness.isReady(), false);
    await clock.advance(2000);
    assert.equal(readiness.isReady(), true);
});

test("a region without backend servers becomes ready", async () => {
    const { clock, readiness } = createFixture();
    assert.equal(readiness.isReady(), false);
    await clock.advance(13_000);
    assert.equal(readiness.isReady(), true);
});
