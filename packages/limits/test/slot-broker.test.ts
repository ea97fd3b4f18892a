import assert from "node:assert/strict";
import { test } from "node:test";
import { AdmissionRefusedError, MemberStatus, ReasonCode, RequestClass, SlotResult } from "@waxwingdale/core";
import { createManualClock, createRandom } from "@waxwingdale/core";
import type { Slot, SlotRequest } from "@waxwingdale/core";
import { createFakeRegion, noServers, offerLoad, service } from "./support/fake-region.js";

const setUp = async (options: Partial<Parameters<typeof createFakeRegion>[0]> = {}) => {
    const clock = createManualClock();
    const random = createRandom(7);
    const region = createFakeRegion({ clock, random, ...options });
    await clock.advance(5300);
    const request = (change: Partial<SlotRequest> = {}): SlotRequest => ({
        service,
        requestClass: RequestClass.Lookup,
        deadlineAt: clock.now() + 400,
        suspect: false,
        avoid: noServers,
        ...change,
    });
    const acquire = (id: string, change: Partial<SlotRequest> = {}) =>
        region.entry(id).broker.acquire(request(change));
    const countHeld = (id: string) => region.entry(id).broker.state().services[0]!.held;
    return { clock, random, region, acquire, countHeld };
};

const isRefused = (reason: ReasonCode) => (err: unknown) =>
    err instanceof AdmissionRefusedError && err.reason === reason;

// Guards against entries using the same slots at startup, while their views are incomplete.
test("a starting region uses no slot until the takeover delay has passed", async () => {
    const clock = createManualClock();
    const region = createFakeRegion({ clock, random: createRandom(1) });
    await clock.advance(4900);
    assert.deepEqual(
        region.entries.map(({ broker }) => broker.state().services[0]!.held),
        [0, 0, 0],
    );
    await clock.advance(300);
    const held = region.entries.map(({ broker }) => broker.state().services[0]!.held);
    assert.equal(
        held.reduce((a, b) => a + b),
        24,
    );
});

// Guards against requests waiting at one entry while a peer has free slots.
test("one entry can use all slots of the region", async () => {
    const { clock, acquire } = await setUp();
    const slots: Slot[] = [];
    for (let count = 0; count < 24; count++) {
        void acquire("e2").then(slot => slots.push(slot));
    }
    await clock.advance(10);
    assert.equal(slots.length, 24);
    await assert.rejects(async () => {
        const waiting = acquire("e2");
        waiting.catch(() => undefined);
        await clock.advance(500);
        await waiting;
    }, isRefused(ReasonCode.Overloaded));
});

// Guards against sending queued requests to a draining server.
test("a draining server gets no new request", async () => {
    const { clock, random, region } = await setUp();
    const load = offerLoad(region, clock, random, { ms: 300, perSecond: 300 });
    await load;
    region.servers[0]!.draining = true;
    region.entries.forEach(({ broker }) => broker.onServersChanged());
    await offerLoad(region, clock, random, { ms: 220, perSecond: 300 });
    assert.equal(region.inFlight("s0"), 0);
    await offerLoad(region, clock, random, { ms: 500, perSecond: 300 });
    assert.equal(region.inFlight("s0"), 0);
});

// Guards against treating a slot as free while the server may still be running its request.
test("a slot stays busy until the request's deadline if the connection broke", async () => {
    const { clock, acquire } = await setUp({ entries: 1, servers: 1, slots: 1 });
    const slot = await acquire("e0", { deadlineAt: clock.now() + 300 });
    slot.release(SlotResult.Broken);
    slot.release(SlotResult.Completed);
    let startedAt = 0;
    const next = acquire("e0", { deadlineAt: clock.now() + 2000 }).then(() => (startedAt = clock.now()));
    const brokenUntil = clock.now() + 300;
    await clock.advance(299);
    assert.equal(startedAt, 0);
    await clock.advance(2);
    await next;
    assert.ok(startedAt >= brokenUntil);
});

// Guards against flooding a server that rejects requests, and against never using it again.
test("a server that rejects requests is closed and probed with one request", async () => {
    const { clock, acquire } = await setUp({ entries: 1, servers: 1 });
    const slots = await Promise.all([acquire("e0"), acquire("e0")]);
    slots.forEach(slot => slot.release(SlotResult.Refused));
    const started: Slot[] = [];
    const waiting = [1, 2, 3].map(() => acquire("e0").then(slot => started.push(slot)));
    assert.equal(started.length, 0);
    await clock.advance(160);
    assert.equal(started.length, 1);
    started[0]!.release(SlotResult.Completed);
    await clock.advance(0);
    await Promise.all(waiting);
    assert.equal(started.length, 3);
});

// Guards against two requests that may each crash a server running on the same one.
test("suspects of different entries never share a server", async () => {
    const { clock, acquire } = await setUp({ servers: 3 });
    const started: string[] = [];
    for (const id of ["e0", "e1", "e2", "e0", "e1"]) {
        acquire(id, { suspect: true }).then(
            slot => started.push(slot.server.id),
            () => undefined,
        );
    }
    await clock.advance(50);
    assert.deepEqual(started.sort(), ["s0", "s1", "s2"]);
});

// Guards against retrying a request at a server that has rejected it.
test("avoided servers are not used", async () => {
    const { clock, acquire } = await setUp({ servers: 2 });
    const started: string[] = [];
    for (let count = 0; count < 4; count++) {
        acquire("e0", { avoid: new Set(["s0"]) }).then(
            slot => started.push(slot.server.id),
            () => undefined,
        );
    }
    await clock.advance(30);
    assert.deepEqual(started, ["s1", "s1", "s1"]);
    await assert.rejects(acquire("e0", { avoid: new Set(["s0", "s1"]) }), isRefused(ReasonCode.NoBackend));
});

// Guards against losing an entry's slots when it stops, either for the takeover delay or for good.
test("a leaving entry's slots are used by its peers immediately", async () => {
    const { clock, region, countHeld } = await setUp();
    region.setStatusForAll("e1", MemberStatus.Leaving);
    await clock.advance(300);
    assert.equal(countHeld("e0") + countHeld("e2"), 24);
    assert.equal(countHeld("e1"), 0);
});

// Guards against losing the busy slots of a stopped entry, and against peers claiming them from it forever.
test("a closing entry hands over its free slots, and each busy slot when its request ends", async () => {
    const { clock, region, acquire, countHeld } = await setUp();
    const slot = await acquire("e1");
    void region.entry("e1").broker.close();
    region.setStatusForAll("e1", MemberStatus.Leaving);
    await clock.advance(300);
    assert.equal(countHeld("e0") + countHeld("e2"), 23);
    await assert.rejects(acquire("e1"), isRefused(ReasonCode.ShuttingDown));
    slot.release(SlotResult.Completed);
    await clock.advance(300);
    assert.equal(countHeld("e0") + countHeld("e2"), 24);
});

// Guards against losing a crashed entry's slots for good, and against using them before an entry that was only paused
// would have detected its pause.
test("a crashed entry's slots are used after the takeover delay", async () => {
    const { clock, region, countHeld } = await setUp();
    const before = countHeld("e0") + countHeld("e2");
    region.crash("e1");
    region.setStatusForAll("e1", MemberStatus.Dead);
    await clock.advance(4900);
    assert.equal(countHeld("e0") + countHeld("e2"), before);
    await clock.advance(300);
    assert.equal(countHeld("e0") + countHeld("e2"), 24);
});

// Guards against an isolated entry taking over the slots of all others.
test("an isolated entry keeps its slots and gains none", async () => {
    const { clock, region, countHeld } = await setUp();
    const before = countHeld("e0");
    region.isolate("e0");
    region.setStatus("e0", "e1", MemberStatus.Dead);
    region.setStatus("e0", "e2", MemberStatus.Dead);
    await clock.advance(60_000);
    assert.equal(countHeld("e0"), before);
});

// Guards against an entry that resumes after a pause and uses slots that its peers have taken over.
test("an entry that was paused uses no slot before its peers have responded", async () => {
    const { clock, region, acquire, countHeld } = await setUp();
    const before = countHeld("e1");
    region.pause("e1");
    region.setStatus("e0", "e1", MemberStatus.Dead);
    region.setStatus("e2", "e1", MemberStatus.Dead);
    await clock.advance(9000);
    assert.equal(countHeld("e0") + countHeld("e2"), 24);
    region.entry("e1").isPaused = false;
    let isStarted = false;
    void acquire("e1").then(slot => {
        isStarted = true;
        slot.release(SlotResult.Completed);
    });
    await Promise.resolve();
    assert.equal(isStarted, false);
    assert.equal(countHeld("e1"), 0);
    region.resume("e1");
    await clock.advance(500);
    assert.equal(countHeld("e1"), before);
    assert.equal(countHeld("e0") + countHeld("e1") + countHeld("e2"), 24);
});

// Guards against losing a slot along with the message that lends or returns it.
test("no slot stays lent after a period of message loss", async () => {
    const { clock, random, region } = await setUp();
    region.faults.loss = 0.5;
    await offerLoad(region, clock, random, { ms: 2000, perSecond: 400 });
    region.faults.loss = 0;
    // Longest deadline, grant slack and reclaim margin, plus 200 ms.
    await clock.advance(400 + 2000 + 500 + 200);
    const lent = region.entries.flatMap(({ broker }) => broker.state().slots).filter(slot => slot.lentTo);
    assert.deepEqual(lent, []);
});

// Guards against a new owner using a slot on which a long request of the previous owner is still running.
test("a new owner does not use a slot while its previous owner runs a request on it", async () => {
    const { clock, region, acquire, countHeld } = await setUp({ entries: 2 });
    const slots: Slot[] = [];
    for (let count = 0; count < 24; count++) {
        void acquire("e0", { deadlineAt: clock.now() + 60_000 }).then(slot => slots.push(slot));
    }
    await clock.advance(10);
    assert.equal(slots.length, 24);
    region.start("e2");
    await clock.advance(20_000);
    assert.equal(countHeld("e2"), 0);
    slots.forEach(slot => slot.release(SlotResult.Completed));
    await clock.advance(1000);
    assert.ok(countHeld("e2") > 0);
    assert.equal(countHeld("e0") + countHeld("e1") + countHeld("e2"), 24);
});

// Guards against an entry that was isolated using slots that its peers have taken over.
test("an entry that was isolated uses no slot before its peers have responded", async () => {
    const { clock, region, countHeld } = await setUp();
    const before = countHeld("e0");
    region.isolate("e0");
    for (const [viewer, id] of [
        ["e0", "e1"],
        ["e0", "e2"],
        ["e1", "e0"],
        ["e2", "e0"],
    ] as const) {
        region.setStatus(viewer, id, MemberStatus.Dead);
    }
    await clock.advance(9000);
    region.heal("e0");
    assert.equal(countHeld("e0"), 0);
    await clock.advance(500);
    assert.equal(countHeld("e0"), before);
});

// Guards against overloading a server that is busy with other clients, and against a wrong report stopping traffic.
test("a load report above the limit reduces concurrency to one and no report raises it above the limit", async () => {
    const { clock, acquire } = await setUp({ entries: 1, servers: 1 });
    const first = await acquire("e0");
    first.release(SlotResult.Completed, 9);
    const started: Slot[] = [];
    const start = () =>
        acquire("e0", { deadlineAt: clock.now() + 5000 }).then(
            slot => started.push(slot),
            () => undefined,
        );
    [1, 2, 3, 4, 5].forEach(() => void start());
    await clock.advance(500);
    assert.equal(started.length, 1);
    started[0]!.release(SlotResult.Completed, 0);
    await clock.advance(500);
    assert.equal(started.length, 4);
});

// Guards against calls to an unresponsive peer piling up.
test("the number of calls in flight to an unresponsive peer is bounded", async () => {
    const { clock, random, region } = await setUp();
    region.pause("e1");
    const before = region.entry("e0").broker.counters().wantsSent;
    await offerLoad(region, clock, random, { ms: 400, perSecond: 3000, ids: ["e0"] });
    const sent = region.entry("e0").broker.counters().wantsSent - before;
    await clock.advance(100);
    assert.ok(sent > 100, `${sent} wants`);
    assert.ok(region.wantsInFlight("e0", "e1").max <= 16, `${region.wantsInFlight("e0", "e1").max} calls`);
});

// Guards against a sole entry without slots because of member records of entries that died before it started.
test("an entry that never had contact with a peer takes over all slots", async () => {
    const clock = createManualClock();
    const region = createFakeRegion({ clock, random: createRandom(1), faults: { loss: 1 } });
    region.crash("e1");
    region.crash("e2");
    await clock.advance(4000);
    region.setStatus("e0", "e1", MemberStatus.Dead);
    region.setStatus("e0", "e2", MemberStatus.Dead);
    await clock.advance(4900);
    assert.ok(region.entry("e0").broker.state().services[0]!.held < 24);
    await clock.advance(400);
    assert.equal(region.entry("e0").broker.state().services[0]!.held, 24);
});
