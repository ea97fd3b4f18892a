import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { HealthStatus, createBackendDirectory } from "@waxwingdale/backends";
import type { BackendDirectory } from "@waxwingdale/backends";
import {
    InstanceRole,
    InstanceState,
    MemberStatus,
    createManualClock,
    createRandom,
    createSilentLogger,
} from "@waxwingdale/core";
import type { InstanceRecord, ManualClock, Member, RpcHandler } from "@waxwingdale/core";
import type { Manifest } from "@waxwingdale/manifest";
import { MemoryObjectStore } from "@waxwingdale/store";

const manifest = {
    sites: [{ name: "north-a", region: "north", zone: "a" }],
    services: [{ name: "register", backend: { slots: 3 } }],
    drains: [],
} as unknown as Manifest;

const server: InstanceRecord = {
    id: "s1",
    role: InstanceRole.BackendServer,
    address: "127.0.0.1:1",
    region: "north",
    zone: "a",
    site: "north-a",
    service: "register",
    state: InstanceState.Live,
};

interface Fleet {
    clock: ManualClock;
    store: MemoryObjectStore;
    health: { value: HealthStatus };
    manifest: Manifest;
    directories: BackendDirectory[];
    stop: () => void;
}

/** Starts two entries of one region, each with a directory. Calls between them invoke the handler directly. */
function startFleet(): Fleet {
    const clock = createManualClock(1000);
    const store = new MemoryObjectStore(clock);
    store.instances = [server];
    const health = { value: HealthStatus.Ok };
    const stopped = new AbortController();
    const members = ["e1", "e2"].map((id): Member => ({
        id,
        incarnation: 1,
        session: 1,
        status: MemberStatus.Live,
        region: "north",
        zone: "a",
        callerAddress: "",
        peerAddress: id,
        ready: true,
    }));
    const handlers = new Map<string, RpcHandler>();
    const fleet: Fleet = { clock, store, health, manifest, directories: [], stop: () => stopped.abort() };
    fleet.directories = members.map(self =>
        createBackendDirectory({
            region: "north",
            store,
            view: {
                self: () => self,
                members: () => members,
                liveInRegion: () => members,
                find: () => undefined,
                onChange: () => () => undefined,
            },
            transport: {
                call: async <Result>(peer: string, method: string, params: unknown) =>
                    handlers.get(`${peer} ${method}`)!(params, self.id) as Result,
            },
            rpc: { addMethod: (name, handler) => void handlers.set(`${self.id} ${name}`, handler) },
            clock,
            random: createRandom(1),
            logger: createSilentLogger(),
            manifest: () => fleet.manifest,
            probe: async () => health.value,
            isRegionStillServing: () => false,
            shouldProbe: () => self.id === "e1",
        }),
    );
    for (const directory of fleet.directories) {
        void directory.run(stopped.signal);
    }
    return fleet;
}

/** Starts the fleet and waits 100 ms, in which it reads its first list. */
async function setUp(t: TestContext): Promise<Fleet> {
    const fleet = startFleet();
    t.after(fleet.stop);
    await fleet.clock.advance(100);
    return fleet;
}

const isDraining = (directory: BackendDirectory | undefined) => directory!.find("s1")!.draining;

test("a drain header stops new requests at both entries even if the list and health report no drain", async t => {
    const fleet = await setUp(t);
    fleet.directories[0]!.markDraining("s1");
    assert.ok(isDraining(fleet.directories[0]));
    await fleet.clock.advance(1);
    assert.ok(isDraining(fleet.directories[1]));
    await fleet.clock.advance(20_000);
    assert.ok(isDraining(fleet.directories[0]));
});

test("a drain that a health probe reports reaches the peer that does not probe", async t => {
    const fleet = await setUp(t);
    fleet.health.value = HealthStatus.Draining;
    await fleet.clock.advance(1500);
    assert.ok(fleet.directories.every(isDraining));
});

test("a mark is removed after health probes have reported no drain for the hold time", async t => {
    const fleet = await setUp(t);
    fleet.directories[0]!.markDraining("s1");
    await fleet.clock.advance(33_000);
    assert.equal(isDraining(fleet.directories[0]), false);
});

test("a mark is removed at every entry of the region, not only at the one that probes", async t => {
    const fleet = await setUp(t);
    fleet.directories[0]!.markDraining("s1");
    await fleet.clock.advance(40_000);
    assert.equal(isDraining(fleet.directories[1]), false);
});

test("a drain in the manifest applies from its start to its end", async t => {
    const fleet = startFleet();
    t.after(fleet.stop);
    const startsAt = new Date(11_000).toISOString();
    const endsAt = new Date(21_000).toISOString();
    fleet.manifest = { ...manifest, drains: [{ place: "north-a", startsAt, endsAt }] };
    await fleet.clock.advance(9000);
    assert.equal(isDraining(fleet.directories[0]), false);
    await fleet.clock.advance(4000);
    assert.ok(isDraining(fleet.directories[0]));
    await fleet.clock.advance(10_000);
    assert.equal(isDraining(fleet.directories[0]), false);
});

test("the list is kept during a store outage", async t => {
    const fleet = await setUp(t);
    fleet.store.faults.down = true;
    await fleet.clock.advance(60_000);
    assert.equal(fleet.directories[0]!.servers().length, 1);
});

test("an entry that starts while the store is down gets the list from its peer", async t => {
    const fleet = await setUp(t);
    const { directories, store } = fleet;
    store.faults.down = true;
    const late = startFleetMember(fleet);
    await fleet.clock.advance(5000);
    assert.equal(late.servers().length, 1);
    assert.equal(directories[0]!.servers().length, 1);
});

/** Starts a directory of a further entry, which gets the list from the first entry of the fleet. */
function startFleetMember(fleet: Fleet): BackendDirectory {
    const self: Member = {
        id: "e3",
        incarnation: 1,
        session: 1,
        status: MemberStatus.Live,
        region: "north",
        zone: "a",
        callerAddress: "",
        peerAddress: "e3",
        ready: true,
    };
    const first: Member = { ...self, id: "e1", peerAddress: "e1" };
    const answer = { records: fleet.store.instances, ageMs: 100 };
    const directory = createBackendDirectory({
        region: "north",
        store: fleet.store,
        view: {
            self: () => self,
            members: () => [self, first],
            liveInRegion: () => [self, first],
            find: () => undefined,
            onChange: () => () => undefined,
        },
        transport: { call: async <Result>() => answer as Result },
        rpc: { addMethod: () => undefined },
        clock: fleet.clock,
        random: createRandom(1),
        logger: createSilentLogger(),
        manifest: () => manifest,
        probe: async () => HealthStatus.Ok,
        isRegionStillServing: () => false,
        shouldProbe: () => false,
    });
    void directory.run(AbortSignal.timeout(10_000));
    return directory;
}
