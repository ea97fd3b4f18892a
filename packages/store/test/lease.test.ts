import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createManualClock, createRandom, createSilentLogger } from "@waxwingdale/core";
import type { ManualClock, ObjectStore } from "@waxwingdale/core";
import { MemoryObjectStore, createFencedWriter, createLease } from "@waxwingdale/store";
import type { FencedOrder, Lease, LeaseOptions } from "@waxwingdale/store";
import { RecordingStore, RemoteStore } from "./remote-store.js";
import type { Network } from "./remote-store.js";

const key = "lease/planner";
const ttlMs = 2000;

function startLease(
    store: ObjectStore,
    holder: string,
    clock: ManualClock,
    overrides?: Partial<LeaseOptions>,
) {
    const controller = new AbortController();
    const random = createRandom(holder.charCodeAt(0));
    const logger = createSilentLogger();
    const lease = createLease({ store, key, holder, clock, random, logger, ttlMs, ...overrides });
    const done = lease.run(controller.signal);
    return { lease, stop: () => (controller.abort(), done) };
}

test("a second process waits for the lease of an unresponsive holder to expire", async () => {
    const clock = createManualClock();
    const store = new MemoryObjectStore(clock);
    const pausedClock = createManualClock();
    const first = startLease(store, "a", pausedClock);
    await pausedClock.advance(0);
    assert.equal(first.lease.epoch(), 1);
    const second = startLease(store, "b", clock);
    await clock.advance(ttlMs - 1);
    assert.equal(second.lease.isHeld(), false);
    await clock.advance(1000);
    assert.equal(second.lease.epoch(), 2);
    pausedClock.jump(ttlMs + 999);
    assert.equal(first.lease.isHeld(), false, "the paused holder detects the loss before it runs again");
    await pausedClock.advance(1000);
    assert.equal(first.lease.isHeld(), false);
});

test("an expired lease that no other process took is reacquired with a higher epoch", async () => {
    const clock = createManualClock();
    const { lease } = startLease(new MemoryObjectStore(clock), "a", clock);
    await clock.advance(0);
    clock.jump(ttlMs);
    assert.equal(lease.isHeld(), false);
    await clock.advance(0);
    assert.equal(lease.epoch(), 2);
});

test("a holder keeps the lease when responses to renewals are lost", async () => {
    const clock = createManualClock();
    const store = new MemoryObjectStore(clock);
    const { lease } = startLease(store, "a", clock);
    store.faults.loseWriteAnswers = 5;
    for (let i = 0; i < 6; i++) {
        await clock.advance(ttlMs / 4);
        assert.equal(lease.epoch(), 1);
    }
});

test("a renewal whose response and read-back were lost counts from the time it was sent", async () => {
    const storeClock = createManualClock();
    const shared = new MemoryObjectStore(storeClock);
    const clock = createManualClock();
    const network: Network = { down: false, delayMs: 0, loseResponses: 0 };
    const first = startLease(new RemoteStore(shared, storeClock, clock, network), "a", clock, {
        renewMs: 600,
    });
    await clock.advance(1);
    await clock.advance(1);
    const second = startLease(shared, "b", storeClock, { renewMs: 20 });
    const run = async (ms: number) => {
        for (let passed = 0; passed < ms; passed += 10) {
            await clock.advance(10);
            await storeClock.advance(10);
            assert.ok(!(first.lease.isHeld() && second.lease.isHeld()), "both hold the lease");
        }
    };
    await run(500);
    network.loseResponses = 2;
    await run(900);
    network.down = true;
    await run(3000);
    assert.equal(second.lease.epoch(), 2);
});

test("a renewal response that is processed after a pause does not extend the lease", async () => {
    const storeClock = createManualClock();
    const shared = new MemoryObjectStore(storeClock);
    const clock = createManualClock();
    const network: Network = { down: false, delayMs: 0, loseResponses: 0 };
    const { lease } = startLease(new RemoteStore(shared, storeClock, clock, network), "a", clock);
    await clock.advance(300);
    network.delayMs = 100;
    await clock.advance(300);
    const { version } = (await shared.get(key))!;
    await storeClock.advance(100);
    assert.notEqual((await shared.get(key))!.version, version, "the renewal took effect");
    clock.jump(ttlMs);
    await clock.advance(0);
    assert.equal(lease.isHeld(), false);
});

test("a released lease is taken at the next check, and epochs increase even if the record is deleted", async () => {
    const clock = createManualClock();
    const store = new MemoryObjectStore(clock);
    const first = startLease(store, "a", clock);
    const second = startLease(store, "b", clock, { knownEpoch: () => 40 });
    await clock.advance(100);
    await first.stop();
    await clock.advance(ttlMs / 2);
    assert.equal(second.lease.epoch(), 41);
    await second.stop();
    await store.delete(key, (await store.get(key))!.version);
    const third = startLease(store, "c", clock, { knownEpoch: () => 41 });
    await clock.advance(0);
    assert.equal(third.lease.epoch(), 42);
});

test("a process that is not a candidate makes no calls", async () => {
    const clock = createManualClock();
    const store = new MemoryObjectStore(clock);
    startLease(store, "a", clock, { isCandidate: () => false });
    await clock.advance(10 * ttlMs);
    assert.equal(store.counters.reads + store.counters.writes, 0);
});

interface Step {
    ms: number;
    /** Index of the process that is paused during the step; out of range if none is. */
    paused: number;
    /** Network between each process and the store. */
    networks: Network[];
}

const sliceMs = 50;
const networkArbitrary: fc.Arbitrary<Network> = fc.record({
    down: fc.integer({ min: 0, max: 4 }).map(n => n === 0),
    delayMs: fc.constantFrom(0, 0, 60, 120, 330, 500, 900),
    loseResponses: fc.constantFrom(0, 0, 1, 2, 3, 6),
});
const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    ms: fc.integer({ min: 1, max: 60 }).map(slices => slices * sliceMs),
    paused: fc.integer({ min: -3, max: 2 }),
    networks: fc.array(networkArbitrary, { minLength: 3, maxLength: 3 }),
});

interface Process {
    clock: ManualClock;
    lease: Lease;
    network: Network;
}

function startProcess(shared: ObjectStore, storeClock: ManualClock, index: number): Process {
    const clock = createManualClock(index * 12_345);
    const network: Network = { down: false, delayMs: 0, loseResponses: 0 };
    const store = new RemoteStore(shared, storeClock, clock, network);
    const { lease } = startLease(store, `${index}`, clock, { renewMs: index === 0 ? 650 : 100 });
    const getOrder = (value: unknown) => value as FencedOrder;
    const writer = createFencedWriter({ store, key: "plan", lease, getOrder });
    const work = async () => {
        for (;;) {
            await writer.write(order => ({ ...order, by: index })).catch(() => undefined);
            await clock.sleep(150);
        }
    };
    void work();
    return { clock, lease, network };
}

/** Runs a step in lockstep; for a paused process, the whole step passes at once. */
async function runStep(step: Step, storeClock: ManualClock, processes: Process[]): Promise<void> {
    const { ms, paused, networks } = step;
    processes.forEach(({ network }, index) => Object.assign(network, networks[index]));
    const running = processes.filter((_, index) => index !== paused);
    for (let passed = 0; passed < ms; passed += sliceMs) {
        await storeClock.advance(sliceMs);
        for (const { clock } of running) {
            await clock.advance(sliceMs);
        }
        assert.ok(running.filter(({ lease }) => lease.isHeld()).length <= 1, "two processes hold the lease");
    }
    processes[paused]?.clock.jump(ms);
    assert.ok(
        processes.filter(({ lease }) => lease.isHeld()).length <= 1,
        "a resumed process holds the lease as well",
    );
}

function checkHistory(shared: RecordingStore): void {
    let last = { epoch: 0, step: 0 };
    const owners = new Map<number, string>();
    let lastEpoch = 0;
    for (const change of shared.changes) {
        if (change.key === "plan") {
            const order = change.value as FencedOrder;
            const grows = order.epoch > last.epoch || (order.epoch === last.epoch && order.step > last.step);
            assert.ok(grows, `${JSON.stringify(order)} was written after ${JSON.stringify(last)}`);
            last = order;
        } else {
            const { epoch, session } = change.value as { epoch: number; session: string };
            assert.ok(epoch >= lastEpoch, "the epoch decreased");
            assert.equal(owners.get(epoch) ?? session, session, "two processes had the same epoch");
            owners.set(epoch, session);
            lastEpoch = epoch;
        }
    }
}

test("pauses, outages, slow and lost responses never let two holders write out of order", async () => {
    const run = async (steps: Step[], count: number) => {
        const storeClock = createManualClock();
        const shared = new RecordingStore(storeClock);
        const processes = Array.from({ length: count }, (_, index) =>
            startProcess(shared, storeClock, index),
        );
        for (const step of steps) {
            await runStep(step, storeClock, processes);
        }
        checkHistory(shared);
    };
    const steps = fc.array(stepArbitrary, { minLength: 3, maxLength: 14 });
    await fc.assert(fc.asyncProperty(steps, fc.integer({ min: 2, max: 3 }), run), {
        numRuns: Number(process.env.N ?? 150),
        seed: 7,
    });
});
