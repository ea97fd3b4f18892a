import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import type { DrainSpec, Manifest } from "@waxwingdale/manifest";
import { PlanLimit, ShiftReason, findRoute, planTraffic, predictDrain } from "@waxwingdale/steering";
import type { Plan, PlanInput } from "@waxwingdale/steering";
import {
    createCapacities,
    createDemand,
    createInput,
    createManifest,
    regions,
    startTime,
} from "./fixtures.js";

const epsilon = 1e-3;

function runSteps(input: PlanInput, steps: number): Plan {
    let previous = input.previous;
    for (let i = 0; i < steps; i++) {
        previous = planTraffic({ ...input, previous });
    }
    return previous!;
}

function sumPairRate(plan: Plan | undefined, from: string, to: string): number {
    return (plan?.routes ?? [])
        .filter(route => route.home === from)
        .flatMap(route => route.shifts)
        .filter(shift => shift.region === to)
        .reduce((sum, shift) => sum + shift.perSecond, 0);
}

function getLoad(plan: Plan, service: string, region: string): number {
    const inflow = plan.routes
        .filter(route => route.service === service)
        .flatMap(route => route.shifts)
        .filter(shift => shift.region === region)
        .reduce((sum, shift) => sum + shift.perSecond, 0);
    return inflow + findRoute(plan, service, region)!.homePerSecond;
}

const drainNorth: DrainSpec = { place: "north", startsAt: new Date(startTime).toISOString() };

interface Step {
    offered: number[];
    demandAges: number[];
    servers: number[];
    coldServers: number;
    capacityAges: number[];
    dead: string[];
    drained: string[];
    cap: number;
    megabits: number;
    seconds: number;
}

const age = fc.constantFrom(0, 0, 0, 4000, 6000);
const stepArbitrary: fc.Arbitrary<Step> = fc.record({
    offered: fc.array(fc.integer({ min: 0, max: 900 }), { minLength: 6, maxLength: 6 }),
    demandAges: fc.array(age, { minLength: 6, maxLength: 6 }),
    servers: fc.array(fc.integer({ min: 0, max: 12 }), { minLength: 6, maxLength: 6 }),
    coldServers: fc.integer({ min: 0, max: 4 }),
    capacityAges: fc.array(age, { minLength: 6, maxLength: 6 }),
    dead: fc.subarray(regions, { maxLength: 2 }),
    drained: fc.subarray(regions, { maxLength: 2 }),
    cap: fc.constantFrom(0, 50, 300, 300),
    megabits: fc.constantFrom(0.1, 0.3, 100),
    seconds: fc.constantFrom(0, 0.5, 1, 60),
});

function toInput(step: Step, previous: Plan | undefined): PlanInput {
    const base = createManifest();
    const manifest: Manifest = {
        ...base,
        shiftCaps: base.shiftCaps.map(cap => ({ ...cap, maxRequestsPerSecond: step.cap })),
        links: base.links.map(link => ({ ...link, megabitsPerSecond: step.megabits })),
        drains: step.drained.map(place => ({ ...drainNorth, place })),
    };
    const keys = regions.flatMap(region => ["register", "archive"].map(service => ({ service, region })));
    return createInput({
        manifest,
        previous,
        demands: keys.map(({ service, region }, i) =>
            createDemand(service, region, step.offered[i]!, { ageMs: step.demandAges[i] }),
        ),
        capacities: keys.map(({ service, region }, i) => ({
            service,
            site: `${region}-1`,
            warmServers: step.servers[i]!,
            coldServers: step.coldServers,
            meanServiceMs: 60,
            ageMs: step.capacityAges[i]!,
        })),
        deadRegions: new Set(step.dead),
        secondsSincePrevious: step.seconds,
    });
}

/** Expected rate of a region's servers: 3 slots, 60 ms, cold servers count half, site rate 1000. */
function getExpectedCapacity(input: PlanInput, service: string, region: string): number {
    const report = input.capacities.find(row => row.service === service && row.site === `${region}-1`)!;
    return Math.min(1000, ((report.warmServers + report.coldServers / 2) * 3 * 1000) / 60);
}

function checkPlan(input: PlanInput, plan: Plan): void {
    const { manifest } = input;
    for (const route of plan.routes) {
        const shifted = route.shifts.reduce((sum, shift) => sum + shift.perSecond, 0);
        const sum = route.homePerSecond + shifted + route.unplacedPerSecond;
        assert.ok(Math.abs(sum - route.offeredPerSecond) < epsilon, "conservation");
        assert.ok(route.homePerSecond >= 0 && route.unplacedPerSecond >= 0, "no negative rate");
        const { service, home } = route;
        for (const shift of route.shifts.filter(({ region }) => findRoute(plan, service, region)!.held)) {
            const before = findRoute(input.previous, service, home)?.shifts.find(
                row => row.region === shift.region,
            );
            assert.ok(shift.perSecond <= (before?.perSecond ?? 0) + epsilon, "no increase on stale reports");
        }
        if (input.deadRegions.has(home)) {
            assert.equal(getLoad(plan, service, home), 0, "no traffic goes to a dead region");
        } else if (!route.held) {
            const load = getLoad(plan, service, home);
            assert.ok(load <= getExpectedCapacity(input, service, home) + epsilon, `load of ${home}`);
        }
    }
    for (const { from, to, maxRequestsPerSecond, maxIncreasePerSecond } of manifest.shiftCaps) {
        const rate = sumPairRate(plan, from, to);
        assert.ok(rate <= maxRequestsPerSecond + epsilon, "cap of the pair");
        const increase = rate - sumPairRate(input.previous, from, to);
        const pace = Math.min(1, input.secondsSincePrevious);
        assert.ok(increase <= maxIncreasePerSecond * pace + epsilon, "ramp of the pair");
    }
    for (const link of manifest.links) {
        const requests = input.deadRegions.has(link.from) ? 0 : sumPairRate(plan, link.from, link.to) * 500;
        const responses = input.deadRegions.has(link.to) ? 0 : sumPairRate(plan, link.to, link.from) * 2000;
        const megabits = ((requests + responses) * 8) / 1e6;
        assert.ok(megabits <= link.megabitsPerSecond * 0.9 + epsilon, "link");
    }
}

// Guards against an overloaded region or link, an exceeded cap or ramp, and traffic that is lost or counted twice.
test("every step of any sequence of inputs respects all limits and conserves traffic", () => {
    fc.assert(
        fc.property(fc.array(stepArbitrary, { minLength: 1, maxLength: 12 }), steps => {
            let previous: Plan | undefined;
            for (const step of steps) {
                const input = toInput(step, previous);
                const plan = planTraffic(input);
                checkPlan(input, plan);
                previous = plan;
            }
        }),
        { seed: 1, numRuns: 400 },
    );
});

// Guards against plans that depend on the order of reports, the time of day or state kept between calls.
test("the same input gives the same plan", () => {
    fc.assert(
        fc.property(stepArbitrary, stepArbitrary, (first, second) => {
            const base = toInput(second, planTraffic(toInput(first, undefined)));
            const doubles = base.demands.map(row => ({ ...row, offeredPerSecond: row.offeredPerSecond + 1 }));
            const input = { ...base, demands: [...base.demands, ...doubles] };
            const shuffled = {
                ...input,
                demands: [...input.demands].reverse(),
                capacities: [...input.capacities].reverse(),
            };
            assert.deepEqual(planTraffic(shuffled), planTraffic(input));
        }),
        { seed: 2 },
    );
});

// Guards against decisions based on stale measurements.
test("reports older than 5 s move no traffic", () => {
    fc.assert(
        fc.property(fc.array(stepArbitrary, { minLength: 1, maxLength: 6 }), stepArbitrary, (steps, last) => {
            const live = { dead: [], drained: [], cap: 300, megabits: 100 };
            let previous: Plan | undefined;
            for (const step of steps) {
                previous = planTraffic(toInput({ ...step, ...live }, previous));
            }
            const old = Array<number>(6).fill(5001);
            const plan = planTraffic(
                toInput({ ...last, ...live, demandAges: old, capacityAges: old }, previous),
            );
            const rates = (routes: Plan["routes"]) =>
                routes.map(route => [
                    route.homePerSecond,
                    route.unplacedPerSecond,
                    ...route.shifts.map(shift => [shift.region, shift.perSecond]),
                ]);
            assert.deepEqual(rates(plan.routes), rates(previous!.routes));
        }),
        { seed: 3 },
    );
});

// Guards against traffic that remains in a dead region or exceeds the cap when it is shifted.
test("the traffic of a dead region is shifted to the nearest region first, within ramp and cap", () => {
    const demands = [
        createDemand("register", "north", 480, { ageMs: 60_000 }),
        createDemand("register", "central", 250),
        createDemand("register", "south", 250),
    ];
    const input = createInput({ demands, deadRegions: new Set(["north"]) });
    const first = planTraffic(input);
    assert.equal(sumPairRate(first, "north", "central"), 20);
    assert.equal(sumPairRate(first, "north", "south"), 20);
    const settled = runSteps(input, 60);
    const route = findRoute(settled, "register", "north")!;
    // Each target sustains 500, or 450 with headroom, of which its own traffic uses 250.
    assert.deepEqual(
        route.shifts.map(shift => [shift.region, Math.round(shift.perSecond), shift.reason]),
        [
            ["central", 200, ShiftReason.DeadRegion],
            ["south", 200, ShiftReason.DeadRegion],
        ],
    );
    assert.equal(Math.round(route.unplacedPerSecond), 80);
    assert.deepEqual(
        route.bounds.map(bound => bound.limit),
        [PlanLimit.RegionCapacity, PlanLimit.RegionCapacity],
    );
});

// Guards against one of two dead regions using all headroom, and against overload of the remaining region.
test("two dead regions share the headroom of the third", () => {
    const demands = regions.map(region => createDemand("register", region, 300));
    const manifest = createManifest();
    manifest.shiftCaps.forEach(cap => (cap.maxIncreasePerSecond = 200));
    manifest.services[0]!.backend.warmUpSeconds = 0;
    const plan = runSteps(createInput({ manifest, demands, deadRegions: new Set(["north", "south"]) }), 60);
    const [north, south] = [sumPairRate(plan, "north", "central"), sumPairRate(plan, "south", "central")];
    assert.ok(Math.abs(north + south - 150) < 1, `${north} + ${south}`);
    assert.ok(Math.abs(north - south) < 30, `${north} and ${south}`);
});

// Guards against treating missing reports as the failure of a region.
test("a region without recent reports keeps its traffic", () => {
    const capacities = createCapacities().map(row =>
        row.site === "north-1" ? { ...row, ageMs: 9000 } : row,
    );
    const previous = planTraffic(createInput());
    const route = findRoute(planTraffic(createInput({ capacities, previous })), "register", "north")!;
    assert.deepEqual([route.homePerSecond, route.held], [100, true]);
});

// Guards against drains that start early, skip the ramp, lose traffic, or have no predicted end.
test("a drain starts at its start time and takes as long as predicted", () => {
    const manifest = createManifest({ drains: [drainNorth] });
    const input = createInput({ manifest });
    assert.deepEqual(
        findRoute(planTraffic({ ...input, wallTime: startTime - 1 }), "register", "north")!.shifts,
        [],
    );
    const first = findRoute(planTraffic(input), "register", "north")!;
    assert.equal(first.shifts[0]!.reason, ShiftReason.Drain);
    assert.ok(first.homePerSecond > 0 && first.unplacedPerSecond === 0);
    const { seconds, waitingPerSecond } = predictDrain(input, drainNorth);
    assert.equal(waitingPerSecond, 0);
    assert.ok(findRoute(runSteps(input, seconds - 1), "register", "north")!.homePerSecond > 0);
    assert.equal(findRoute(runSteps(input, seconds), "register", "north")!.homePerSecond, 0);
});

// Guards against overload of the home region's cold caches when all traffic returns at the end of a drain.
test("traffic returns to its home region along the ramp after a drain", () => {
    const manifest = createManifest({
        drains: [{ ...drainNorth, endsAt: new Date(startTime + 1).toISOString() }],
    });
    const drained = runSteps(createInput({ manifest }), 30);
    const back = { ...createInput({ manifest }), wallTime: startTime + 1, previous: drained };
    const step = planTraffic(back);
    const returned = ["central", "south"].map(
        region => sumPairRate(drained, "north", region) - sumPairRate(step, "north", region),
    );
    assert.ok(Math.max(...returned) > 0, "some traffic returned");
    assert.ok(
        Math.max(...returned) <= 20 + epsilon,
        `${returned.join(" and ")} requests/s returned in a step`,
    );
    assert.equal(sumPairRate(runSteps(back, 30), "north", "central"), 0);
});

// Guards against traffic that moves back and forth when demand varies around the capacity.
test("the plan does not oscillate when demand varies around the limit", () => {
    const demand = (offered: number) => [
        createDemand("register", "north", offered),
        ...["central", "south"].map(region => createDemand("register", region, 100)),
    ];
    let previous = runSteps(createInput({ demands: demand(520) }), 30);
    let changes = 0;
    for (let i = 0; i < 40; i++) {
        const plan = planTraffic(createInput({ demands: demand(i % 2 === 0 ? 490 : 520), previous }));
        changes +=
            sumPairRate(plan, "north", "central") === sumPairRate(previous, "north", "central") ? 0 : 1;
        previous = plan;
    }
    assert.equal(changes, 0);
});

// Guards against overload of the target's cold caches by a shift at the full rate of the ramp.
test("a slow warm-up limits a shift below the ramp", () => {
    const manifest = createManifest();
    manifest.services[0]!.backend.warmUpSeconds = 50;
    const demands = regions.map(region => createDemand("register", region, region === "north" ? 900 : 100));
    const plan = planTraffic(createInput({ manifest, demands }));
    assert.equal(Math.round(sumPairRate(plan, "north", "central")), 10);
    assert.equal(findRoute(plan, "register", "north")!.bounds[0]!.limit, PlanLimit.ColdCaches);
});
