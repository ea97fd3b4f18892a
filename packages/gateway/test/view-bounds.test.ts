/** What a composed instance knows of the store within the bounds of the deployment, while connections to the store are silent. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock, createRandom, createSilentLogger, resolveToken } from "@waxwingdale/core";
import type { ManualClock } from "@waxwingdale/core";
import { PlatformProtocol } from "@waxwingdale/platform";
import { composeGateway } from "../src/compose-gateway.js";
import { tokens } from "../src/gateway-tokens.js";
import { createMember, declaredBounds } from "./fixtures.js";
import { StalledStore } from "./stalled-store.js";

/** Bounds of a deployment in seconds. */
const bounds = { configApplySeconds: 3, drainSeconds: 3, evacuateSeconds: 5 };
/** Time in milliseconds before a bound that is left for the requests which are on their way. */
const marginMs = 100;

interface Instance {
    clock: ManualClock;
    store: StalledStore;
    configVersion(): number | undefined;
    servers(): string[];
    evacuatedZones(): readonly string[];
    stop(): Promise<void>;
}

/** Starts an instance that has read the store: a configuration, a server and no evacuation. */
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
 * Silences the waiting watches at each moment of their wait, and `silentCalls` calls after them, and checks that what `change`
 * writes then is known within the bound.
 */
async function checkBound(
    silentCalls: number,
    boundSeconds: number,
    change: (instance: Instance) => Promise<unknown>,
    isKnown: (instance: Instance) => boolean,
): Promise<void> {
    for (let silentAfterMs = 0; silentAfterMs < 3000; silentAfterMs += 250) {
        const instance = await startInstance();
        const { clock, store } = instance;
        await clock.advance(2000 + silentAfterMs);
        store.areWatchesStalled = true;
        store.stalledCalls = silentCalls;
        await clock.advance(10);
        await change(instance);
        await clock.advance(boundSeconds * 1000 - marginMs);
        assert.ok(isKnown(instance), `not known in time when silent from ${silentAfterMs} ms on`);
        await instance.stop();
    }
}

const evacuate = ({ store }: Instance) => store.put("evacuations/n-b", {}, 0);
const isEvacuated = (instance: Instance) => instance.evacuatedZones().includes("n-b");

const withdrawServer = async ({ store }: Instance) => {
    const { version } = (await store.get("servers/s1"))!;
    await store.put("servers/s1", createServer("draining"), version);
};

const changeConfig = async ({ store }: Instance) => {
    const { version } = (await store.get("config/main"))!;
    await store.put("config/main", createConfig(2), version);
};

// Guards against requests to an evacuated zone, since a watch went silent and so did the calls that were to replace it.
for (const silentCalls of [0, 1, 2]) {
    test(`an evacuation is known in time behind a silent watch and ${silentCalls} silent calls`, () =>
        checkBound(silentCalls, bounds.evacuateSeconds, evacuate, isEvacuated));
}

// Guards against requests to a server that leaves, in the same case.
for (const silentCalls of [0, 1]) {
    test(`a server that leaves is known in time behind a silent watch and ${silentCalls} silent calls`, () =>
        checkBound(
            silentCalls,
            bounds.drainSeconds,
            withdrawServer,
            instance => instance.servers().length === 0,
        ));
}

// Guards against an old configuration in force, in the same case.
for (const silentCalls of [0, 1]) {
    test(`a configuration is known in time behind a silent watch and ${silentCalls} silent calls`, () =>
        checkBound(
            silentCalls,
            bounds.configApplySeconds,
            changeConfig,
            instance => instance.configVersion() === 2,
        ));
}

// Guards against a view that is refreshed by more calls the longer a store is away, each of which is charged for.
test("a store that is away gets few further calls", async () => {
    const instance = await startInstance();
    const { clock, store } = instance;
    await clock.advance(2000);
    store.areWatchesStalled = true;
    store.stalledCalls = Infinity;
    const before = store.counters.reads;
    await clock.advance(20_000);
    const calls = store.counters.reads - before;
    assert.ok(calls <= 3 * (3 + 20), `${calls} calls of three watches in 20 s`);
    await instance.stop();
});
