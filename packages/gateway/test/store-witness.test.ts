/** Instances that find each other, and learn who misses them, through the store. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    StoreUnavailableError,
    createManualClock,
    createRandom,
    createSilentLogger,
} from "@waxwingdale/core";
import { MemoryObjectStore } from "@waxwingdale/store";
import { createStoreWitness } from "../src/store-witness.js";
import { createMember } from "./fixtures.js";

/** A store that counts calls, and that may not respond. */
class CountingStore extends MemoryObjectStore {
    calls = 0;
    isAway = false;

    override async put(...args: Parameters<MemoryObjectStore["put"]>) {
        this.countCall();
        return super.put(...args);
    }

    override async listWithVersion(...args: Parameters<MemoryObjectStore["listWithVersion"]>) {
        this.countCall();
        return super.listWithVersion(...args);
    }

    private countCall() {
        this.calls += 1;
        if (this.isAway) {
            throw new StoreUnavailableError("the store does not respond");
        }
    }
}

function createFleet() {
    const clock = createManualClock(1000);
    const store = new CountingStore(clock, { era: 1 });
    const stopping = new AbortController();
    const start = (id: string, isRunning = true) => {
        const self = createMember(id, "n-a", "north");
        const witness = createStoreWitness({
            self,
            store,
            clock,
            random: createRandom(1),
            logger: createSilentLogger(),
        });
        if (isRunning) {
            void witness.run(stopping.signal);
        }
        return { self, witness };
    };
    return { clock, store, start, stop: () => stopping.abort() };
}

// Guards against an instance that is cut off and takes its peers for gone, and against one that waits for lost peers.
test("an instance learns that it is missed, until it has been in contact again", async () => {
    const { clock, start, stop } = createFleet();
    const a = start("a");
    const b = start("b");
    const { incarnation } = a.self;
    assert.equal(await a.witness.isMissed(incarnation), false);
    b.witness.reportMissing([a.self]);
    await clock.advance(1500);
    assert.equal(await a.witness.isMissed(incarnation), true);
    assert.equal(await b.witness.isMissed(b.self.incarnation), false);
    // It has refuted the suspicion since, under the next incarnation.
    assert.equal(await a.witness.isMissed(incarnation + 1), false);
    b.witness.withdrawReports();
    await clock.advance(2500);
    assert.equal(await a.witness.isMissed(incarnation), false);
    stop();
});

test("a report that the store does not take is written once it responds again, also in a new era", async () => {
    const { clock, store, start, stop } = createFleet();
    const a = start("a");
    const b = start("b");
    await clock.advance(10_000);
    store.isAway = true;
    b.witness.reportMissing([a.self]);
    await clock.advance(3000);
    await assert.rejects(a.witness.isMissed(0), StoreUnavailableError);
    store.isAway = false;
    store.restore(store.copy());
    await clock.advance(6000);
    assert.equal(await a.witness.isMissed(a.self.incarnation), true);
    stop();
});

// Guards against calls to the store that grow with failed calls to peers.
test("reports that repeat others are not written, and others at most once a second", async () => {
    const { clock, store, start, stop } = createFleet();
    const { witness } = start("a");
    await clock.advance(10_000);
    store.calls = 0;
    for (let round = 0; round < 100; round++) {
        witness.reportMissing([createMember("b", "n-a", "north")]);
        await clock.advance(100);
    }
    assert.equal(store.calls, 1);
    for (let round = 0; round < 100; round++) {
        witness.reportMissing([createMember(`c${round}`, "n-a", "north")]);
        await clock.advance(100);
    }
    assert.ok(store.calls <= 12, `${store.calls} calls`);
    stop();
});

// Guards against instances that start at the same time, with no seed left, and each take the whole limit of a cold server.
test("of two instances that look for peers at the same time, at least one finds the other", async () => {
    const { start } = createFleet();
    const a = start("a", false);
    const b = start("b", false);
    const [foundByA, foundByB] = await Promise.all([a.witness.findPeers(), b.witness.findPeers()]);
    assert.ok(foundByA.includes(b.self.peerAddress) || foundByB.includes(a.self.peerAddress));
    // A process that starts again replaces the object of the last one.
    const c = start("c", false);
    await start("a", false).witness.findPeers();
    assert.deepEqual((await c.witness.findPeers()).sort(), [a.self.peerAddress, b.self.peerAddress].sort());
});

test("an object of another writer is ignored", async () => {
    const { store, start } = createFleet();
    await store.put("instances/x", { missing: "a" }, 0);
    const { witness } = start("a", false);
    assert.deepEqual(await witness.findPeers(), []);
    assert.equal(await witness.isMissed(0), false);
});
