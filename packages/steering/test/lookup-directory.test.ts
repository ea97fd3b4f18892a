import assert from "node:assert/strict";
import { test } from "node:test";
import { MemberStatus, createManualClock } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";
import { ShiftReason, createLookupDirectory, createClientBlockTable } from "@waxwingdale/steering";
import type { PlanObject, PlanRoute } from "@waxwingdale/steering";
import { createManifest, createMember, createView } from "./fixtures.js";

const members = ["north", "central", "south"].flatMap(region =>
    [1, 2, 3, 4, 5].map(i => createMember(`${region}-${i}`, region)),
);

function createFixture() {
    const clock = createManualClock();
    const view = createView("north-1", members);
    const state: { plan: PlanObject | undefined } = { plan: undefined };
    const accepted = { generation: 7, pushId: "p", formatVersion: 1, manifest: createManifest() };
    const table = createClientBlockTable([
        { block: "10.1.0.0/16", region: "north" },
        { block: "10.2.0.0/16", region: "south" },
    ]);
    const directory = createLookupDirectory({
        view,
        clock,
        accepted: () => accepted,
        plan: () => state.plan,
        table: () => table,
    });
    const listAddresses = (client: string) =>
        directory.lookup("register", client)!.entries.map(entry => entry.address);
    /** Counts the values of the first address over many clients of north. */
    const countFirst = (getValue: (address: string) => string) => {
        const counts = new Map<string, number>();
        for (let i = 0; i < 10_000; i++) {
            const value = getValue(listAddresses(`10.1.${i >> 8}.${i & 255}`)[0]!);
            counts.set(value, (counts.get(value) ?? 0) + 1);
        }
        return counts;
    };
    return { clock, view, state, directory, listAddresses, countFirst };
}

const getRegion = (address: string) => address.split("-")[0]!;

function replace(id: string, changes: Partial<Member>): Member[] {
    return members.map(member => (member.id === id ? { ...member, ...changes } : member));
}

// Guards against responses without entries of the home region, without other regions, or of unlimited length.
test("a response lists entries of the home region, then of other regions by latency", () => {
    const { directory, listAddresses } = createFixture();
    assert.deepEqual(listAddresses("10.1.2.3").map(getRegion), [
        ...["north", "north", "north"],
        ...["central", "central", "south", "south"],
    ]);
    assert.deepEqual(listAddresses("10.2.2.3").map(getRegion).slice(0, 4), [
        "south",
        "south",
        "south",
        "central",
    ]);
    assert.equal(new Set(listAddresses("10.1.2.3")).size, 7);
    assert.equal(getRegion(directory.lookup("register", "192.0.2.1")!.entries[0]!.address), "north");
    assert.equal(directory.lookup("unknown", "10.1.2.3"), undefined);
    const { generation, ttlSeconds } = directory.lookup("register", undefined)!;
    assert.deepEqual([generation, ttlSeconds], [7, 5]);
});

// Guards against sending more callers to one entry than to others, also after another entry failed.
test("first and second ranks are spread evenly", () => {
    const { countFirst, view } = createFixture();
    const assertEven = (counts: Map<string, number>, size: number) => {
        assert.equal(counts.size, size);
        [...counts.values()].forEach(count => assert.ok(Math.abs(count - 10_000 / size) < 400, `${count}`));
    };
    assertEven(countFirst(String), 5);
    view.set(replace("north-2", { status: MemberStatus.Dead }));
    assertEven(countFirst(String), 4);
});

// Guards against cached lists that send callers to an entry that is leaving, suspect or not ready.
test("a leaving, suspect or unready entry is omitted immediately", () => {
    const { countFirst, view } = createFixture();
    for (const changes of [
        { status: MemberStatus.Leaving },
        { status: MemberStatus.Suspect },
        { ready: false },
    ]) {
        countFirst(String);
        view.set(replace("north-3", changes));
        assert.equal(countFirst(String).has("north-3:80"), false);
        view.set(members);
    }
    view.set(members.filter(member => member.region !== "north"));
    assert.deepEqual([...countFirst(getRegion).keys()], ["central"]);
});

function createDrainedPlan(homePerSecond: number, rate: number): PlanObject {
    const shifts = ["central", "south"].map((region, i) => ({
        region,
        perSecond: rate / (i + 1),
        share: (2 - i) / 3,
        reason: ShiftReason.Drain,
    }));
    const route: PlanRoute = {
        service: "register",
        home: "north",
        offeredPerSecond: rate * 1.5 + homePerSecond,
        homePerSecond,
        waitingPerSecond: homePerSecond,
        unplacedPerSecond: 0,
        shifts,
        bounds: [],
        held: false,
    };
    return { epoch: 1, step: rate, generation: 7, routes: [route] };
}

// Guards against lookups that bypass the ramp of a drain, stay with a drained region, or overload one target region.
test("callers of a drained region move by the plan's shares once all of its traffic is shifted", async () => {
    const { clock, state, countFirst } = createFixture();
    state.plan = createDrainedPlan(20, 60);
    countFirst(getRegion);
    await clock.advance(20_000);
    assert.deepEqual([...countFirst(getRegion).keys()], ["north"]);
    state.plan = createDrainedPlan(0, 80);
    assert.deepEqual([...countFirst(getRegion).keys()], ["north"]);
    await clock.advance(10_000);
    const counts = countFirst(getRegion);
    assert.ok(Math.abs(counts.get("central")! - 6667) < 400, `${counts.get("central")}`);
    assert.ok(Math.abs(counts.get("south")! - 3333) < 400);
    // More than half of the cap of 300: the home entries keep the callers and limit what they forward.
    state.plan = createDrainedPlan(0, 200);
    assert.deepEqual([...countFirst(getRegion).keys()], ["north"]);
});
