/** Checks that an instance applies changes within the declared bounds while its store connections are stalled. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock, createRandom, createSilentLogger, resolveToken } from "@waxwingdale/core";
import type { ManualClock } from "@waxwingdale/core";
import { PlatformProtocol } from "@waxwingdale/platform";
import { composeGateway } from "../src/compose-gateway.js";
import { tokens } from "../src/gateway-tokens.js";
import { createMember, declaredBounds } from "./fixtures.js";
import { StalledStore } from "./stalled-store.js";

/** Declared bounds in seconds. */
const bounds = { configApplySeconds: 3, drainSeconds: 3, evacuateSeconds: 5 };
/** Time in milliseconds before a bound that is reserved for requests in flight. */
const marginMs = 100;

interface Instance {
    clock: ManualClock;
    store: StalledStore;
    configVersion(): number | undefined;
    servers(): string[];
    evacuatedZones(): readonly string[];
    stop(): Promise<void>;
}

/** Starts an instance and lets it read the store: a configuration, one server and no evacuation. */
async function startInstance(): Promise<Instance> {
    const clock = createManualClock(1000);
    const store = new StalledStore(clock);
    const controller = new AbortController();
    const self = createMember("a", "n-a", "north");
    const scope = composeGateway({
        settings: () => ({
            id: "a",
            region: "north",
            zone: "n-a",
            listen: { callers: "a:1", readiness: "a:3", peers: "a:2", directory: "a:4" },
            seeds: [],
            zones: { "n-a": "north", "n-b": "north" },
            store: "s:1",
            logLevel: "error" as never,
            bounds: { ...declaredBounds, ...bounds },
        }),
        self,
        clock,
        random: createRandom(1),
        logger: createSilentLogger(),
        store,
        protocol: new PlatformProtocol(),
        fleetKey: "k",
        signal: controller.signal,
    });
    await store.put("config/main", createConfig(1), 0);
    await store.put("servers/s1", createServer("ready"), 0);
    const config = resolveToken(scope, tokens.config);
    const table = resolveToken(scope, tokens.table);
    const running = [config.run(controller.signal), resolveToken(scope, tokens.storeView).run()];
    await clock.advance(1000);
    return {
        clock,
        store,
        configVersion: () => config.current()?.version,
        servers: () => table.usable("files").map(({ record }) => record.id),
        evacuatedZones: () => table.evacuatedZones(),
        stop: async () => {
            controller.abort();
            await clock.advance(20_000);
            await Promise.all(running);
        },
    };
}

function createConfig(version: number) {
    return { version: `r${version}`, routes: {}, services: { files: {} } };
}

function createServer(state: string) {
    return {
        address: "10.0.0.9:80",
        born: 1,
        info: { service: "files", zone: "n-a", slots: 3 },
        status: { state },
    };
}

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
        const instance = await startInstance();
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
    const instance = await startInstance();
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
