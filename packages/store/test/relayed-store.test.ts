/** Watches that go through peers. Pattern: many instances of one region, servers that come and go all the time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    MemberStatus,
    PeerTimeoutError,
    StoreUnavailableError,
    createManualClock,
    createRandom,
    createSilentLogger,
} from "@waxwingdale/core";
import type { ManualClock, Member, MemberView, RpcHandler, WatchResult } from "@waxwingdale/core";
import { MemoryObjectStore, createRelayedStore, watchPrefix } from "@waxwingdale/store";

enum Path {
    Open = "open",
    /** Calls get no answer. */
    Silent = "silent",
    /** Calls fail at once. */
    Refusing = "refusing",
}

/** A store that one instance reaches over a path of its own. */
class PathStore extends MemoryObjectStore {
    readonly paths = new Map<string, Path>();
    readonly calls = new Map<string, number>();
    /** Calls to come of an instance that get no answer, while others do. */
    readonly silentCalls = new Map<string, number>();

    from(id: string): MemoryObjectStore {
        const count = () => this.calls.set(id, (this.calls.get(id) ?? 0) + 1);
        const wait = async () => {
            if (this.paths.get(id) === Path.Silent) {
                await this.clock.sleep(5500);
                throw new PeerTimeoutError("the path to the store is silent");
            }
            if (this.paths.get(id) === Path.Refusing) {
                throw new StoreUnavailableError("refused");
            }
            const silent = this.silentCalls.get(id) ?? 0;
            if (silent > 0) {
                this.silentCalls.set(id, silent - 1);
                await this.clock.sleep(1500);
                throw new PeerTimeoutError("no answer of the store");
            }
        };
        const { clock } = this;
        const store = this as MemoryObjectStore;
        return new (class extends MemoryObjectStore {
            override async list(...args: Parameters<MemoryObjectStore["list"]>) {
                count();
                await wait();
                return store.list(...args);
            }
            override async watch(...args: Parameters<MemoryObjectStore["watch"]>): Promise<WatchResult> {
                count();
                await wait();
                const [prefix, since, waitMs, signal] = args;
                const result = await store.watch(prefix, since, waitMs, signal);
                await wait();
                return result;
            }
        })(clock);
    }

    countCalls(): number {
        return [...this.calls.values()].reduce((sum, count) => sum + count, 0);
    }
}

interface Instance {
    id: string;
    /** Keys that the instance takes as existing. */
    keys: Set<string>;
    /** When each key arrived. */
    arrivedAt: Map<string, number>;
}

interface FleetOptions {
    ready?: boolean;
    readerWaitMs?: number;
    /** Time in milliseconds within which a change has to arrive. Without it, nothing is asked again beside a pending call. */
    boundMs?: number;
    relistMs?: number;
}

function startFleet(
    size: number,
    { ready = true, readerWaitMs = 1000, boundMs, relistMs }: FleetOptions = {},
) {
    const clock: ManualClock = createManualClock();
    const store = new PathStore(clock);
    const controller = new AbortController();
    const handlers = new Map<string, RpcHandler>();
    const frozen = new Set<string>();
    let members = Array.from({ length: size }, (_, i) => createMember(`gateway-${i}`, `z${i % 3}`, ready));
    const becomeReady = () => (members = members.map(member => ({ ...member, ready: true })));
    const viewOf = (self: Member): MemberView => ({
        self: () => members.find(({ id }) => id === self.id)!,
        members: () => members,
        liveInRegion: () => members,
        find: id => members.find(member => member.id === id),
        onChange: () => () => undefined,
    });
    const instances = members.map((self): Instance => {
        const instance = { id: self.id, keys: new Set<string>(), arrivedAt: new Map<string, number>() };
        const relayed = createRelayedStore({
            store: store.from(self.id),
            members: () => viewOf(self),
            transport: {
                call: async <Result>(address: string, _: string, params: unknown, timeoutMs: number) => {
                    if (frozen.has(address)) {
                        await clock.sleep(timeoutMs);
                        throw new PeerTimeoutError("no answer");
                    }
                    return (await handlers.get(address)!(params, self.id)) as Result;
                },
            },
            readerWaitMs: () => (boundMs === undefined ? readerWaitMs : boundMs / 2),
            ...(boundMs === undefined ? {} : { maxAgeMs: () => boundMs * 0.75 }),
            rpc: { addMethod: (_, handler) => void handlers.set(self.peerAddress, handler) },
            clock,
            logger: createSilentLogger(),
        });
        void watchPrefix({
            store: relayed,
            prefix: "servers/",
            clock,
            random: createRandom(1),
            logger: createSilentLogger(),
            signal: controller.signal,
            waitMs: boundMs === undefined ? 4000 : boundMs / 2,
            ...(boundMs === undefined
                ? {}
                : { refresh: { staleAfterMs: boundMs * 0.65, intervalMs: boundMs * 0.1 } }),
            relistMs,
            minIntervalMs: 200,
            onObject: ({ key }) => {
                instance.keys.add(key);
                instance.arrivedAt.set(key, clock.now());
            },
            onDeleted: key => instance.keys.delete(key),
        });
        return instance;
    });
    const stop = () => {
        controller.abort();
        return clock.advance(10_000);
    };
    /** Instances that had not heard of the key by the time. */
    const late = (key: string, at: number) =>
        instances.filter(({ arrivedAt }) => (arrivedAt.get(key) ?? Infinity) > at).map(({ id }) => id);
    return { clock, store, frozen, instances, stop, late, becomeReady };
}

function createMember(id: string, zone: string, ready: boolean): Member {
    const address = `${id}:1`;
    return {
        id,
        incarnation: 1,
        session: 1,
        status: MemberStatus.Live,
        region: "north",
        zone,
        callerAddress: address,
        peerAddress: address,
        ready,
    };
}

test("a change reaches all instances of a large region with few calls to the store", async () => {
    const { clock, store, instances, stop, late } = startFleet(24);
    await clock.advance(10_000);
    const before = store.countCalls();
    for (let i = 0; i < 40; i++) {
        await store.put(`servers/s${i}`, i, 0);
        await clock.advance(250);
        await store.put(`servers/t${i}`, i, 0);
        await clock.advance(250);
    }
    const calls = store.countCalls() - before;
    // Three instances watch twice a second at most; a fleet without relays makes 24 x 80 calls.
    assert.ok(calls <= 3 * 40 + 24, `${calls} calls in 20 s`);
    await clock.advance(1000);
    assert.deepEqual(late("servers/t39", clock.now()), []);
    await store.delete("servers/s3", (await store.get("servers/s3"))!.version);
    await clock.advance(1000);
    assert.ok(instances.every(({ keys }) => !keys.has("servers/s3")));
    await stop();
});

// Guards against a start at which each instance watches the store by itself until the first ones are ready.
test("start of a large fleet: the instances follow readers while the servers register", async () => {
    const { clock, store, stop, late, becomeReady } = startFleet(24, { ready: false });
    for (let i = 0; i < 40; i++) {
        await store.put(`servers/s${i}`, i, 0);
        await clock.advance(250);
        if (i === 20) {
            becomeReady();
        }
    }
    await clock.advance(1000);
    assert.deepEqual(late("servers/s39", clock.now()), []);
    // A list and two watches for each instance, beside the watches of three readers twice a second.
    assert.ok(store.countCalls() <= 24 * 3 + 3 * 25, `${store.countCalls()} calls in 11 s`);
    await stop();
});

test("the instances of a small region all watch the store", async () => {
    const { clock, store, stop } = startFleet(3);
    await clock.advance(40_000);
    assert.equal(store.calls.size, 3);
    for (const [id, calls] of store.calls) {
        assert.ok(calls >= 8 && calls <= 13, `${id} made ${calls} calls in 40 s with waits of 4 s`);
    }
    await stop();
});

/** Silences the paths of the readers to the store, and returns the other instances that miss a change after some time. */
async function missAfterSilence(fleet: ReturnType<typeof startFleet>, timeMs: number): Promise<string[]> {
    const { clock, store, late } = fleet;
    await clock.advance(10_000);
    const readers = findReaders(store);
    readers.forEach(id => store.paths.set(id, Path.Silent));
    await clock.advance(100);
    await store.put("servers/new", 1, 0);
    await clock.advance(timeMs);
    return late("servers/new", clock.now()).filter(id => !readers.includes(id));
}

// Guards against followers that trust an instance whose own path to the store is silent.
test("instances that follow a reader without the store learn of a change in time", async () => {
    const fleet = startFleet(24);
    assert.deepEqual(await missAfterSilence(fleet, 2000), []);
    assert.equal(fleet.instances.length, 24);
    await fleet.stop();
});

// Guards against an evacuation that followers of a reader with long watches hear of too late.
test("followers of readers with longer watches learn of a change within five seconds", async () => {
    const fleet = startFleet(24, { readerWaitMs: 2000 });
    assert.deepEqual(await missAfterSilence(fleet, 4500), []);
    await fleet.stop();
});

test("instances that follow a reader that hangs learn of a change in time", async () => {
    const { clock, store, frozen, stop, late } = startFleet(24);
    await clock.advance(10_000);
    const readers = findReaders(store);
    readers.forEach(id => frozen.add(`${id}:1`));
    await store.put("servers/new", 1, 0);
    await clock.advance(2000);
    assert.deepEqual(late("servers/new", clock.now()), []);
    await stop();
});

// Guards against a follower for which its reader's silence and that of its own first call add up to more than the bound.
test("a follower learns of a change in time when its reader hangs and its own first call is silent", async () => {
    for (let hungMs = 0; hungMs < 3000; hungMs += 250) {
        const { clock, store, frozen, instances, stop, late } = startFleet(24, { boundMs: 3000 });
        await clock.advance(10_000);
        const readers = findReaders(store);
        readers.forEach(id => frozen.add(`${id}:1`));
        const followers = instances.filter(({ id }) => !readers.includes(id));
        followers.forEach(({ id }) => store.silentCalls.set(id, 1));
        await clock.advance(hungMs);
        await store.put("servers/new", 1, 0);
        await clock.advance(2900);
        assert.deepEqual(late("servers/new", clock.now()), [], `hung for ${hungMs} ms before`);
        await stop();
    }
});

// Guards against followers that hear "no changes" of a reader which has learned of one by a list.
test("followers learn at once of a change that their readers have read in a list", async () => {
    const { clock, store, stop, late } = startFleet(24, { boundMs: 3000 });
    await clock.advance(10_000);
    const readers = findReaders(store);
    readers.forEach(id => store.paths.set(id, Path.Refusing));
    await store.put("servers/new", 1, 0);
    await clock.advance(10);
    readers.forEach(id => store.paths.set(id, Path.Open));
    await clock.advance(600);
    assert.deepEqual(late("servers/new", clock.now()), []);
    await stop();
});

/** Lets the store turn some instances away for ten seconds, and checks that these learn of a change meanwhile. */
async function checkTurnedAway(
    size: number,
    findTurnedAway: (fleet: ReturnType<typeof startFleet>) => string[],
) {
    const fleet = startFleet(size, { boundMs: 3000, relistMs: 4000 });
    const { clock, store, stop, late } = fleet;
    await clock.advance(10_000);
    const turnedAway = findTurnedAway(fleet);
    turnedAway.forEach(id => store.paths.set(id, Path.Refusing));
    await clock.advance(5000);
    await store.put("servers/new", 1, 0);
    await clock.advance(2900);
    assert.deepEqual(late("servers/new", clock.now()), []);
    await clock.advance(2100);
    turnedAway.forEach(id => store.paths.set(id, Path.Open));
    await stop();
}

// Guards against instances that know nothing new while the store turns them away, though their peers do.
test("a reader that the store turns away learns of a change from another reader", () =>
    checkTurnedAway(24, ({ store }) => findReaders(store).slice(0, 1)));

test("an instance of a small region that the store turns away learns of a change from a peer", () =>
    checkTurnedAway(3, ({ instances }) => [instances[0]!.id]));

// Guards against followers that lose their readers with the first list that the store refuses.
test("followers that the store turns away learn of a change from their readers", () =>
    checkTurnedAway(24, ({ store, instances }) => {
        const readers = findReaders(store);
        return instances.map(({ id }) => id).filter(id => !readers.includes(id));
    }));

// Guards against followers that ask the store beside their readers while nothing is wrong.
test("in a calm fleet only the readers ask the store", async () => {
    const { clock, store, stop } = startFleet(24, { boundMs: 3000 });
    await clock.advance(10_000);
    const before = store.countCalls();
    await clock.advance(30_000);
    const calls = store.countCalls() - before;
    assert.ok(calls <= (3 * 30_000) / 1500 + 3, `${calls} calls in 30 s`);
    await stop();
});

/** Instances with the most calls: those that others follow watch with shorter waits. */
function findReaders({ calls }: PathStore): string[] {
    return [...calls]
        .sort(([, a], [, b]) => b - a)
        .slice(0, 3)
        .map(([id]) => id);
}
