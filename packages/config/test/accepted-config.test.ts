import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { StoredObject, WatchResult } from "@waxwingdale/core";
import { manifestKey } from "@waxwingdale/manifest";
import { MemoryObjectStore } from "@waxwingdale/store";
import { accept, countRounds, createFleet, makeManifest } from "./fleet.js";
import type { Fleet } from "./fleet.js";

function addFleet(fleet: Fleet, count: number): void {
    for (let i = 0; i < count; i++) {
        fleet.add();
    }
}

test("an accepted manifest is in force within one watch", async () => {
    const fleet = createFleet();
    const store = new MemoryObjectStore(fleet.clock);
    const entry = fleet.add({ store });
    await fleet.clock.advance(1000);
    assert.equal(entry.config.current(), undefined);
    await accept(store, makeManifest(1));
    await fleet.clock.advance(0);
    assert.equal(entry.config.current()?.manifest.deployment, "g1");
    await accept(store, makeManifest(2));
    await fleet.clock.advance(100);
    assert.deepEqual(entry.applied, [1, 2]);
});

test("an outage right after the acceptance doesn't keep a manifest from the other entries", async () => {
    for (const [count, limit] of [
        [9, 7],
        [100, 10],
    ] as const) {
        for (let seed = 1; seed <= 5; seed++) {
            const fleet = createFleet(seed);
            const store = new MemoryObjectStore(fleet.clock);
            fleet.add({ store });
            await accept(store, makeManifest(3));
            await fleet.clock.advance(1000);
            store.faults.down = true;
            addFleet(fleet, count - 1);
            await countRounds(fleet, 3, limit);
        }
    }
});

test("an instance that is replaced while the store is down learns from its peers", async () => {
    const fleet = createFleet();
    const store = new MemoryObjectStore(fleet.clock);
    await accept(store, makeManifest(4));
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

test("a fleet cut in two agrees on the greatest generation after the cut", async () => {
    const fleet = createFleet();
    const store = new MemoryObjectStore(fleet.clock);
    const replica = new MemoryObjectStore(fleet.clock);
    for (let i = 0; i < 9; i++) {
        fleet.add({ store: i < 4 ? store : replica });
    }
    await accept(store, makeManifest(5));
    await accept(replica, makeManifest(5));
    await fleet.clock.advance(10_000);
    const side = (address: string) => fleet.entries.findIndex(entry => entry.address === address) < 4;
    fleet.reaches = (from, to) => side(from) === side(to);
    replica.faults.down = true;
    await accept(store, makeManifest(6));
    await accept(store, makeManifest(7));
    for (let i = 0; i < 20; i++) {
        await fleet.gossip();
    }
    assert.deepEqual(fleet.generations(), [7, 7, 7, 7, 5, 5, 5, 5, 5]);
    store.faults.down = true;
    fleet.reaches = () => true;
    await countRounds(fleet, 7, 8);
});

test("a release without a format keeps the manifest in force, reports the newer one and passes it on", async () => {
    const fleet = createFleet();
    const store = new MemoryObjectStore(fleet.clock);
    const old = fleet.add({ store });
    await accept(store, makeManifest(1));
    await fleet.clock.advance(1000);
    await accept(store, makeManifest(2, 2));
    await fleet.clock.advance(1000);
    assert.equal(old.config.current()?.manifest.deployment, "g1");
    assert.deepEqual(old.applied, [1]);
    assert.equal(old.config.status().unsupported?.generation, 2);
    store.faults.down = true;
    const upgraded = fleet.add({ formats: [1, 2] });
    await countRounds({ ...fleet, generations: () => [upgraded.config.status().generation] }, 2, 2);
    store.faults.down = false;
    await accept(store, makeManifest(3));
    await fleet.clock.advance(5000);
    assert.equal(old.config.status().unsupported, undefined);
    assert.deepEqual(old.applied, [1, 3]);
});

test("a stored manifest that is not valid keeps the one in force and is reported", async () => {
    const fleet = createFleet();
    const store = new MemoryObjectStore(fleet.clock);
    const entry = fleet.add({ store });
    await accept(store, makeManifest(1));
    await fleet.clock.advance(1000);
    await accept(store, { ...makeManifest(2), manifest: {} as never });
    await fleet.clock.advance(1000);
    assert.deepEqual(entry.config.status().unsupported, { generation: 2, reason: "deployment is missing" });
    await accept(store, "no manifest" as never);
    await fleet.clock.advance(1000);
    assert.equal(entry.config.current()?.generation, 1);
    assert.equal(entry.config.status().unsupported?.generation, 2);
});

test("garbage from a peer is ignored, logged and asked for less and less often", async () => {
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

/** A store whose answers come from any state, in any order. */
class ErraticStore extends MemoryObjectStore {
    answers: number[] = [];
    private lastVersion = 1;

    private next(): StoredObject[] {
        const answer = this.answers.shift();
        const generation = (answer ?? 0) % 10;
        // A lagging replica has lower versions; a store that lost its state may have higher ones with old values.
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

test("generations in force only grow, whatever the store and the peers answer", async () => {
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
