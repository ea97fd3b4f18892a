import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
    MemberStatus,
    RequestClass,
    SteeringReason,
    createManualClock,
    createSilentLogger,
} from "@waxwingdale/core";
import type { ManualClock } from "@waxwingdale/core";
import type { Manifest } from "@waxwingdale/manifest";
import { PlanLimit, ShiftReason, createTrafficSteering } from "@waxwingdale/steering";
import type { EntrySteering, PlanObject, PlanRoute } from "@waxwingdale/steering";
import { createManifest, createMember, createView } from "./fixtures.js";
import type { FakeView } from "./fixtures.js";

const cap = 40;
const ramp = 20;

function createCappedManifest(maxIncreasePerSecond: number): Manifest {
    const manifest = createManifest();
    manifest.shiftCaps.forEach(pair => {
        pair.maxRequestsPerSecond = cap;
        pair.maxIncreasePerSecond = maxIncreasePerSecond;
    });
    return manifest;
}

function createRoute(perSecond: number, homePerSecond: number, changes: Partial<PlanRoute> = {}): PlanRoute {
    const offeredPerSecond = perSecond + homePerSecond;
    const shift = {
        region: "central",
        perSecond,
        share: perSecond / offeredPerSecond,
        reason: ShiftReason.Drain,
    };
    return {
        service: "register",
        home: "north",
        offeredPerSecond,
        homePerSecond,
        waitingPerSecond: 0,
        unplacedPerSecond: 0,
        shifts: perSecond > 0 ? [shift] : [],
        bounds: [],
        held: false,
        ...changes,
    };
}

function createPlan(step: number, routes: PlanRoute[], epoch = 1): PlanObject {
    return { epoch, step, generation: 1, routes };
}

interface Entry {
    id: string;
    view: FakeView;
    steering: EntrySteering;
    stop: AbortController;
}

function startEntry(
    clock: ManualClock,
    id: string,
    others: readonly string[],
    region = "north",
    increase = ramp,
): Entry {
    const rows = [id, ...others].map(name => createMember(name, region));
    const remoteMembers = ["north", "central", "south"]
        .filter(name => name !== region)
        .map(name => createMember(`${name}-1`, name));
    const view = createView(id, [...rows, ...remoteMembers]);
    const manifest = createCappedManifest(increase);
    const steering = createTrafficSteering({
        view,
        clock,
        logger: createSilentLogger(),
        accepted: () => ({ generation: 1, pushId: "p", formatVersion: 1, manifest }),
    });
    const stop = new AbortController();
    void steering.run(stop.signal);
    return { id, view, steering, stop };
}

function choose(entry: Entry, home?: string) {
    return entry.steering.chooseRegion("register", RequestClass.Lookup, home);
}

type Event =
    | {
          kind: "plan";
          perSecond: number;
          homePerSecond: number;
          epoch: number;
          cut: boolean;
          receivers: number;
      }
    | { kind: "replace"; index: number; delays: number[] }
    | { kind: "die"; index: number; delays: number[] }
    | { kind: "flap"; index: number; viewer: number; ticks: number };

const delays = fc.array(fc.integer({ min: 0, max: 35 }), { minLength: 6, maxLength: 6 });
const event: fc.Arbitrary<Event> = fc.oneof(
    {
        weight: 3,
        arbitrary: fc.record({
            kind: fc.constant("plan" as const),
            perSecond: fc.constantFrom(0, 30, 80, 80, 80),
            homePerSecond: fc.constantFrom(0, 100),
            epoch: fc.integer({ min: 1, max: 3 }),
            cut: fc.boolean(),
            receivers: fc.integer({ min: 0, max: 7 }),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("replace" as const), index: fc.nat(5), delays }) },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("flap" as const),
            index: fc.nat(5),
            viewer: fc.nat(5),
            ticks: fc.integer({ min: 2, max: 35 }),
        }),
    },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("die" as const), index: fc.nat(5), delays }) },
);

/** Simulates entries of one region whose views are up to 3.5 s late. Returns the times of the shifted requests. */
async function simulateEntries(
    events: readonly Event[],
    loads: readonly number[],
    increase: number,
): Promise<number[]> {
    const clock = createManualClock();
    const ids = ["a", "b", "c"];
    let entries = ids.map(id =>
        startEntry(
            clock,
            id,
            ids.filter(other => other !== id),
            "north",
            increase,
        ),
    );
    const shifted: number[] = [];
    const pending: { at: number; run: () => void }[] = [];
    const schedule = (steps: number, run: () => void) => pending.push({ at: clock.now() + steps * 100, run });
    let nextId = 0;
    let step = 0;
    let lastRates = new Map<string, number>();

    const announceChange = (delays: readonly number[], removed: string, added: string | undefined) => {
        entries.forEach((entry, i) => {
            schedule(delays[i % delays.length]!, () => {
                const rows = entry.view.members().filter(row => row.id !== removed && row.id !== added);
                entry.view.set(
                    added && added !== entry.id ? [...rows, createMember(added, "north")] : [...rows],
                );
            });
        });
    };

    const applyEvent = (change: Event) => {
        if (change.kind === "plan") {
            const route = createRoute(change.perSecond, change.homePerSecond + 1);
            route.shifts.forEach(
                shift => (shift.reducedBy = change.cut ? PlanLimit.RegionCapacity : undefined),
            );
            const plan = createPlan(++step, [route], change.epoch);
            entries
                .filter((_, i) => (change.receivers >> i) % 2 === 0)
                .forEach(entry => entry.steering.applyPlan(plan));
            return;
        }
        const removed = entries[change.index % entries.length]!;
        if (change.kind === "flap") {
            // One entry wrongly considers another one dead.
            const { view, id } = entries[change.viewer % entries.length]!;
            if (id !== removed.id) {
                view.set(view.members().filter(row => row.id !== removed.id));
                schedule(
                    change.ticks,
                    () =>
                        entries.includes(removed) &&
                        view.set([...view.members(), createMember(removed.id, "north")]),
                );
            }
            return;
        }
        if (change.kind === "die" && entries.length < 3) {
            return;
        }
        removed.stop.abort();
        entries = entries.filter(entry => entry !== removed);
        const added = change.kind === "replace" ? `z${nextId++}` : undefined;
        announceChange(change.delays, removed.id, added);
        if (added !== undefined) {
            entries.push(
                startEntry(
                    clock,
                    added,
                    entries.map(entry => entry.id),
                    "north",
                    increase,
                ),
            );
        }
    };

    /** Checks by how much the sum of the rates grew since the previous tick. */
    const checkRamp = () => {
        const rates = new Map(entries.map(entry => [entry.id, entry.steering.applied()[0]!.ratePerSecond]));
        const growth = [...rates].reduce(
            (sum, [id, rate]) => sum + Math.max(0, rate - (lastRates.get(id) ?? 0)),
            0,
        );
        assert.ok(growth <= increase / 10 + 1e-6, `the sum of the rates grew by ${growth} in 100 ms`);
        lastRates = rates;
    };

    for (let tick = 0; tick < 60 + events.length * 15; tick++) {
        const change = tick >= 60 && (tick - 60) % 15 === 0 ? events[(tick - 60) / 15] : undefined;
        if (change) {
            applyEvent(change);
        }
        await clock.advance(100);
        checkRamp();
        pending.filter(({ at }) => at <= clock.now()).forEach(({ run }) => run());
        pending.splice(0, pending.length, ...pending.filter(({ at }) => at > clock.now()));
        for (const [i, entry] of entries.entries()) {
            for (let k = 0; k < loads[(tick + i) % loads.length]!; k++) {
                if (choose(entry).region !== "north") {
                    shifted.push(clock.now());
                }
            }
        }
    }
    entries.forEach(entry => entry.stop.abort());
    return shifted;
}

// Guards against exceeding the cap in any second over all entries, and against jumps of the ramp.
test("all entries together respect the cap and the ramp for any plans, restarts and loads", async () => {
    const loads = fc.array(fc.constantFrom(0, 5, 30, 30), { minLength: 1, maxLength: 8 });
    const events = fc.array(event, { minLength: 2, maxLength: 14 });
    await fc.assert(
        fc.asyncProperty(events, loads, fc.constantFrom(ramp, 400), async (changes, load, increase) => {
            const start: Event = {
                kind: "plan",
                perSecond: 80,
                homePerSecond: 0,
                epoch: 1,
                cut: false,
                receivers: 0,
            };
            const times = await simulateEntries([start, ...changes], load, increase);
            for (let i = cap; i < times.length; i++) {
                assert.ok(times[i]! - times[i - cap]! > 1000, `more than ${cap} requests in a second`);
            }
        }),
        { seed: 6, numRuns: 40, endOnFailure: true },
    );
});

// Guards against an entry that jumps to the planned rate after a start or after missed steps of the plan.
test("an entry that starts when the plan is already at its full rate ramps up from zero", async () => {
    const clock = createManualClock();
    const entry = startEntry(clock, "a", []);
    entry.steering.applyPlan(createPlan(9, [createRoute(40, 10)]));
    await clock.advance(4900);
    assert.equal(entry.steering.applied()[0]!.ratePerSecond, 0);
    await clock.advance(1100);
    const rate = entry.steering.applied()[0]!.ratePerSecond;
    assert.ok(rate > 0 && rate <= 1.1 * ramp + 1e-6, `${rate}`);
    let shifted = 0;
    for (let i = 0; i < 50; i++) {
        await clock.advance(20);
        shifted += choose(entry).region === "central" ? 1 : 0;
    }
    // The rate grows from 20 to 40 in this second; the bucket may hold 2 requests more.
    assert.ok(shifted <= 32, `${shifted} shifted requests in the second`);
    entry.stop.abort();
});

// Guards against a paused entry that still uses its share of a cap after others have taken it over.
test("a resumed entry shifts nothing until the hold-down time of its share has passed", async () => {
    const clock = createManualClock();
    const entry = startEntry(clock, "a", ["b"]);
    entry.steering.applyPlan(createPlan(1, [createRoute(40, 10)]));
    await clock.advance(8000);
    assert.ok(entry.steering.applied()[0]!.ratePerSecond > 10);
    clock.jump(3000);
    const regions = new Set(Array.from({ length: 20 }, () => choose(entry).region));
    assert.deepEqual([...regions], ["north"]);
    await clock.advance(4800);
    assert.equal(entry.steering.applied()[0]!.ratePerSecond, 0);
    entry.stop.abort();
});

// Guards against an isolated entry that uses the whole cap.
test("an entry that loses contact with its region keeps its share of the cap", async () => {
    const clock = createManualClock();
    const entry = startEntry(clock, "a", ["b", "c", "d"]);
    await clock.advance(6000);
    entry.view.set([createMember("a", "north"), createMember("b", "north", { status: MemberStatus.Dead })]);
    await clock.advance(20_000);
    assert.equal(entry.steering.applied()[0]!.maxPerSecond, cap / 4);
    entry.stop.abort();
});

// Guards against a cap that remains partly unused after the planned shutdown of most entries.
test("an entry takes over the shares of entries that it saw leaving", async () => {
    const clock = createManualClock();
    const entry = startEntry(clock, "a", ["b", "c", "d"]);
    await clock.advance(6000);
    const others = ["b", "c", "d"].map(id => createMember(id, "north", { status: MemberStatus.Leaving }));
    entry.view.set([createMember("a", "north"), ...others]);
    await clock.advance(6000);
    assert.equal(entry.steering.applied()[0]!.maxPerSecond, cap / 4);
    entry.view.set([createMember("a", "north")]);
    await clock.advance(5200);
    assert.equal(entry.steering.applied()[0]!.maxPerSecond, cap);
    entry.stop.abort();
});

// Guards against use of the whole cap by both the entries of a fully shifted region and those of the target region.
test("a fully shifted region and the target share the cap equally, with a hold-down time at each change", async () => {
    const clock = createManualClock();
    const home = startEntry(clock, "a", []);
    const target = startEntry(clock, "b", [], "central");
    const getMax = () => {
        const find = (entry: Entry) =>
            entry.steering.applied().find(row => row.from === "north" && row.to === "central");
        return [find(home)!.maxPerSecond, find(target)!.maxPerSecond];
    };
    const step = async (plan: PlanObject, ms: number) => {
        [home, target].forEach(entry => entry.steering.applyPlan(plan));
        await clock.advance(ms);
        return getMax();
    };
    assert.deepEqual(await step(createPlan(1, [createRoute(20, 5)]), 6000), [cap, 0]);
    assert.deepEqual(await step(createPlan(2, [createRoute(20, 0)]), 4800), [cap / 2, 0]);
    await clock.advance(400);
    assert.deepEqual(getMax(), [cap / 2, cap / 2]);
    assert.deepEqual(await step(createPlan(3, [createRoute(20, 5)]), 4800), [cap / 2, 0]);
    await clock.advance(400);
    assert.deepEqual(getMax(), [cap, 0]);
    [home, target].forEach(entry => entry.stop.abort());
});

// Guards against two entries that both use the remainder of the division of the cap.
test("an entry uses no remainder of the cap within the hold-down time of a view change", async () => {
    const clock = createManualClock();
    const entries = ["a", "b", "c"].map((id, _, ids) =>
        startEntry(
            clock,
            id,
            ids.filter(other => other !== id),
        ),
    );
    await clock.advance(6000);
    const getMax = () => entries.map(entry => entry.steering.applied()[0]!.maxPerSecond);
    assert.deepEqual(getMax(), [14, 13, 13]);
    const [, second, third] = entries as [Entry, Entry, Entry];
    second.view.set([createMember("b", "north"), createMember("c", "north")]);
    third.view.set([createMember("b", "north"), createMember("c", "north")]);
    await clock.advance(4800);
    assert.deepEqual(getMax(), [14, 13, 13]);
    await clock.advance(400);
    assert.deepEqual(getMax(), [14, 20, 20]);
    entries.forEach(entry => entry.stop.abort());
});

// Guards against shares that differ from the plan, and against long runs of requests to one region.
test("requests are distributed evenly by the plan's shares", async () => {
    const clock = createManualClock();
    const entry = startEntry(clock, "a", []);
    entry.steering.applyPlan(createPlan(1, [createRoute(10, 30)]));
    await clock.advance(9000);
    const picks: string[] = [];
    for (let i = 0; i < 80; i++) {
        // A new plan before each request must not reset the credits of the regions.
        entry.steering.applyPlan(createPlan(2 + i, [createRoute(10, 30)]));
        picks.push(choose(entry).region);
        await clock.advance(200);
    }
    for (let i = 0; i + 4 <= picks.length; i += 4) {
        assert.equal(picks.slice(i, i + 4).filter(region => region === "central").length, 1);
    }
    entry.stop.abort();
});

// Guards against sending requests to a drained home region without planned traffic, and against exceeding the cap.
test("above the cap, a request goes to the home region if the plan allows it, otherwise it is rejected", async () => {
    for (const [homePerSecond, expected] of [
        [10, SteeringReason.Home],
        [0, SteeringReason.ShiftCap],
    ] as const) {
        const clock = createManualClock();
        const entry = startEntry(clock, "a", []);
        entry.steering.applyPlan(createPlan(1, [createRoute(40, homePerSecond)]));
        await clock.advance(12_000);
        const reasons = Array.from({ length: 60 }, () => choose(entry).reason);
        assert.ok(reasons.includes(SteeringReason.Plan));
        assert.equal(reasons.at(-1), expected);
        entry.stop.abort();
    }
});

// Guards against a region that rejects its own callers because the planner lost contact with it in a network partition.
test("an entry ignores a plan that treats its own region as dead", async () => {
    const clock = createManualClock();
    const entry = startEntry(clock, "a", []);
    const route = createRoute(20, 0);
    route.shifts.forEach(shift => (shift.reason = ShiftReason.DeadRegion));
    entry.steering.applyPlan(createPlan(1, [route]));
    await clock.advance(8000);
    const reasons = new Set(Array.from({ length: 60 }, () => choose(entry).reason));
    assert.deepEqual([...reasons], [SteeringReason.Home]);
    assert.equal(entry.steering.applied()[0]!.maxPerSecond, cap);
    entry.stop.abort();
});

// Guards against requests that fail for lack of a local backend server although another region could serve them.
test("without a local backend server, requests go to the nearest serving region, within the cap", async () => {
    const clock = createManualClock();
    const entry = startEntry(clock, "a", []);
    await clock.advance(8000);
    assert.equal(choose(entry).reason, SteeringReason.Home);
    entry.steering.recordNoLocalBackend("register");
    await clock.advance(1000);
    assert.deepEqual(choose(entry), { region: "central", reason: SteeringReason.NoLocalBackend });
    entry.view.set([createMember("a", "north"), createMember("s", "south")]);
    await clock.advance(500);
    assert.deepEqual(choose(entry), { region: "south", reason: SteeringReason.NoLocalBackend });
    await clock.advance(1100);
    assert.deepEqual(choose(entry), { region: "north", reason: SteeringReason.Home });
    entry.stop.abort();
});

// Guards against callers of a dead region that bypass the cap by direct access to another region.
test("requests from callers of a dead region are limited by the entries that receive them", async () => {
    const clock = createManualClock();
    const entry = startEntry(clock, "a", [], "central");
    await clock.advance(6000);
    const deadMember = createMember("n1", "north", { status: MemberStatus.Dead });
    entry.view.set([createMember("a", "central"), deadMember]);
    entry.steering.applyPlan(createPlan(1, [createRoute(40, 0)]));
    // Other entries may still consider the dead region live, so its share is not used yet.
    await clock.advance(4800);
    assert.equal(choose(entry, "north").reason, SteeringReason.ShiftCap);
    await clock.advance(8000);
    const reasons = Array.from({ length: 60 }, () => choose(entry, "north").reason);
    const taken = reasons.filter(reason => reason === SteeringReason.Plan).length;
    assert.ok(taken > 0 && taken <= cap, `${taken}`);
    assert.equal(choose(entry, "central").reason, SteeringReason.Home);
    // Membership removes dead entries after some time.
    entry.view.set([createMember("a", "central")]);
    await clock.advance(200);
    assert.notEqual(choose(entry, "north").reason, SteeringReason.Home);
    entry.stop.abort();
});

// Guards against unlimited traffic in the seconds between the failure of a region and its detection by membership.
test("callers of another live region are served there, and rejected while no entry there is live", async () => {
    const clock = createManualClock();
    const entry = startEntry(clock, "a", [], "central");
    await clock.advance(6000);
    const home = createMember("n1", "north");
    entry.view.set([createMember("a", "central"), home]);
    entry.steering.applyPlan(createPlan(1, [createRoute(40, 0)]));
    const near = choose(entry, "north");
    assert.deepEqual([near.region, near.reason], ["north", SteeringReason.Home], "the region is live");
    entry.view.set([createMember("a", "central"), { ...home, status: MemberStatus.Leaving }]);
    assert.equal(choose(entry, "north").reason, SteeringReason.ShiftCap, "no entry of the region is live");
    entry.stop.abort();
});
