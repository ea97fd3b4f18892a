import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { createManualClock, createSilentLogger } from "@waxwingdale/core";
import type { ManualClock } from "@waxwingdale/core";
import { createCrashSuspects } from "@waxwingdale/relay";
import type { CrashSuspects, RequestIdentity } from "@waxwingdale/relay";
import { MemoryObjectStore } from "@waxwingdale/store";
import { createCrashArchive } from "../src/crash-archive.js";
import { createTrialStart } from "../src/crash-trial.js";

const second = 1000;
const identify = (request: string, caller = "1"): RequestIdentity => ({
    request,
    caller: () => `${request}.${caller}`,
});
const request = identify("a");

let servers = 0;

/** Crashes servers under a request, one after the other. */
function crash(
    clock: ManualClock,
    suspects: CrashSuspects,
    times: number,
    isTrial = false,
    identity = request,
): void {
    for (let count = 0; count < times; count++) {
        const sentAt = clock.now();
        clock.jump(1);
        suspects.recordCrash(identity, { serverId: `i-${servers++}`, sentAt, lostAt: clock.now() }, isTrial);
    }
}

function setUp(t: TestContext) {
    const clock = createManualClock(1_000_000);
    const store = new MemoryObjectStore(clock);
    const logger = createSilentLogger();
    /** Starts an instance, which knows nothing but what the store has. */
    const start = (instanceId: string, delayMs = 0, countInstances = 3) => {
        const controller = new AbortController();
        t.after(() => controller.abort());
        const suspects = createCrashSuspects(clock);
        const archive = createCrashArchive({
            instanceId,
            suspects,
            store,
            clock,
            random: () => 0,
            logger,
            countInstances: () => countInstances,
        });
        void archive.run(controller.signal);
        const beginTrial = createTrialStart({ suspects, store, clock, logger, delayMs: () => delayMs });
        return { suspects, archive, beginTrial, stop: () => controller.abort() };
    };
    return { clock, store, start };
}

for (const crashes of [1, 2, 3]) {
    // Guards against a count that begins at zero again when all instances have ended at once (BUDGET).
    test(`after ${crashes} crashes all instances are killed: an instance that starts knows of them`, async t => {
        const { clock, start } = setUp(t);
        const first = start("g-1");
        await clock.advance(100);
        crash(clock, first.suspects, crashes);
        await clock.advance(100);
        first.stop();
        await clock.advance(second);
        for (const id of ["g-1", "g-2"]) {
            const { suspects } = start(id);
            await clock.advance(100);
            assert.equal(suspects.countCrashes(request).ofCaller, crashes);
        }
    });
}

test("a rejection lasts as long as before, however often all instances are killed", async t => {
    const { clock, start } = setUp(t);
    const first = start("g-1");
    await clock.advance(100);
    crash(clock, first.suspects, 3);
    await clock.advance(100);
    first.stop();
    for (let restart = 0; restart < 3; restart++) {
        await clock.advance(9 * second);
        const { suspects, stop } = start(`g-${restart}`);
        await clock.advance(100);
        assert.ok(suspects.rejectedMs(request) > 0);
        stop();
    }
    await clock.advance(4 * second);
    const { suspects } = start("g-1");
    await clock.advance(100);
    assert.equal(suspects.rejectedMs(request), 0);
    assert.equal(suspects.needsTrial(request), true);
});

// Guards against a suspicion that comes back from the object of an instance that did not see its end.
test("a success ends a suspicion in the objects of all instances", async t => {
    const { clock, store, start } = setUp(t);
    const instances = ["g-1", "g-2"].map(id => start(id));
    const [first, other] = instances;
    await clock.advance(100);
    crash(clock, first!.suspects, 2);
    await clock.advance(100);
    first!.suspects.reports().forEach(report => other!.suspects.merge(report));
    assert.equal(await waitFor(clock, other!.beginTrial(request)), true);
    other!.suspects.recordSuccess(request);
    const reports = other!.suspects.reports();
    reports.forEach(report => first!.suspects.merge(report));
    first!.archive.recordMerged(reports);
    await clock.advance(2 * second);
    instances.forEach(({ stop }) => stop());
    const objects = await store.list("crash-suspects/");
    assert.deepEqual(
        objects.map(({ key }) => key),
        ["crash-suspects/of-g-1", "crash-suspects/of-g-2"],
    );
    for (const { value } of objects) {
        const { reports: kept } = value as { reports: { crashes: number }[] };
        assert.deepEqual(new Set(kept.map(({ crashes }) => crashes)), new Set([0]));
    }
});

test("changes are written at a bounded rate, and nothing is written without one", async t => {
    const { clock, store, start } = setUp(t);
    const { suspects } = start("g-1", 0, 100);
    await clock.advance(10 * second);
    assert.deepEqual(store.counters, { reads: 1, writes: 0 });
    for (let count = 0; count < 1000; count++) {
        crash(clock, suspects, 1, false, identify(`r${count}`));
        await clock.advance(9);
    }
    await clock.advance(10 * second);
    // Of 100 instances, each writes every 2.5 s at most.
    assert.ok(store.counters.writes <= 6, `${store.counters.writes} writes in 10 s`);
    const [object] = await store.list("crash-suspects/");
    // 100 instances keep 2,048 reports together.
    assert.equal((object!.value as { reports: unknown[] }).reports.length, 20);
});

// Guards against a write for each server that ends by its own fault, which cost a day of many such ends a thousand calls.
test("first crashes are written at once, then seldom", async t => {
    const { clock, store, start } = setUp(t);
    const { suspects } = start("g-1", 0, 27);
    await clock.advance(100);
    for (let count = 0; count < 120; count++) {
        crash(clock, suspects, 1, false, identify(`r${count}`));
        await clock.advance(0.5 * second);
    }
    // One every 6.75 s.
    const { writes } = store.counters;
    assert.ok(writes >= 8 && writes <= 9, `${writes} writes in 60 s`);
    await clock.advance(10 * second);
    const { suspects: restarted } = start("g-2");
    await clock.advance(100);
    assert.equal(restarted.countCrashes(identify("r119")).ofCaller, 1);
});

test("a first crash whose request succeeds while it waits is not written", async t => {
    const { clock, store, start } = setUp(t);
    const { suspects } = start("g-1", 0, 27);
    await clock.advance(100);
    for (const identity of [identify("b"), request]) {
        crash(clock, suspects, 1, false, identity);
        await clock.advance(second);
    }
    suspects.recordSuccess(request);
    await clock.advance(60 * second);
    assert.equal(store.counters.writes, 1);
});

// Guards against a count that a total loss forgets because writes of other requests' first crashes have to wait.
test("a second crash is written at once while first crashes wait", async t => {
    const { clock, start } = setUp(t);
    const { suspects, stop } = start("g-1", 0, 27);
    await clock.advance(100);
    for (let count = 0; count < 10; count++) {
        crash(clock, suspects, 1, false, identify(`r${count}`));
        await clock.advance(second);
    }
    crash(clock, suspects, 2);
    await clock.advance(100);
    stop();
    const { suspects: restarted } = start("g-2");
    await clock.advance(100);
    assert.equal(restarted.countCrashes(request).ofCaller, 2);
    assert.equal(restarted.countCrashes(identify("r9")).ofCaller, 1);
});

test("what happens while the store is away is written when it is back", async t => {
    const { clock, store, start } = setUp(t);
    store.faults.down = true;
    const { suspects } = start("g-1");
    await clock.advance(second);
    crash(clock, suspects, 2);
    await clock.advance(5 * second);
    store.faults.down = false;
    await clock.advance(40 * second);
    const { suspects: restarted } = start("g-2");
    await clock.advance(100);
    assert.equal(restarted.countCrashes(request).ofCaller, 2);
});

// Guards against objects of requests and instances that are gone, which nobody deletes.
test("objects whose reports have all lapsed are deleted by an instance that starts", async t => {
    const { clock, store, start } = setUp(t);
    const first = start("g-1");
    await clock.advance(100);
    crash(clock, first.suspects, 2);
    await clock.advance(100);
    assert.equal(await waitFor(clock, first.beginTrial(request)), true);
    first.stop();
    assert.equal((await store.list("crash-suspects/")).length, 2);
    clock.jump(26 * 3600 * second);
    start("g-2");
    await clock.advance(100);
    assert.deepEqual(await store.list("crash-suspects/"), []);
});

test("an object that is malformed is left out", async t => {
    const { clock, store, start } = setUp(t);
    await store.put("crash-suspects/of-g-9", { reports: 7 }, 0);
    const first = start("g-1");
    await clock.advance(100);
    crash(clock, first.suspects, 3);
    await clock.advance(100);
    const { suspects } = start("g-2");
    await clock.advance(100);
    assert.ok(suspects.rejectedMs(request) > 0);
});

test("a write whose response is lost does not end the writes", async t => {
    const { clock, store, start } = setUp(t);
    const { suspects } = start("g-1");
    await clock.advance(100);
    store.faults.loseWriteAnswers = 1;
    crash(clock, suspects, 1);
    await clock.advance(10 * second);
    crash(clock, suspects, 1);
    await clock.advance(10 * second);
    const { suspects: restarted } = start("g-2");
    await clock.advance(100);
    assert.equal(restarted.countCrashes(request).ofCaller, 2);
});

/** Lets time pass until the promise is settled. */
async function waitFor<Value>(clock: ManualClock, promise: Promise<Value>): Promise<Value> {
    let isSettled = false;
    const settle = () => {
        isSettled = true;
    };
    promise.then(settle, settle);
    while (!isSettled) {
        await clock.advance(10);
    }
    return promise;
}

/** Lets several instances know the same crashes and ask for a trial at the same moment. */
async function askAtOnce(t: TestContext, crashes: number, isStoreDown = false) {
    const { clock, store, start } = setUp(t);
    const instances = [0, 200, 400, 400, 400].map((delayMs, index) => start(`g-${index}`, delayMs));
    await clock.advance(100);
    crash(clock, instances[0]!.suspects, crashes);
    const reports = instances[0]!.suspects.reports();
    instances.forEach(({ suspects }) => reports.forEach(report => suspects.merge(report)));
    await clock.advance(31 * second);
    instances.forEach(({ suspects }) =>
        suspects.onChange(report =>
            clock.setTimer(10, () => instances.forEach(peer => peer.suspects.merge(report))),
        ),
    );
    store.faults.down = isStoreDown;
    const asked = instances.map(({ beginTrial }) => beginTrial(request));
    return { clock, store, instances, granted: await waitFor(clock, Promise.all(asked)) };
}

for (const crashes of [2, 3]) {
    // Guards against a trial that each instance begins by itself, since no message is under way (BUDGET).
    test(`after ${crashes} crashes, of instances that ask at the same moment one may send the request`, async t => {
        const { granted } = await askAtOnce(t, crashes);
        assert.equal(granted.filter(Boolean).length, 1);
    });
}

test("while the store is away, the instances leave the trial to the first of them", async t => {
    const { granted } = await askAtOnce(t, 2, true);
    assert.deepEqual(granted, [true, false, false, false, false]);
});

// Guards against retries beyond the bound by instances that can't agree on who makes them.
test("while the store is away, a quarantined request has to wait, five minutes at most", async t => {
    const { clock, granted, instances } = await askAtOnce(t, 3, true);
    assert.ok(!granted.includes(true));
    await clock.advance(300 * second);
    assert.equal(await waitFor(clock, instances[0]!.beginTrial(request)), true);
});

test("a store that responds late does not hold a request for long", async t => {
    const { clock, store, start } = setUp(t);
    const { suspects, beginTrial } = start("g-1");
    await clock.advance(100);
    crash(clock, suspects, 2);
    store.faults.delayMs = 5 * second;
    const askedAt = clock.now();
    assert.equal(await waitFor(clock, beginTrial(request)), true);
    assert.ok(clock.now() - askedAt <= 500, `${clock.now() - askedAt} ms`);
});

test("the store is asked for a bounded number of trials", async t => {
    const { clock, store, start } = setUp(t);
    const { suspects, beginTrial } = start("g-1");
    const identities = Array.from({ length: 50 }, (_, index) => identify(`r${index}`));
    identities.forEach(identity => crash(clock, suspects, 2, false, identity));
    await clock.advance(second);
    const { reads } = store.counters;
    const granted = await waitFor(clock, Promise.all(identities.map(identity => beginTrial(identity))));
    assert.ok(granted.every(Boolean), "harmless requests must be served");
    assert.equal(store.counters.reads - reads, 10);
});

test("a trial whose outcome nobody saw counts after a restart of all instances", async t => {
    const { clock, start } = setUp(t);
    const { suspects, beginTrial, stop } = start("g-1");
    await clock.advance(100);
    crash(clock, suspects, 2);
    await clock.advance(100);
    assert.equal(await waitFor(clock, beginTrial(request)), true);
    stop();
    await clock.advance(second);
    const restarted = start("g-2");
    await clock.advance(100);
    assert.ok(restarted.suspects.rejectedMs(request) > 0);
});
