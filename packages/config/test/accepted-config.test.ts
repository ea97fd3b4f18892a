import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { StoredObject, WatchResult } from "@waxwingdale/core";
import { manifestKey } from "@waxwingdale/manifest";
import { MemoryObjectStore } from "@waxwingdale/store";
import { createFleet, gossipUntil, makeManifest, writeManifest } from "./fleet.js";
import type { Fleet } from "./fleet.js";

function addEntries(fleet: Fleet, count: number): void {
    for (let i = 0; i < count; i++) {
        fleet.add();
    }
}

test("an accepted manifest becomes active within one watch", async () => {
    const fleet = createFleet();
    const store = new MemoryObjectStore(fleet.clock);
    const entry = fleet.add({ store });
    await fleet.clock.advance(1000);
    assert.equal(entry.config.current(), undefined);
    await writeManifest(store, makeManifest(1));
    await fleet.clock.advance(0);
    assert.equal(entry.config.current()?.manifest.deployment, "g1");
    await writeManifest(store, makeManifest(2));
    await fleet.clock.advance(100);
    assert.deepEqual(entry.applied, [1, 2]);
});

test("a manifest reaches all entries despite a store outage right after its acceptance", async () => {
    for (const [count, limit] of [
        [9, 7],
        [100, 10],
    ] as const) {
        for (let seed = 1; seed <= 5; seed++) {
            const fleet = createFleet(seed);
            const store = new MemoryObjectStore(fleet.clock);
            fleet.add({ store });
            await writeManifest(store, makeManifest(3));
            await fleet.clock.advance(1000);
            store.faults.down = true;
            addEntries(fleet, count - 1);
            await gossipUntil(fleet, 3, limit);
        }
    }
});

test("a replacement entry gets the manifest from its peers while the store is down", async () => {
    const fleet = createFleet();
    const store = new MemoryObjectStore(fleet.clock);
    await writeManifest(store, makeManifest(4));
    const old = fleet.add({ store });
    fleet.add({ store });
    await fleet.clock.advance(1000);
    store.faults.down = true;
    old.stop();
    fleet.entries.shift();
    const fresh = fleet.add({ store });
    await fleet.clock.advance(60_000);
    assert.equal(fresh.config.current(), undefined);
    await fleet.gossip();
    assert.equal(fresh.config.current()?.generation, 4);
});

test("a partitioned fleet converges on the highest generation after the partition heals", async () => {
    const fleet = createFleet();
    const store = new MemoryObjectStore(fleet.clock);
    const replica = new MemoryObjectStore(fleet.clock);
    for (let i = 0; i < 9; i++) {
        fleet.add({ store: i < 4 ? store : replica });
    }
    await writeManifest(store, makeManifest(5));
    await writeManifest(replica, makeManifest(5));
    await fleet.clock.advance(10_000);
    const side = (address: string) => fleet.entries.findIndex(entry => entry.address === address) < 4;
    fleet.canReach = (from, to) => side(from) === side(to);
    replica.faults.down = true;
    await writeManifest(store, makeManifest(6));
    await writeManifest(store, makeManifest(7));
    for (let i = 0; i < 20; i++) {
        await fleet.gossip();
    }
    assert.deepEqual(fleet.generations(), [7, 7, 7, 7, 5, 5, 5, 5, 5]);
    store.faults.down = true;
    fleet.canReach = () => true;
    await gossipUntil(fleet, 7, 8);
});

test("a manifest of an unsupported format is reported and served to peers, and the active one stays", async () => {
    const fleet = createFleet();
    const store = new MemoryObjectStore(fleet.clock);
    const old = fleet.add({ store });
    await writeManifest(store, makeManifest(1));
    await fleet.clock.advance(1000);
    await writeManifest(store, makeManifest(2, 2));
    await fleet.clock.advance(1000);
    assert.equal(old.config.current()?.manifest.deployment, "g1");
    assert.deepEqual(old.applied, [1]);
    assert.equal(old.config.status().unsupported?.generation, 2);
    store.faults.down = true;
    const upgraded = fleet.add({ formats: [1, 2] });
    await gossipUntil({ ...fleet, generations: () => [upgraded.config.status().generation] }, 2, 2);
    store.faults.down = false;
    await writeManifest(store, makeManifest(3));
    await fleet.clock.advance(5000);
    assert.equal(old.config.status().unsupported, undefined);
    assert.deepEqual(old.applied, [1, 3]);
});

test("an invalid manifest in the store is reported and does not replace the active one", async () => {
    const fleet = createFleet();
    const store = new MemoryObjectStore(fleet.clock);
    const entry = fleet.add({ store });
    await writeManifest(store, makeManifest(1));
    await fleet.clock.advance(1000);
    await writeManifest(store, { ...makeManifest(2), manifest: {} as never });
    await fleet.clock.advance(1000);
    assert.deepEqual(entry.config.status().unsupported, { generation: 2, reason: "deployment is missing" });
    await writeManifest(store, "no manifest" as never);
    await fleet.clock.advance(1000);
    assert.equal(entry.config.current()?.generation, 1);
    assert.equal(entry.config.status().unsupported?.generation, 2);
});

test("invalid responses of a peer are ignored, logged and requested less and less often", async () => {
    for (const answer of [{ value: "x" }, {}, { value: makeManifest(1) }, { value: { generation: 9 } }]) {
        const fleet = createFleet();
        const entry = fleet.add();
        const bad = fleet.add();
        let calls = 0;
        bad.methods.set("config.fetch", () => (calls++, answer));
        bad.exchange.getDigest = () => ({ [manifestKey]: [9], other: "x" as never });
        for (let i = 0; i < 240; i++) {
            await fleet.gossip();
        }
        assert.ok(entry.config.status().generation <= 1);
        assert.ok(calls >= 3 && calls <= 20, `${calls} calls in two minutes`);
        assert.ok(entry.log.some(line => line.includes("document-fetch-failed")));
        assert.ok(entry.log.some(line => line.includes("document-digest-invalid")));
    }
});

test("a value that no entry can use is not fetched from every peer in turn", async () => {
    const fleet = createFleet();
    const entry = fleet.add();
    let calls = 0;
    for (let i = 0; i < 50; i++) {
        const peer = fleet.add();
        peer.methods.set("config.fetch", () => (calls++, { value: { ...makeManifest(9), manifest: {} } }));
        entry.exchange.handlePeerDigest(peer.address, { [manifestKey]: [9] });
    }
    await fleet.clock.advance(10_000);
    assert.ok(calls >= 3 && calls <= 10, `${calls} calls`);
});

/** A store whose responses come from arbitrary states, in arbitrary order. */
class ErraticStore extends MemoryObjectStore {
    answers: number[] = [];
    private lastVersion = 1;

    private next(): StoredObject[] {
        const answer = this.answers.shift();
        const generation = (answer ?? 0) % 10;
        // A lagging replica has lower versions; a store that lost its state may return old values with higher versions.
        const version = (answer ?? 0) % 3 === 0 ? generation : ++this.lastVersion;
        return generation === 0 ? [] : [{ key: manifestKey, version, value: makeManifest(generation) }];
    }

    override async list(): Promise<StoredObject[]> {
        return this.next();
    }

    override async watch(
        ...[, since, waitMs, signal]: Parameters<MemoryObjectStore["watch"]>
    ): Promise<WatchResult> {
        await this.clock.sleep(this.answers.length > 0 ? 1 : waitMs, signal);
        const changes = this.next().map(object => ({ ...object, deleted: false }));
        return { changes, version: since, expired: changes.length === 0 };
    }
}

test("active generations only increase, regardless of the responses of the store and the peers", async () => {
    const run = async (answers: number[], peers: number[]) => {
        const fleet = createFleet();
        const store = new ErraticStore(fleet.clock);
        store.answers = answers;
        const entry = fleet.add({ store });
        const peer = fleet.add();
        for (const generation of peers) {
            peer.methods.set("config.fetch", () => ({ value: makeManifest(generation % 12) }));
            entry.exchange.handlePeerDigest(peer.address, { [manifestKey]: [(generation % 5) + 6] });
            await fleet.clock.advance(700);
        }
        await fleet.clock.advance(20_000);
        entry.stop();
        const sorted = [...new Set(entry.applied)].sort((a, b) => a - b);
        assert.deepEqual(entry.applied, sorted);
        assert.equal(entry.config.status().generation, entry.applied.at(-1) ?? 0);
    };
    const numbers = fc.array(fc.nat({ max: 100 }), { maxLength: 12 });
    await fc.assert(fc.asyncProperty(numbers, numbers, run), { numRuns: 100, seed: 5 });
});
