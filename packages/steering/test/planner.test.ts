import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createManualClock, createSilentLogger } from "@waxwingdale/core";
import type { ManualClock } from "@waxwingdale/core";
import { MemoryObjectStore } from "@waxwingdale/store";
import { createPlanner, createTrafficSteering, planKey, planTraffic } from "@waxwingdale/steering";
import type { PlanObject, PlannerLease } from "@waxwingdale/steering";
import { createInput, createMember, createView } from "./fixtures.js";

interface FakeLease extends PlannerLease {
    held: boolean;
    current: number;
}

function createLease(held: boolean, epoch: number): FakeLease {
    return {
        held,
        current: epoch,
        isHeld() {
            return this.held;
        },
        epoch() {
            return this.current;
        },
    };
}

function startPlanner(
    clock: ManualClock,
    store: MemoryObjectStore,
    lease: PlannerLease,
    signal: AbortSignal,
) {
    const stored: PlanObject[] = [];
    /** Plans that are computed again from the reported inputs, with the epoch and step of the stored ones. */
    const recomputed: PlanObject[] = [];
    const input = createInput();
    const accepted = { generation: 1, pushId: "p", formatVersion: 1, manifest: input.manifest };
    const planner = createPlanner({
        store,
        lease,
        clock,
        logger: createSilentLogger(),
        observe: () => ({ ...input, accepted }),
        onPlan: plan => stored.push(plan),
        onPlanInput: (planInput, plan) => recomputed.push({ ...plan, ...planTraffic(planInput) }),
    });
    void planner.run(signal);
    return { input, stored, recomputed, planner };
}

async function readPlan(store: MemoryObjectStore): Promise<PlanObject> {
    return (await store.get(planKey))!.value as PlanObject;
}

// Guards against a previous lease holder whose plan replaces, or is applied after, one of the new holder.
test("the epoch of the plan never decreases when two planners both consider themselves lease holders", async () => {
    const event = fc.record({
        holder: fc.constantFrom(0, 1),
        paused: fc.boolean(),
        delayMs: fc.constantFrom(0, 0, 700, 2500),
        down: fc.boolean(),
        lost: fc.integer({ min: 0, max: 1 }),
        offered: fc.integer({ min: 100, max: 700 }),
    });
    await fc.assert(
        fc.asyncProperty(fc.array(event, { minLength: 2, maxLength: 10 }), async events => {
            const clock = createManualClock();
            const store = new MemoryObjectStore(clock);
            const stop = new AbortController();
            const leases = [createLease(true, 1), createLease(false, 0)];
            const planners = leases.map(lease => startPlanner(clock, store, lease, stop.signal));
            let epoch = 1;
            for (const { holder, paused, delayMs, down, lost, offered } of events) {
                const [next, former] = [leases[holder]!, leases[1 - holder]!];
                if (!next.held || next.current < epoch) {
                    next.held = true;
                    next.current = ++epoch;
                    // A paused previous holder has not noticed yet that it lost the lease.
                    former.held = paused && former.held;
                }
                planners.forEach(({ input }) => (input.demands[0]!.offeredPerSecond = offered));
                Object.assign(store.faults, { delayMs, down, loseWriteAnswers: lost });
                await clock.advance(3000);
            }
            stop.abort();
            const { changes } = await readHistory(store);
            const plans = changes.map(change => change.value as PlanObject);
            for (let i = 1; i < plans.length; i++) {
                assert.ok(plans[i]!.epoch >= plans[i - 1]!.epoch, "the epoch does not decrease");
                assert.equal(plans[i]!.step, plans[i - 1]!.step + 1);
            }
        }),
        { seed: 4, numRuns: 60 },
    );
});

function readHistory(store: MemoryObjectStore) {
    Object.assign(store.faults, { delayMs: 0, down: false });
    return store.watch(planKey, 0, 0);
}

// Guards against late plans of a smaller epoch or an earlier step, for example from a peer.
test("an entry rejects a plan that is not newer than its own", () => {
    const position = fc.record({
        epoch: fc.integer({ min: 0, max: 4 }),
        step: fc.integer({ min: 0, max: 4 }),
    });
    fc.assert(
        fc.property(fc.array(position), positions => {
            const steering = createTrafficSteering({
                view: createView("n1", [createMember("n1", "north")]),
                clock: createManualClock(),
                logger: createSilentLogger(),
                accepted: () => undefined,
            });
            for (const { epoch, step } of positions) {
                const before = steering.currentPlan();
                steering.applyPlan({ epoch, step, generation: 1, routes: [] });
                const after = steering.currentPlan()!;
                const isGreater =
                    before === undefined ||
                    after.epoch > before.epoch ||
                    (after.epoch === before.epoch && after.step > before.step);
                assert.ok(after === before || isGreater);
            }
        }),
        { seed: 5 },
    );
});

// Guards against a write for every step, which would waste the store's write budget.
test("an unchanged plan is written once", async () => {
    const clock = createManualClock();
    const store = new MemoryObjectStore(clock);
    const stop = new AbortController();
    const { input } = startPlanner(clock, store, createLease(true, 1), stop.signal);
    for (let i = 0; i < 30; i++) {
        input.demands[0]!.offeredPerSecond = 100 + i;
        await clock.advance(1000);
    }
    stop.abort();
    assert.equal(store.counters.writes, 1);
});

// Guards against a trace that records another input than the one the stored plan was computed from.
test("each stored plan is reported with the input that it was computed from", async () => {
    const clock = createManualClock();
    const store = new MemoryObjectStore(clock);
    const stop = new AbortController();
    const { input, stored, recomputed } = startPlanner(clock, store, createLease(true, 1), stop.signal);
    for (let i = 0; i < 5; i++) {
        input.demands[0]!.offeredPerSecond = 600 + 50 * i;
        await clock.advance(1000);
    }
    stop.abort();
    assert.ok(stored.length > 3, `${stored.length} plans`);
    assert.deepEqual(recomputed, stored);
});

// Guards against a planner that stops after a lost response, and against writing the same step twice.
test("the planner reads the plan back after a lost response", async () => {
    const clock = createManualClock();
    const store = new MemoryObjectStore(clock);
    const stop = new AbortController();
    store.faults.loseWriteAnswers = 1;
    const { stored } = startPlanner(clock, store, createLease(true, 3), stop.signal);
    await clock.advance(10);
    stop.abort();
    assert.deepEqual(
        stored.map(plan => [plan.epoch, plan.step]),
        [[3, 1]],
    );
});

// Guards against writing a plan after the lease has ended during its computation.
test("no plan is written if the lease ends before the write", async () => {
    const clock = createManualClock();
    const store = new MemoryObjectStore(clock);
    const stop = new AbortController();
    const lease = createLease(true, 1);
    store.faults.delayMs = 500;
    startPlanner(clock, store, lease, stop.signal);
    await clock.advance(100);
    lease.held = false;
    await clock.advance(5000);
    stop.abort();
    assert.equal(store.counters.writes, 0);
});

// Guards against loss of the plan in an outage of the store, and against a sudden shift after it.
test("the plan is kept while the store is unavailable, and the ramp continues from it", async () => {
    const clock = createManualClock();
    const store = new MemoryObjectStore(clock);
    const stop = new AbortController();
    const { input } = startPlanner(clock, store, createLease(true, 1), stop.signal);
    input.demands[0]!.offeredPerSecond = 800;
    await clock.advance(2500);
    const before = await readPlan(store);
    store.faults.down = true;
    await clock.advance(60_000);
    store.faults.down = false;
    assert.deepEqual(await readPlan(store), before);
    await clock.advance(1000);
    stop.abort();
    const rate = (plan: PlanObject) => plan.routes[0]!.shifts[0]!.perSecond;
    const after = await readPlan(store);
    assert.ok(
        rate(after) > rate(before) && rate(after) <= rate(before) + 20,
        `${rate(before)}, ${rate(after)}`,
    );
});
