import assert from "node:assert/strict";
import { afterEach, test } from "node:test";
import {
    InstanceRole,
    InstanceState,
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
    createManualClock,
    createSystemClock,
} from "@waxwingdale/core";
import { createHttpObjectStore } from "@waxwingdale/store";
import { startObjectApi } from "@waxwingdale/stand-ins";
import type { ObjectApi, ObjectApiOptions } from "@waxwingdale/stand-ins";

const cleanUps: (() => Promise<void>)[] = [];

afterEach(async () => {
    await Promise.all(cleanUps.splice(0).map(cleanUp => cleanUp()));
});

/** The stand-in's time stands still unless a test moves it; the client's time-outs are real. */
async function start(options: Partial<ObjectApiOptions> = {}, requestTimeoutMs = 10_000) {
    const clock = createManualClock();
    const api = await startObjectApi({ clock, ...options });
    const { address } = api;
    const store = createHttpObjectStore({ address, clock: createSystemClock(), requestTimeoutMs });
    cleanUps.push(async () => {
        await store.close();
        await api.close();
    });
    return { clock, api, store };
}

async function control(api: ObjectApi, path: string, body?: unknown): Promise<unknown> {
    const init = body === undefined ? {} : { method: "PUT", body: JSON.stringify(body) };
    const res = await fetch(`http://${api.address}${path}`, init);
    return res.ok ? res.json() : res.status;
}

async function until(condition: () => boolean): Promise<void> {
    const end = Date.now() + 2000;
    while (!condition()) {
        assert.ok(Date.now() < end, "the condition doesn't come true");
        await new Promise(resolve => setTimeout(resolve, 2));
    }
}

const watching = (api: ObjectApi) => until(() => api.counters().reads.waiting > 0);

test("objects are written under their version and read back", async () => {
    const { store } = await start();
    const key = "entries/ä b/..?x=1";
    assert.equal(await store.get(key), undefined);
    const version = await store.put(key, { x: 1 }, 0);
    assert.deepEqual(await store.get(key), { key, version, value: { x: 1 } });
    assert.deepEqual(await store.list("entries/"), [{ key, version, value: { x: 1 } }]);
    await assert.rejects(store.put(key, 2, 0), { name: "StoreConflictError", currentVersion: version });
    await assert.rejects(store.delete(key, version + 1), StoreConflictError);
    await assert.rejects(store.put("big", "x".repeat(1 << 20), 0), StoreRejectedError);
    await store.delete(key, version);
    assert.deepEqual(await store.list(""), []);
});

test("a waiting watch gets the next change, and its cancellation frees it", async () => {
    const { api, store } = await start();
    const watch = store.watch("a/", 0, 10_000);
    await watching(api);
    await store.put("b/1", 1, 0);
    const version = await store.put("a/1", 1, 0);
    const change = { key: "a/1", version, value: 1, deleted: false };
    assert.deepEqual(await watch, { changes: [change], version, expired: false });
    const controller = new AbortController();
    const cancelled = store.watch("a/", version, 10_000, controller.signal);
    await watching(api);
    controller.abort();
    await assert.rejects(cancelled, StoreUnavailableError);
    await until(() => api.counters().reads.waiting === 0);
});

test("down: reads fail, the effect of a write is unknown, waiting watches end", async () => {
    const { api, store } = await start();
    const watch = assert.rejects(store.watch("", 0, 10_000), StoreUnavailableError);
    await watching(api);
    await control(api, "/control/faults", { down: true });
    assert.equal(api.counters().resets, 1);
    await watch;
    await assert.rejects(store.get("a"), StoreUnavailableError);
    await assert.rejects(store.put("a", 1, 0), StoreOutcomeUnknownError);
    await control(api, "/control/faults", {});
    assert.equal(await store.get("a"), undefined);
});

test("a refused connection means that a write has no effect", async () => {
    const { api, store } = await start();
    await api.close();
    await assert.rejects(store.put("a", 1, 0), StoreUnavailableError);
    await assert.rejects(store.delete("a", 1), StoreUnavailableError);
});

test("lost write answers: the writes took effect, and a conflict is still answered", async () => {
    const { api, store } = await start();
    api.setFaults({ loseWriteAnswers: 2 });
    await assert.rejects(store.put("a", 1, 0), StoreOutcomeUnknownError);
    const object = await store.get("a");
    assert.equal(object?.value, 1);
    await assert.rejects(store.put("a", 2, 0), StoreConflictError);
    await assert.rejects(store.delete("a", object.version), StoreOutcomeUnknownError);
    assert.equal(await store.get("a"), undefined);
    await store.put("a", 3, 0);
});

test("slow: a write that timed out can take effect later", async () => {
    const { api, store, clock } = await start({}, 150);
    await api.store.put("a", 1, 0);
    api.setFaults({ slow: 60_000 });
    const answers = [
        assert.rejects(store.get("a"), StoreUnavailableError),
        assert.rejects(store.put("a", 2, 1), StoreOutcomeUnknownError),
    ];
    await Promise.all(answers);
    await control(api, "/control/counters");
    assert.equal(api.store.counters.writes, 1);
    api.setFaults({});
    await clock.advance(60_000);
    await until(() => api.store.counters.writes === 2);
    assert.equal((await api.store.get("a"))?.value, 2);
});

test("calls over the budget are refused without effect, and waiting watches use it up", async () => {
    const { api, store, clock } = await start({ writesPerSecond: 2, readsPerSecond: 3 });
    await store.put("a", 1, 0);
    await store.put("a", 2, 1);
    await assert.rejects(store.put("a", 3, 2), StoreUnavailableError);
    const watch = store.watch("b", 2, 10_000);
    await watching(api);
    assert.equal((await store.get("a"))?.value, 2);
    await store.list("");
    await assert.rejects(store.get("a"), StoreUnavailableError);
    await clock.advance(1000);
    await store.get("a");
    await store.listInstances();
    await assert.rejects(store.get("a"), StoreUnavailableError, "the watch counts in the next second too");
    await store.put("b", 1, 0);
    assert.equal((await watch).changes.length, 1);
    const { reads, writes } = api.counters();
    assert.deepEqual([reads.refused, writes.refused, reads.highestInOneSecond], [2, 1, 3]);
});

test("stale reads answer from an earlier state", async () => {
    const { api, store, clock } = await start();
    await store.put("a", 1, 0);
    api.setFaults({ staleReadsMs: 2000 });
    await store.put("a", 2, 1);
    await clock.advance(1000);
    await store.put("b", 1, 0);
    assert.deepEqual(await store.list(""), [{ key: "a", version: 1, value: 1 }]);
    await clock.advance(1000);
    assert.equal((await store.get("a"))?.value, 2);
    assert.equal(await store.get("b"), undefined);
    await clock.advance(1000);
    assert.equal((await store.get("b"))?.value, 1);
    api.setFaults({});
    await store.put("b", 2, 3);
    assert.equal((await store.get("b"))?.value, 2);
});

test("the list of instances can lag, and its own changes don't fail with the store", async () => {
    const { api, store, clock } = await start();
    const place = { address: "127.0.0.1:1", region: "north", zone: "north-a", service: "register" };
    const row = { id: "s1", role: InstanceRole.BackendServer, ...place, state: InstanceState.Live };
    await control(api, "/v1/instances/s1", row);
    assert.deepEqual(await store.listInstances(), [row]);
    api.setFaults({ instanceListLagMs: 5000, down: true });
    const leaving = { ...row, state: InstanceState.Leaving };
    await control(api, "/v1/instances/s1", leaving);
    api.setFaults({ instanceListLagMs: 5000 });
    assert.deepEqual(await store.listInstances(), [row]);
    await clock.advance(5000);
    assert.deepEqual(await store.listInstances(), [leaving]);
    await fetch(`http://${api.address}/v1/instances/s1`, { method: "DELETE" });
    await clock.advance(5000);
    assert.deepEqual(await store.listInstances(), []);
    assert.equal(await control(api, "/v1/instances/s1"), 404);
});

test("an unknown fault is refused", async () => {
    const { api } = await start();
    assert.equal(await control(api, "/control/faults", { dwon: true }), 400);
    const counters = (await control(api, "/control/counters")) as { resets: number };
    assert.equal(counters.resets, 0);
});
