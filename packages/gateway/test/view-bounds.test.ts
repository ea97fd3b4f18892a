/** Checks that an instance applies changes within the declared bounds while its store connections are stalled. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { StalledStore } from "./stalled-store.js";
import { bounds, createConfig, createServer, startInstance } from "./view-instance.js";
import type { Instance as ViewInstance } from "./view-instance.js";

/** Time in milliseconds before a bound that is reserved for requests in flight. */
const marginMs = 100;

type Instance = ViewInstance<StalledStore>;

/**
 * Stalls the pending watches at various points of their wait, as well as the next `stalledCalls` calls, and checks that
 * a change made afterwards is applied within the bound.
 */
async function checkBound(
    stalledCalls: number,
    boundSeconds: number,
    change: (instance: Instance) => Promise<unknown>,
    isApplied: (instance: Instance) => boolean,
): Promise<void> {
    for (let stalledAfterMs = 0; stalledAfterMs < 3000; stalledAfterMs += 250) {
        const instance = await startInstance(time => new StalledStore(time));
        const { clock, store } = instance;
        await clock.advance(2000 + stalledAfterMs);
        store.areWatchesStalled = true;
        store.stalledCalls = stalledCalls;
        await clock.advance(10);
        await change(instance);
        await clock.advance(boundSeconds * 1000 - marginMs);
        assert.ok(isApplied(instance), `not applied in time when stalled after ${stalledAfterMs} ms`);
        await instance.stop();
    }
}

const evacuate = ({ store }: Instance) => store.put("evacuations/n-b", {}, 0);
const isEvacuated = (instance: Instance) => instance.evacuatedZones().includes("n-b");

const drainServer = async ({ store }: Instance) => {
    const { version } = (await store.get("servers/s1"))!;
    await store.put("servers/s1", createServer("draining"), version);
};

const changeConfig = async ({ store }: Instance) => {
    const { version } = (await store.get("config/main"))!;
    await store.put("config/main", createConfig(2), version);
};

// Guards against requests to an evacuated zone after a watch and the calls meant to replace it have stalled.
for (const stalledCalls of [0, 1, 2]) {
    test(`applies an evacuation in time despite a stalled watch and ${stalledCalls} stalled calls`, () =>
        checkBound(stalledCalls, bounds.evacuateSeconds, evacuate, isEvacuated));
}

// Guards against requests to a draining server in the same case.
for (const stalledCalls of [0, 1]) {
    test(`applies the drain of a server in time despite a stalled watch and ${stalledCalls} stalled calls`, () =>
        checkBound(
            stalledCalls,
            bounds.drainSeconds,
            drainServer,
            instance => instance.servers().length === 0,
        ));
}

// Guards against keeping an outdated configuration active in the same case.
for (const stalledCalls of [0, 1]) {
    test(`applies a configuration in time despite a stalled watch and ${stalledCalls} stalled calls`, () =>
        checkBound(
            stalledCalls,
            bounds.configApplySeconds,
            changeConfig,
            instance => instance.configVersion() === 2,
        ));
}

// Guards against a refresh rate that grows with the length of a store outage, since each call is billed.
test("limits the number of calls to an unresponsive store", async () => {
    const instance = await startInstance(time => new StalledStore(time));
    const { clock, store } = instance;
    await clock.advance(2000);
    store.areWatchesStalled = true;
    store.stalledCalls = Infinity;
    const before = store.counters.reads;
    await clock.advance(20_000);
    const calls = store.counters.reads - before;
    assert.ok(calls <= 3 * (3 + 20), `${calls} calls from three watches in 20 s`);
    await instance.stop();
});
