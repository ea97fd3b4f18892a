/** Watches, leases, fenced writes and relays while the store comes back from an older copy. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    MemberStatus,
    StoreConflictError,
    createEraTracker,
    createManualClock,
    createRandom,
    createSilentLogger,
    rankOwners,
} from "@waxwingdale/core";
import type { ManualClock, Member, RpcHandler } from "@waxwingdale/core";
import {
    LeaseLostError,
    MemoryObjectStore,
    createFencedWriter,
    createLease,
    createRelayedStore,
    watchPrefix,
} from "@waxwingdale/store";
import type { WatchPrefixOptions } from "@waxwingdale/store";
import { StoreClient } from "./store-client.js";

const graceMs = 2000;

// Guards against a delayed answer that is used, and against a first era after responses without one that goes unnoticed.
test("counts eras and rejects earlier ones", () => {
    const tracker = createEraTracker();
    const changes: string[] = [];
    tracker.onChange(({ from, to }) => changes.push(`${from}>${to}`));
    const accepted = [undefined, 1, undefined, 1, 3, 2, 3].map(era => tracker.observe(era));
    assert.deepEqual(accepted, [true, true, false, true, true, false, true]);
    assert.deepEqual(changes, ["undefined>1", "1>3"]);
});

function startWatch(
    clock: ManualClock,
    options: Partial<WatchPrefixOptions> & { store: WatchPrefixOptions["store"] },
) {
    const controller = new AbortController();
    const values = new Map<string, unknown>();
    const events: string[] = [];
    const done = watchPrefix({
        prefix: "a/",
        clock,
        random: createRandom(1),
        logger: createSilentLogger(),
        signal: controller.signal,
        waitMs: 1500,
        minIntervalMs: 200,
        removalGraceMs: graceMs,
        onObject: ({ key, value }) => {
            values.set(key, value);
            events.push(key);
        },
        onDeleted: key => {
            values.delete(key);
            events.push(`-${key}`);
        },
        ...options,
    });
    return { values, events, stop: () => (controller.abort(), done) };
}

const change = async (store: MemoryObjectStore, key: string, value: unknown) =>
    store.put(key, value, (await store.get(key))?.version ?? 0);

interface WatchCase {
    name: string;
    /** Writes after the copy was taken, which are lost. */
    lose?: (store: MemoryObjectStore) => Promise<unknown>;
    /** Writes of the new era, before the instance hears of it. */
    write?: (store: MemoryObjectStore) => Promise<unknown>;
    inGrace: Record<string, unknown>;
    afterGrace: Record<string, unknown>;
}

const watchCases: WatchCase[] = [
    {
        // The revisions of the new era end where those of the old one did, so the pending watch goes on as if nothing happened.
        name: "does not merge changes under versions that are reached again",
        lose: store => change(store, "a/1", "lost"),
        write: store => change(store, "a/2", "new"),
        inGrace: { "a/1": "first", "a/2": "new" },
        afterGrace: { "a/1": "first", "a/2": "new" },
    },
    {
        name: "keeps an entry that the copy lacks for the grace time only",
        lose: store => change(store, "a/2", "lost"),
        inGrace: { "a/1": "first", "a/2": "lost" },
        afterGrace: { "a/1": "first" },
    },
    {
        name: "applies changes under lower versions than those of the old era",
        lose: async store => {
            for (let index = 0; index < 9; index++) {
                await change(store, "a/1", index);
            }
        },
        write: store => change(store, "a/1", "new"),
        inGrace: { "a/1": "new" },
        afterGrace: { "a/1": "new" },
    },
    {
        name: "holds an entry back that was deleted before and that the copy has again",
        lose: async store => {
            await change(store, "a/2", 2);
            await change(store, "a/3", 3);
            await store.delete("a/1", 1);
        },
        write: async store => {
            await change(store, "a/2", 2);
            await change(store, "a/3", 3);
        },
        inGrace: { "a/2": 2, "a/3": 3 },
        afterGrace: { "a/1": "first", "a/2": 2, "a/3": 3 },
    },
];

for (const { name, lose, write, inGrace, afterGrace } of watchCases) {
    test(`a watch ${name}`, async () => {
        const clock = createManualClock();
        const store = new MemoryObjectStore(clock, { era: 1 });
        await store.put("a/1", "first", 0);
        // Enough others that a single missing entry is no large share.
        const others = { "a/4": 4, "a/5": 5, "a/6": 6 };
        for (const [key, value] of Object.entries(others)) {
            await store.put(key, value, 0);
        }
        const copy = store.copy();
        const watch = startWatch(clock, { store, holdsReappearing: true });
        await clock.advance(300);
        await lose?.(store);
        await clock.advance(300);
        store.restore(copy);
        await write?.(store);
        await clock.advance(1600);
        assert.deepEqual(Object.fromEntries(watch.values), { ...others, ...inGrace });
        await clock.advance(graceMs + 100);
        assert.deepEqual(Object.fromEntries(watch.values), { ...others, ...afterGrace });
        await watch.stop();
    });
}

// Guards against an entry that is taken back for a moment although its owner writes it again within the grace time.
test("a watch does not report an entry as deleted that is written again in time", async () => {
    const clock = createManualClock();
    const store = new MemoryObjectStore(clock, { era: 1 });
    const copy = store.copy();
    const watch = startWatch(clock, { store });
    await clock.advance(300);
    await change(store, "a/1", 1);
    await clock.advance(300);
    store.restore(copy);
    await clock.advance(3000);
    await change(store, "a/1", 1);
    await clock.advance(5000);
    assert.deepEqual(watch.events, ["a/1", "a/1"]);
    await watch.stop();
});

// Guards against a prefix that hears of the new era only with the end of its own long wait, or of a backoff.
test("a watch lists again as soon as a call of another prefix shows a new era", async () => {
    const clock = createManualClock();
    const server = new MemoryObjectStore(clock, { era: 1 });
    await server.put("a/1", "old", 0);
    const copy = server.copy();
    await change(server, "a/1", "lost");
    const store = new StoreClient(server);
    const watch = startWatch(clock, { store, waitMs: 60_000, minBackoffMs: 60_000, maxBackoffMs: 60_000 });
    await clock.advance(300);
    server.restore(copy);
    await store.get("b/1");
    await clock.advance(10);
    assert.equal(watch.values.get("a/1"), "old");
    store.isAway = true;
    server.restore(copy);
    await change(server, "a/1", "newer");
    await clock.advance(100);
    store.isAway = false;
    await store.get("b/1");
    await clock.advance(10);
    assert.equal(watch.values.get("a/1"), "newer");
    await watch.stop();
});

// Guards against two holders: the store has lost the record of the holder, and hands the lease to another process.
test("the holder of a lease of an old era stops, and no other takes it before it could have heard", async () => {
    const clock = createManualClock();
    const server = new MemoryObjectStore(clock, { era: 1 });
    const copy = server.copy();
    const ttlMs = 2000;
    const start = (holder: string) => {
        const store = new StoreClient(server);
        const options = {
            key: "lease/x",
            holder,
            clock,
            random: createRandom(1),
            logger: createSilentLogger(),
        };
        const lease = createLease({ ...options, store, ttlMs });
        void lease.run(new AbortController().signal);
        return { store, lease };
    };
    const first = start("a");
    await clock.advance(2 * ttlMs);
    assert.equal(first.lease.epoch(), 1);
    server.restore(copy);
    first.store.isAway = true;
    const second = start("b");
    for (let elapsedMs = 0; elapsedMs < 4 * ttlMs; elapsedMs += 50) {
        assert.ok(!(first.lease.isHeld() && second.lease.isHeld()), `two holders after ${elapsedMs} ms`);
        await clock.advance(50);
    }
    assert.ok(second.lease.isHeld());
    first.store.isAway = false;
    const third = start("c");
    await clock.advance(ttlMs);
    server.restore(copy);
    await second.store.get("lease/x");
    assert.equal(second.lease.isHeld(), false);
    await clock.advance(3 * ttlMs);
    const holders = [first, second, third].filter(({ lease }) => lease.isHeld());
    assert.equal(holders.length, 1);
    assert.ok(holders[0]!.lease.epoch()! >= 2);
});

// Guards against a fenced write under a version of the old era.
test("a fenced writer of an old era writes nothing until it holds the lease of the new one", async () => {
    const clock = createManualClock();
    const store = new MemoryObjectStore(clock, { era: 1 });
    await store.put("plan/x", { epoch: 0, step: 0 }, 0);
    const copy = store.copy();
    let epoch: number | undefined = 1;
    const lease = { isHeld: () => epoch !== undefined, epoch: () => epoch, run: async () => undefined };
    const writer = createFencedWriter({
        store,
        key: "plan/x",
        lease,
        getOrder: value => value as { epoch: number; step: number },
    });
    await writer.write(order => order);
    store.restore(copy);
    await change(store, "plan/x", { epoch: 0, step: 9 });
    await assert.rejects(store.put("plan/x", 1, 2, undefined, 1), StoreConflictError);
    epoch = undefined;
    await assert.rejects(
        writer.write(order => order),
        LeaseLostError,
    );
    epoch = 2;
    assert.deepEqual(await writer.write(order => order), { epoch: 2, step: 1 });
    assert.deepEqual((await store.get("plan/x"))?.value, { epoch: 2, step: 1 });
});

function createMember(id: string): Member {
    return {
        id,
        incarnation: 1,
        session: 1,
        status: MemberStatus.Live,
        region: "north",
        zone: "n-a",
        callerAddress: `${id}:1`,
        peerAddress: `${id}:2`,
        ready: true,
    };
}

/** Starts instances that share watches. `isEarlierRelease` names those that know nothing of eras in messages. */
function startRelays(size: number, isEarlierRelease: (index: number) => boolean = () => false) {
    const clock = createManualClock();
    const server = new MemoryObjectStore(clock, { era: 1 });
    const handlers = new Map<string, RpcHandler>();
    const dead = new Set<string>();
    const members = Array.from({ length: size }, (_, index) => createMember(`gateway-${index}`));
    const served = new Map<string, number>();
    const instances = members.map((self, index) => {
        const client = new StoreClient(server);
        const isEarlier = isEarlierRelease(index);
        const withoutEra = <Message>(message: Message): Message =>
            isEarlier ? { ...message, era: undefined } : message;
        const store = createRelayedStore({
            store: client,
            members: () => ({
                self: () => self,
                members: () => members,
                liveInRegion: () => members,
                find: id => members.find(member => member.id === id),
                onChange: () => () => undefined,
            }),
            transport: {
                call: async <Result>(address: string, _: string, params: unknown) => {
                    if (dead.has(address)) {
                        throw new Error("refused");
                    }
                    const result = await handlers.get(address)!(withoutEra(params), self.id);
                    const hasResult = (result as { result?: unknown }).result !== undefined;
                    served.set(self.id, (served.get(self.id) ?? 0) + (hasResult ? 1 : 0));
                    return result as Result;
                },
            },
            rpc: {
                addMethod: (_, handler) =>
                    void handlers.set(self.peerAddress, async (params, from) =>
                        withoutEra((await handler(withoutEra(params), from)) as object),
                    ),
            },
            clock,
            logger: createSilentLogger(),
        });
        return { id: self.id, client, store, ...startWatch(clock, { store }) };
    });
    return { clock, server, instances, dead, served, members };
}

// Guards against followers and readers of different eras that exchange changes, and against a reader that dies meanwhile.
for (const deadReaders of [0, 1, 2]) {
    test(`all instances follow the new era while ${deadReaders} readers are dead`, async () => {
        const { clock, server, instances, dead, served, members } = startRelays(9);
        await clock.advance(2500);
        const copy = server.copy();
        for (let index = 0; index < 5; index++) {
            await change(server, "a/lost", index);
            await clock.advance(600);
        }
        const readers = members.filter(({ id }) => !served.has(id));
        assert.equal(readers.length, 3);
        readers.slice(0, deadReaders).forEach(({ peerAddress }) => dead.add(peerAddress));
        server.restore(copy);
        // As many changes as were lost, so that the positions of the old era are reached again.
        for (let index = 0; index < 5; index++) {
            await change(server, `a/${index}`, index);
        }
        await clock.advance(2000);
        const expected = ["a/0", "a/1", "a/2", "a/3", "a/4", "a/lost"];
        for (const { id, values } of instances) {
            assert.deepEqual([...values.keys()].sort(), expected, id);
        }
        await clock.advance(3000);
        await change(server, "a/0", "later");
        await clock.advance(2000);
        for (const { id, values } of instances) {
            assert.equal(values.get("a/0"), "later", id);
            assert.ok(!values.has("a/lost"), id);
        }
    });
}

// Guards against a reader that was cut off from the store in the old era and goes on serving it to those of the new one.
test("a reader that still has the old era serves no follower of the new one", async () => {
    const { clock, server, instances, served, members } = startRelays(6);
    await clock.advance(2500);
    const readers = members.filter(({ id }) => !served.has(id)).map(({ id }) => id);
    const copy = server.copy();
    await change(server, "a/lost", 1);
    await clock.advance(2000);
    instances.filter(({ id }) => readers.includes(id)).forEach(({ client }) => (client.isAway = true));
    server.restore(copy);
    await change(server, "a/new", 1);
    await clock.advance(6000);
    for (const { id, values } of instances) {
        assert.deepEqual([...values.keys()], [readers.includes(id) ? "a/lost" : "a/new"], id);
    }
});

// Guards against instances of the previous release, whose messages name no era, that serve or are served across eras.
test("instances whose messages name no era neither serve nor follow those that do", async () => {
    const { clock, server, instances, served } = startRelays(6, () => true);
    await clock.advance(2500);
    const copy = server.copy();
    await change(server, "a/lost", 1);
    await clock.advance(2000);
    server.restore(copy);
    await change(server, "a/new", 1);
    await clock.advance(5000);
    assert.equal(
        [...served.values()].reduce((sum, count) => sum + count, 0),
        0,
    );
    instances.forEach(({ id, values }) => assert.deepEqual([...values.keys()], ["a/new"], id));
});

/** Lets a call that waits on the clock end. */
async function settle<Result>(clock: ManualClock, result: Promise<Result>): Promise<Result> {
    await clock.advance(1000);
    return result;
}

/** Starts a reader, or a follower whose only reader gives the answer that `answer` returns. */
async function startRelay(answer?: () => unknown) {
    const clock = createManualClock();
    const server = new MemoryObjectStore(clock, { era: 1 });
    const client = new StoreClient(server);
    const names = rankOwners(
        "store-readers",
        Array.from({ length: 4 }, (_, index) => `gateway-${index}`),
    );
    const all = names.map(createMember);
    const self = all.at(answer === undefined ? 0 : -1)!;
    let follow: RpcHandler | undefined;
    const store = createRelayedStore({
        store: client,
        members: () => ({
            self: () => self,
            members: () => all,
            liveInRegion: () => all,
            find: id => all.find(member => member.id === id),
            onChange: () => () => undefined,
        }),
        transport: { call: async <Result>() => answer?.() as Result },
        rpc: { addMethod: (_, handler) => (follow = handler) },
        clock,
        logger: createSilentLogger(),
    });
    await change(server, "a/1", 1);
    await store.listWithVersion("a/");
    return { clock, server, client, store, follow: async (params: object) => follow!(params, "f") };
}

// Guards against a reader that serves a follower of another era from its log.
test("a reader serves followers of its own era only, from a log that starts with the era", async () => {
    const { clock, server, client, store, follow } = await startRelay();
    const copy = server.copy();
    await change(server, "a/1", 2);
    await settle(clock, store.watch("a/", 1, 0));
    const request = { prefix: "a/", since: 1, waitMs: 0 };
    for (const era of [undefined, 0, 2]) {
        assert.deepEqual(await follow({ ...request, era }), { era: 1 }, `era ${era}`);
    }
    const served = (await follow({ ...request, era: 1 })) as { era: number; result: { version: number } };
    assert.deepEqual([served.era, served.result.version], [1, 2]);
    const pending = follow({ ...request, since: 2, waitMs: 1000, era: 1 });
    server.restore(copy);
    await client.get("b/1");
    await clock.advance(1);
    assert.deepEqual(await pending, { era: 2 });
    assert.deepEqual(await follow({ ...request, era: 2 }), { era: 2 });
});

// Guards against a follower that merges the changes of a reader of another era, or of one that names none.
for (const era of [undefined, 2]) {
    test(`a follower ignores a reader of ${era === undefined ? "an unknown" : "another"} era`, async () => {
        const change1 = { key: "a/1", version: 2, value: "other", deleted: false };
        const { clock, store } = await startRelay(() => ({
            result: { changes: [change1], version: 2, asOfMs: 0 },
            era,
        }));
        const { changes, version } = await settle(clock, store.watch("a/", 1, 0));
        assert.deepEqual({ changes, version }, { changes: [], version: 1 });
        assert.equal(await store.watchPeers("a/", 1, 0), undefined);
    });
}
