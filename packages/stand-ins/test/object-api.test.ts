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

/** Starts a server with a manual clock and a client whose timeouts use the system clock. */
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

async function callApi(api: ObjectApi, path: string, body?: unknown): Promise<unknown> {
    const init = body === undefined ? {} : { method: "PUT", body: JSON.stringify(body) };
    const res = await fetch(`http://${api.address}${path}`, init);
    return res.ok ? res.json() : res.status;
}

async function waitUntil(condition: () => boolean): Promise<void> {
    const end = Date.now() + 2000;
    while (!condition()) {
        assert.ok(Date.now() < end, "the condition is not met in time");
        await new Promise(resolve => setTimeout(resolve, 2));
    }
}

const waitForWatch = (api: ObjectApi) => waitUntil(() => api.counters().reads.waiting > 0);

test("objects are written with version checks and read back", async () => {
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

test("a waiting watch receives the next change and can be canceled", async () => {
    const { api, store } = await start();
    const watch = store.watch("a/", 0, 10_000);
    await waitForWatch(api);
    await store.put("b/1", 1, 0);
    const version = await store.put("a/1", 1, 0);
    const change = { key: "a/1", version, value: 1, deleted: false };
    assert.deepEqual(await watch, { changes: [change], version, expired: false });
    const controller = new AbortController();
    const canceled = store.watch("a/", version, 10_000, controller.signal);
    await waitForWatch(api);
    controller.abort();
    await assert.rejects(canceled, StoreUnavailableError);
    await waitUntil(() => api.counters().reads.waiting === 0);
});

test("down: reads fail, the outcome of writes is unknown, and waiting watches are reset", async () => {
    const { api, store } = await start();
    const watch = assert.rejects(store.watch("", 0, 10_000), StoreUnavailableError);
    await waitForWatch(api);
    await callApi(api, "/control/faults", { down: true });
    assert.equal(api.counters().resets, 1);
    await watch;
    await assert.rejects(store.get("a"), StoreUnavailableError);
    await assert.rejects(store.put("a", 1, 0), StoreOutcomeUnknownError);
    await callApi(api, "/control/faults", {});
    assert.equal(await store.get("a"), undefined);
});

test("a refused connection is reported as a write without effect", async () => {
    const { api, store } = await start();
    await api.close();
    await assert.rejects(store.put("a", 1, 0), StoreUnavailableError);
    await assert.rejects(store.delete("a", 1), StoreUnavailableError);
});

test("lost write responses: the writes took effect, and conflicts are still reported", async () => {
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

test("slow: a write can take effect after the client timed out", async () => {
    const { api, store, clock } = await start({}, 150);
    await api.store.put("a", 1, 0);
    api.setFaults({ slow: 60_000 });
    const rejections = [
        assert.rejects(store.get("a"), StoreUnavailableError),
        assert.rejects(store.put("a", 2, 1), StoreOutcomeUnknownError),
    ];
    await Promise.all(rejections);
    await callApi(api, "/control/counters");
    assert.equal(api.store.counters.writes, 1);
    api.setFaults({});
    await clock.advance(60_000);
    await waitUntil(() => api.store.counters.writes === 2);
    assert.equal((await api.store.get("a"))?.value, 2);
});

test("calls over the rate limit are rejected without effect, and waiting watches count toward the limit", async () => {
    const { api, store, clock } = await start({ writesPerSecond: 2, readsPerSecond: 3 });
    await store.put("a", 1, 0);
    await store.put("a", 2, 1);
    await assert.rejects(store.put("a", 3, 2), StoreUnavailableError);
    const watch = store.watch("b", 2, 10_000);
    await waitForWatch(api);
    assert.equal((await store.get("a"))?.value, 2);
    await store.list("");
    await assert.rejects(store.get("a"), StoreUnavailableError);
    await clock.advance(1000);
    await store.get("a");
    await store.listInstances();
    await assert.rejects(store.get("a"), StoreUnavailableError, "the watch also counts in the next second");
    await store.put("b", 1, 0);
    assert.equal((await watch).changes.length, 1);
    const { reads, writes } = api.counters();
    assert.deepEqual([reads.refused, writes.refused, reads.highestInOneSecond], [2, 1, 3]);
});

test("stale reads return an earlier state", async () => {
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

test("the instance list can lag, and its records can be changed while the store is down", async () => {
    const { api, store, clock } = await start();
    const location = { address: "127.0.0.1:1", region: "north", zone: "north-a", service: "register" };
    const instance = { id: "s1", role: InstanceRole.BackendServer, ...location, state: InstanceState.Live };
    await callApi(api, "/v1/instances/s1", instance);
    assert.deepEqual(await store.listInstances(), [instance]);
    api.setFaults({ instanceListLagMs: 5000, down: true });
    const leaving = { ...instance, state: InstanceState.Leaving };
    await callApi(api, "/v1/instances/s1", leaving);
    api.setFaults({ instanceListLagMs: 5000 });
    assert.deepEqual(await store.listInstances(), [instance]);
    await clock.advance(5000);
    assert.deepEqual(await store.listInstances(), [leaving]);
    await fetch(`http://${api.address}/v1/instances/s1`, { method: "DELETE" });
    await clock.advance(5000);
    assert.deepEqual(await store.listInstances(), []);
    assert.equal(await callApi(api, "/v1/instances/s1"), 404);
});

test("an unknown fault is rejected", async () => {
    const { api } = await start();
    assert.equal(await callApi(api, "/control/faults", { dwon: true }), 400);
    const counters = (await callApi(api, "/control/counters")) as { resets: number };
    assert.equal(counters.resets, 0);
});
