/** Guards against requests with a withdrawn key at instances that have not read its withdrawal. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    createElapsedClock,
    createLogger,
    createManualClock,
    createRandom,
    createSilentLogger,
    StoreUnavailableError,
} from "@waxwingdale/core";
import type { ManualClock, Member, ObjectStore, RpcHandler, WatchResult } from "@waxwingdale/core";
import { configKey } from "@waxwingdale/platform";
import { MemoryObjectStore, createRelayedStore, watchPrefix } from "@waxwingdale/store";
import { createStoreWatches } from "../src/store-watches.js";
import { createViewFreshness } from "../src/view-freshness.js";
import { createMember } from "./fixtures.js";

const bounds = { configApplySeconds: 4, drainSeconds: 3, evacuateSeconds: 5, revokeSeconds: 5 };
/** Time from the request to the response of a store call that does not wait, in milliseconds. */
const storeMs = 300;

interface Instance {
    mayServeKeys: () => boolean;
    /** Steps the time of day by this many milliseconds, as a suspension of the process does. */
    stepTime: (ms: number) => void;
    log: string[];
    stop: () => void;
}

function startInstance(manual: ManualClock, store: ObjectStore, hasWorkspaces = true): Instance {
    let stepMs = 0;
    const controller = new AbortController();
    const log: string[] = [];
    const logger = createLogger(manual, { write: line => log.push(line) });
    const clock = createElapsedClock({
        clock: { ...manual, wallTime: () => manual.now() + stepMs },
        isEnabled: () => true,
    });
    const watches = createStoreWatches({ bounds, clock, logger });
    void watchPrefix({
        ...watches.watch(configKey),
        store,
        prefix: configKey,
        clock,
        random: createRandom(1),
        logger,
        signal: controller.signal,
        onObject: () => undefined,
    });
    const { mayServeKeys } = createViewFreshness({
        clock,
        logger,
        revokeSeconds: () => bounds.revokeSeconds,
        hasWorkspaces: () => hasWorkspaces,
        asOf: () => watches.asOf(configKey),
    });
    return { mayServeKeys, stepTime: ms => (stepMs += ms), log, stop: () => controller.abort() };
}

/** Advances time, and returns for how much of it a request with a key was rejected, in milliseconds. */
async function countRejectedMs(clock: ManualClock, { mayServeKeys }: Instance, durationMs: number) {
    let rejectedMs = 0;
    for (let passedMs = 0; passedMs < durationMs; passedMs += 25) {
        await clock.advance(25);
        rejectedMs += mayServeKeys() ? 0 : 25;
    }
    return rejectedMs;
}

function createStore(clock: ManualClock) {
    const store = new MemoryObjectStore(clock);
    store.faults.delayMs = storeMs;
    return store;
}

async function setUp() {
    const clock = createManualClock(1000);
    const store = createStore(clock);
    const instance = startInstance(clock, store);
    assert.ok(!instance.mayServeKeys(), "nothing has been read yet");
    await clock.advance(1000);
    assert.ok(instance.mayServeKeys());
    return { clock, store, instance };
}

// Guards against a watch whose wait alone makes the view too old for keys.
test("the watch of the configuration waits for at most 0.4 of the bound for withdrawn keys", () => {
    const clock = createElapsedClock({ clock: createManualClock(), isEnabled: () => false });
    const cases = [
        { configApplySeconds: 2.5, revokeSeconds: undefined, waitMs: 1250 },
        { configApplySeconds: 2.5, revokeSeconds: 5, waitMs: 1250 },
        { configApplySeconds: 10, revokeSeconds: 5, waitMs: 2000 },
        { configApplySeconds: 10, revokeSeconds: undefined, waitMs: 5000 },
    ];
    for (const { waitMs, ...changed } of cases) {
        const watches = createStoreWatches({
            bounds: { ...bounds, ...changed },
            clock,
            logger: createSilentLogger(),
        });
        assert.equal(watches.timings(configKey).waitMs, waitMs);
    }
});

test("keys are served all the time while the store takes 300 ms for an answer", async () => {
    const { clock, instance } = await setUp();
    assert.equal(await countRejectedMs(clock, instance, 120_000), 0);
    instance.stop();
});

/** Path of one instance to the store. */
class StorePath extends MemoryObjectStore {
    constructor(
        clock: ManualClock,
        private readonly store: MemoryObjectStore,
        private readonly isRejecting: () => boolean,
    ) {
        super(clock);
    }

    override async listWithVersion(prefix: string) {
        this.check();
        return this.store.listWithVersion(prefix);
    }

    override async watch(...args: Parameters<MemoryObjectStore["watch"]>) {
        this.check();
        const result = await this.store.watch(...args);
        this.check();
        return result;
    }

    private check(): void {
        if (this.isRejecting()) {
            throw new StoreUnavailableError("rejected");
        }
    }
}

/** Creates a store client of each of `count` instances in a region, of which three read the store and others follow. */
function createRegion(clock: ManualClock, stores: readonly ObjectStore[]): ObjectStore[] {
    const members = stores.map((_, i) => createMember(`g-${i}`, "n-a", "north"));
    const handlers = new Map<string, RpcHandler>();
    return members.map((self: Member, index) =>
        createRelayedStore({
            store: stores[index]!,
            members: () => ({
                self: () => self,
                members: () => members,
                liveInRegion: () => members,
                find: id => members.find(member => member.id === id),
                onChange: () => () => undefined,
            }),
            transport: {
                call: async <Result>(address: string, _method: string, params: unknown) => {
                    await clock.sleep(1);
                    return (await handlers.get(address)!(params, self.id)) as Result;
                },
            },
            rpc: { addMethod: (_name, handler) => void handlers.set(self.peerAddress, handler) },
            readerWaitMs: () => 2000,
            maxAgeMs: () => 3000,
            clock,
            logger: createSilentLogger(),
        }),
    );
}

// Guards against keys that are rejected where peers know the configuration: at followers, and during a partial outage.
test("keys are served all the time in a region while the store rejects one instance after the other", async () => {
    const clock = createManualClock(1000);
    const store = createStore(clock);
    // Each is rejected for 9 s, and 3 s pass before the next.
    const isRejecting = (index: number) => {
        const sinceMs = clock.now() - 5000 - index * 12_000;
        return sinceMs >= 0 && sinceMs < 9000;
    };
    const paths = Array.from({ length: 6 }, (_, i) => new StorePath(clock, store, () => isRejecting(i)));
    const instances = createRegion(clock, paths).map(path => startInstance(clock, path));
    await clock.advance(1000);
    const rejectedMs = await Promise.all(
        instances
            .map(async ({ mayServeKeys }) => {
                let rejected = 0;
                for (let passedMs = 0; passedMs < 80_000; passedMs += 25) {
                    await clock.sleep(25);
                    rejected += mayServeKeys() ? 0 : 25;
                }
                return rejected;
            })
            .concat(clock.advance(80_100).then(() => 0)),
    );
    assert.deepEqual(new Set(rejectedMs), new Set([0]));
    const affected = instances.filter(({ log }) => log.some(line => line.includes("dependency-lost")));
    assert.ok(affected.length >= 3, "the readers, at least, have noticed");
    instances.forEach(({ stop }) => stop());
});

for (const [name, stepMs] of Object.entries({
    suspension: 8000,
    "short suspension": 300,
    "set-back clock": -8000,
})) {
    test(`keys are not served after a ${name} until a later call to the store has been answered`, async () => {
        const { clock, instance } = await setUp();
        await clock.advance(700);
        instance.stepTime(stepMs);
        assert.ok(!instance.mayServeKeys(), "the first request is rejected");
        const rejectedMs = await countRejectedMs(clock, instance, 4000);
        assert.ok(rejectedMs >= storeMs - 25 && rejectedMs <= 2.5 * storeMs, `rejected for ${rejectedMs} ms`);
        instance.stop();
    });
}

/** Answers watches without changes after their wait, and nothing else after the first list. */
class WatchOnlyStore extends MemoryObjectStore {
    isSilent = false;

    override async poll(): Promise<WatchResult> {
        return this.isSilent ? new Promise(() => undefined) : super.poll(configKey, 0);
    }

    override async list(prefix: string) {
        return this.isSilent ? new Promise<never>(() => undefined) : super.list(prefix);
    }
}

// Guards against the answer to a watch that was sent before a suspension: the store may have given it long ago.
test("the answer to a watch that was pending during a suspension does not make the view fresh", async () => {
    const clock = createManualClock(1000);
    const store = new WatchOnlyStore(clock);
    const instance = startInstance(clock, store);
    await clock.advance(100);
    store.isSilent = true;
    await clock.advance(500);
    instance.stepTime(8000);
    const before = instance.mayServeKeys();
    const rejectedMs = await countRejectedMs(clock, instance, 1900);
    assert.deepEqual([before, rejectedMs], [false, 1900]);
    instance.stop();
});

test("keys are served for at most the bound after the store was lost, and again once it is back", async () => {
    const { clock, store, instance } = await setUp();
    store.faults.down = true;
    const lostAt = clock.now();
    while (instance.mayServeKeys()) {
        await clock.advance(25);
    }
    const servedMs = clock.now() - lostAt;
    assert.ok(servedMs > 1500 && servedMs <= 4500, `served for ${servedMs} ms`);
    store.faults.down = false;
    await clock.advance(2000);
    assert.ok(instance.mayServeKeys());
    const lines = instance.log.filter(line => / event=keys-(not-)?served /.test(line));
    assert.deepEqual(
        lines.map(line => /event=(\S+)(?: reason=(\S+))?/.exec(line)!.slice(1)),
        [
            ["keys-not-served", "not-read"],
            ["keys-served", undefined],
            ["keys-not-served", "too-old"],
            ["keys-served", undefined],
        ],
    );
    instance.stop();
});

test("keys are always served where the configuration has no workspaces or the settings no bound", () => {
    const clock = createManualClock();
    const store = new MemoryObjectStore(clock);
    const instance = startInstance(clock, store, false);
    assert.ok(instance.mayServeKeys());
    instance.stop();
    const { mayServeKeys } = createViewFreshness({
        clock: createElapsedClock({ clock, isEnabled: () => false }),
        logger: createSilentLogger(),
        revokeSeconds: () => undefined,
        hasWorkspaces: () => true,
        asOf: () => undefined,
    });
    assert.ok(mayServeKeys());
});
