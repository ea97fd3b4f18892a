import assert from "node:assert/strict";
import { test } from "node:test";
import { createBackendTable } from "@waxwingdale/balancing";
import {
    StoreUnavailableError,
    createElapsedClock,
    createManualClock,
    createRandom,
    createSilentLogger,
} from "@waxwingdale/core";
import type { ManualClock, MemberView } from "@waxwingdale/core";
import { MemoryObjectStore } from "@waxwingdale/store";
import { createStoreView } from "../src/store-view.js";
import { createStoreWatches } from "../src/store-watches.js";
import { createMember } from "./fixtures.js";

/** Bound in milliseconds from the acknowledgement of an evacuation to the last request to the zone. */
const evacuationMs = 5000;
/** Timeout of a store call in milliseconds, in addition to the wait of a watch. */
const callTimeoutMs = 1500;

/** Store whose pending watches can be stalled while new calls still work. */
class StalledWatchStore extends MemoryObjectStore {
    isStalled = false;

    override async watch(...args: Parameters<MemoryObjectStore["watch"]>) {
        const [, , waitMs] = args;
        const result = await super.watch(...args);
        if (this.isStalled) {
            await this.clock.sleep(waitMs + callTimeoutMs);
            throw new StoreUnavailableError("no response");
        }
        return result;
    }
}

interface ViewOptions<Store> {
    store: (clock: ManualClock) => Store;
    /** Returns the response of the peer at an address; there are no peers if it is not set. */
    answer?: (address: string) => unknown;
}

/** Starts the store view of instance "a", whose peers are "b" and "c". */
function startView<Store extends MemoryObjectStore>(options: ViewOptions<Store>) {
    const clock = createManualClock(1000);
    const store = options.store(clock);
    const logger = createSilentLogger();
    const controller = new AbortController();
    const members = ["a", "b", "c"].map(id => createMember(id, "n-a", "north"));
    const self = members[0]!;
    const memberView: MemberView = {
        self: () => self,
        members: () => (options.answer === undefined ? [self] : members),
        liveInRegion: () => [self],
        find: () => self,
        onChange: () => () => undefined,
    };
    const table = createBackendTable({
        clock,
        logger,
        regionOf: () => "north",
        coldRequestsPerSecond: () => 20,
        self: "a",
        recentColdSenders: () => [[]],
        rateLimits: { random: () => 0, countInstances: () => 1, recentCandidates: () => [[]] },
        onServerRemoved: () => undefined,
    });
    const view = createStoreView({
        store,
        watches: createStoreWatches({
            bounds: { configApplySeconds: 3, drainSeconds: 3, evacuateSeconds: evacuationMs / 1000 },
            clock: createElapsedClock({ clock, isEnabled: () => false }),
            logger,
        }),
        clock,
        random: createRandom(1),
        logger,
        signal: controller.signal,
        table,
        members: () => memberView,
        transport: {
            call: async <Result>(address: string) => {
                if (options.answer === undefined) {
                    throw new Error("no peer");
                }
                return options.answer(address) as Result;
            },
        },
        rpc: { addMethod: () => undefined },
    });
    const running = view.run();
    const stop = async () => {
        controller.abort();
        await clock.advance(10_000);
        await running;
    };
    return { clock, store, table, view, stop };
}

// Guards against observing an evacuation too late because the connection of the watch has stalled.
test("applies an evacuation in time if the watch stalls before it", async () => {
    const { clock, store, table, stop } = startView({ store: time => new StalledWatchStore(time) });
    await clock.advance(3000);
    store.isStalled = true;
    await clock.advance(10);
    await store.put("evacuations/n-b", {}, 0);
    await clock.advance(evacuationMs - 100);
    assert.deepEqual(table.evacuatedZones(), ["n-b"]);
    await stop();
});

function createPeerView(ageMs: number, servers: string[], evacuatedZones: string[]) {
    const records = servers.map(id => ({
        id,
        startedAt: 1,
        service: "files",
        address: "10.0.0.9:80",
        zone: "n-b",
        slots: 3,
        phase: "ready",
        coldRemainingMs: 0,
    }));
    return { servers: records, evacuatedZones, ageMs };
}

// Guards against an instance that starts while the store rejects its calls and never updates a peer's first view.
test("follows the views of peers while the store is unavailable and ignores older views", async () => {
    let views = { "b:2": createPeerView(0, ["s1", "s2"], []), "c:2": createPeerView(0, ["s1", "s2"], []) };
    const { clock, store, table, view, stop } = startView({
        store: time => {
            const away = new MemoryObjectStore(time);
            away.faults.down = true;
            return away;
        },
        answer: address => views[address as keyof typeof views],
    });
    await clock.advance(1500);
    assert.equal(view.notReadyReason(), undefined);
    views = { "b:2": createPeerView(20_000, ["s1", "s2"], []), "c:2": createPeerView(100, ["s1"], ["n-b"]) };
    for (let i = 0; i < 10; i++) {
        await clock.advance(evacuationMs - 100);
        assert.deepEqual(table.evacuatedZones(), ["n-b"]);
        assert.deepEqual(
            table.all().map(({ record }) => record.id),
            ["s1"],
        );
    }
    store.faults.down = false;
    await store.put("evacuations/n-a", {}, 0);
    await clock.advance(3000);
    assert.deepEqual(table.evacuatedZones(), ["n-a"]);
    assert.deepEqual(table.all(), []);
    await stop();
});

// Guards against an evacuation that an instance takes back when its first list is that of an older copy.
for (const [name, peerEra, keptMs] of [
    ["keeps what peers of an earlier era know for the grace time", 1, 2000],
    ["drops what peers of the same era know at once", 2, 0],
] as const) {
    test(`an instance that reads the store for the first time ${name}`, async () => {
        const views = { "b:2": { ...createPeerView(0, ["s1"], ["n-b"]), era: peerEra }, "c:2": {} };
        const { clock, store, table, stop } = startView({
            store: time => {
                const away = new MemoryObjectStore(time, { era: 2 });
                away.faults.down = true;
                return away;
            },
            answer: address => views[address as keyof typeof views],
        });
        await clock.advance(2000);
        assert.deepEqual(table.evacuatedZones(), ["n-b"]);
        store.faults.down = false;
        while (store.era() === undefined) {
            await clock.advance(10);
        }
        await clock.advance(Math.max(20, keptMs - 100));
        assert.deepEqual(table.evacuatedZones(), keptMs > 0 ? ["n-b"] : []);
        await clock.advance(1500);
        assert.deepEqual([table.evacuatedZones(), table.all()], [[], []]);
        await stop();
    });
}
