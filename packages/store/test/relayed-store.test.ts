/** Watches through peers, mostly in a region with many instances whose servers register and leave all the time. */
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

enum PathState {
    Open = "open",
    /** Calls time out. */
    TimingOut = "silent",
    /** Calls fail immediately. */
    Rejecting = "refusing",
}

/** A store that each instance reaches over its own network path. */
class PathStore extends MemoryObjectStore {
    readonly paths = new Map<string, PathState>();
    readonly calls = new Map<string, number>();
    /** Number of upcoming calls of an instance that time out, while those of other instances succeed. */
    readonly callsToTimeOut = new Map<string, number>();

    from(id: string): MemoryObjectStore {
        const count = () => this.calls.set(id, (this.calls.get(id) ?? 0) + 1);
        const wait = async () => {
            if (this.paths.get(id) === PathState.TimingOut) {
                await this.clock.sleep(5500);
                throw new PeerTimeoutError("the store did not respond");
            }
            if (this.paths.get(id) === PathState.Rejecting) {
                throw new StoreUnavailableError("refused");
            }
            const remaining = this.callsToTimeOut.get(id) ?? 0;
            if (remaining > 0) {
                this.callsToTimeOut.set(id, remaining - 1);
                await this.clock.sleep(1500);
                throw new PeerTimeoutError("no response from the store");
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
    /** Keys that exist in the instance's view. */
    keys: Set<string>;
    /** Clock time at which each key last arrived. */
    arrivedAt: Map<string, number>;
}

interface FleetOptions {
    ready?: boolean;
    readerWaitMs?: number;
    /** Time in milliseconds within which a change has to arrive. Without it, calls are not hedged. */
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
    const hanging = new Set<string>();
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
                    if (hanging.has(address)) {
                        await clock.sleep(timeoutMs);
                        throw new PeerTimeoutError("no response");
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
    /** Returns the instances that had not received the key by the given time. */
    const findLate = (key: string, at: number) =>
        instances.filter(({ arrivedAt }) => (arrivedAt.get(key) ?? Infinity) > at).map(({ id }) => id);
    return { clock, store, hanging, instances, stop, findLate, becomeReady };
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
    const { clock, store, instances, stop, findLate } = startFleet(24);
    await clock.advance(10_000);
    const before = store.countCalls();
    for (let i = 0; i < 40; i++) {
        await store.put(`servers/s${i}`, i, 0);
        await clock.advance(250);
        await store.put(`servers/t${i}`, i, 0);
        await clock.advance(250);
    }
    const calls = store.countCalls() - before;
    // Three readers watch at most twice a second; if every instance watched the store, there would be 24 x 80 calls.
    assert.ok(calls <= 3 * 40 + 24, `${calls} calls in 20 s`);
    await clock.advance(1000);
    assert.deepEqual(findLate("servers/t39", clock.now()), []);
    await store.delete("servers/s3", (await store.get("servers/s3"))!.version);
    await clock.advance(1000);
    assert.ok(instances.every(({ keys }) => !keys.has("servers/s3")));
    await stop();
});

// Guards against a startup in which each instance watches the store itself until the first ones are ready.
test("startup of a large fleet: the instances follow readers while the servers register", async () => {
    const { clock, store, stop, findLate, becomeReady } = startFleet(24, { ready: false });
    for (let i = 0; i < 40; i++) {
        await store.put(`servers/s${i}`, i, 0);
        await clock.advance(250);
        if (i === 20) {
            becomeReady();
        }
    }
    await clock.advance(1000);
    assert.deepEqual(findLate("servers/s39", clock.now()), []);
    // A list and two watches per instance, plus two watches a second by each of three readers.
    assert.ok(store.countCalls() <= 24 * 3 + 3 * 25, `${store.countCalls()} calls in 11 s`);
    await stop();
});

test("in a small region, all instances watch the store", async () => {
    const { clock, store, stop } = startFleet(3);
    await clock.advance(40_000);
    assert.equal(store.calls.size, 3);
    for (const [id, calls] of store.calls) {
        assert.ok(calls >= 8 && calls <= 13, `${id} made ${calls} calls in 40 s with waits of 4 s`);
    }
    await stop();
});

/** Makes the readers' store calls time out, and returns the other instances that lack a change `timeMs` after it. */
async function findLateFollowers(fleet: ReturnType<typeof startFleet>, timeMs: number): Promise<string[]> {
    const { clock, store, findLate } = fleet;
    await clock.advance(10_000);
    const readers = findReaders(store);
    readers.forEach(id => store.paths.set(id, PathState.TimingOut));
    await clock.advance(100);
    await store.put("servers/new", 1, 0);
    await clock.advance(timeMs);
    return findLate("servers/new", clock.now()).filter(id => !readers.includes(id));
}

// Guards against followers that trust a reader whose own calls to the store time out.
test("followers of a reader that cannot reach the store receive a change in time", async () => {
    const fleet = startFleet(24);
    assert.deepEqual(await findLateFollowers(fleet, 2000), []);
    assert.equal(fleet.instances.length, 24);
    await fleet.stop();
});

// Guards against an evacuation that reaches followers too late because their readers use long watches.
test("followers of readers with longer watches receive a change within five seconds", async () => {
    const fleet = startFleet(24, { readerWaitMs: 2000 });
    assert.deepEqual(await findLateFollowers(fleet, 4500), []);
    await fleet.stop();
});

test("followers of a reader that hangs receive a change in time", async () => {
    const { clock, store, hanging, stop, findLate } = startFleet(24);
    await clock.advance(10_000);
    const readers = findReaders(store);
    readers.forEach(id => hanging.add(`${id}:1`));
    await store.put("servers/new", 1, 0);
    await clock.advance(2000);
    assert.deepEqual(findLate("servers/new", clock.now()), []);
    await stop();
});

// Guards against a follower that exceeds the bound by waiting first for its reader and then for its own call.
test("a follower receives a change in time when its reader hangs and its own first call times out", async () => {
    for (let hungMs = 0; hungMs < 3000; hungMs += 250) {
        const { clock, store, hanging, instances, stop, findLate } = startFleet(24, { boundMs: 3000 });
        await clock.advance(10_000);
        const readers = findReaders(store);
        readers.forEach(id => hanging.add(`${id}:1`));
        const followers = instances.filter(({ id }) => !readers.includes(id));
        followers.forEach(({ id }) => store.callsToTimeOut.set(id, 1));
        await clock.advance(hungMs);
        await store.put("servers/new", 1, 0);
        await clock.advance(2900);
        assert.deepEqual(findLate("servers/new", clock.now()), [], `hung for ${hungMs} ms before`);
        await stop();
    }
});

// Guards against a reader that reports no changes to its followers although it has found one in a list.
test("followers immediately receive a change that their readers found in a list", async () => {
    const { clock, store, stop, findLate } = startFleet(24, { boundMs: 3000 });
    await clock.advance(10_000);
    const readers = findReaders(store);
    readers.forEach(id => store.paths.set(id, PathState.Rejecting));
    await store.put("servers/new", 1, 0);
    await clock.advance(10);
    readers.forEach(id => store.paths.set(id, PathState.Open));
    await clock.advance(600);
    assert.deepEqual(findLate("servers/new", clock.now()), []);
    await stop();
});

/** Makes the store reject the calls of some instances for ten seconds, and checks that they still receive a change. */
async function checkRejected(size: number, findRejected: (fleet: ReturnType<typeof startFleet>) => string[]) {
    const fleet = startFleet(size, { boundMs: 3000, relistMs: 4000 });
    const { clock, store, stop, findLate } = fleet;
    await clock.advance(10_000);
    const rejected = findRejected(fleet);
    rejected.forEach(id => store.paths.set(id, PathState.Rejecting));
    await clock.advance(5000);
    await store.put("servers/new", 1, 0);
    await clock.advance(2900);
    assert.deepEqual(findLate("servers/new", clock.now()), []);
    await clock.advance(2100);
    rejected.forEach(id => store.paths.set(id, PathState.Open));
    await stop();
}

// Guards against instances that miss changes known to their peers while the store rejects their own calls.
test("a reader that the store rejects receives a change from another reader", () =>
    checkRejected(24, ({ store }) => findReaders(store).slice(0, 1)));

test("an instance of a small region that the store rejects receives a change from a peer", () =>
    checkRejected(3, ({ instances }) => [instances[0]!.id]));

// Guards against followers that no longer use their readers once the store has rejected a list.
test("followers that the store rejects receive a change from their readers", () =>
    checkRejected(24, ({ store, instances }) => {
        const readers = findReaders(store);
        return instances.map(({ id }) => id).filter(id => !readers.includes(id));
    }));

// Guards against followers that call the store in addition to their readers while there are no faults.
test("in a fleet without faults and changes, only the readers call the store", async () => {
    const { clock, store, stop } = startFleet(24, { boundMs: 3000 });
    await clock.advance(10_000);
    const before = store.countCalls();
    await clock.advance(30_000);
    const calls = store.countCalls() - before;
    assert.ok(calls <= (3 * 30_000) / 1500 + 3, `${calls} calls in 30 s`);
    await stop();
});

/** Returns the three instances with the most calls: readers use shorter waits than other instances. */
function findReaders({ calls }: PathStore): string[] {
    return [...calls]
        .sort(([, a], [, b]) => b - a)
        .slice(0, 3)
        .map(([id]) => id);
}
