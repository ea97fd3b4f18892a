import assert from "node:assert/strict";
import { test } from "node:test";
import { MemberStatus } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";
import { estimateCapacity } from "../src/active-instances.js";
import { createInstanceTopology } from "../src/instance-topology.js";
import { createMember } from "./fixtures.js";

function createPlaces(members: () => readonly Member[], selfId = "g-1") {
    return createInstanceTopology({ selfId, members });
}

const members = [
    createMember("g-1", "n-a", "north"),
    createMember("g-2", "n-b", "north"),
    createMember("g-3", "n-b", "north", { status: MemberStatus.Dead }),
    createMember("g-4", "s-a", "south"),
];

test("dead instances count nowhere", () => {
    const places = createPlaces(() => members);
    assert.deepEqual(places.inZone("n-b"), ["g-2"]);
    assert.deepEqual(places.inRegion("north"), ["g-1", "g-2"]);
});

test("the nearest instances are those of the zone, else of the region, else all", () => {
    const places = createPlaces(() => members);
    assert.deepEqual(places.nearest("n-a", "north"), ["g-1"]);
    assert.deepEqual(places.nearest("s-b", "south"), ["g-4"]);
    assert.deepEqual(places.nearest("c-a", "central"), ["g-1", "g-2", "g-4"]);
});

// Guards against ranking all instances again for each request.
test("the arrays stay the same until a member changes", () => {
    let list = members;
    const places = createPlaces(() => list);
    const before = places.inZone("n-a");
    assert.equal(places.inZone("n-a"), before);
    list = [...members, createMember("g-5", "n-a", "north")];
    assert.deepEqual(places.inZone("n-a"), ["g-1", "g-5"]);
});

const mixedZone = [
    createMember("big-1", "n-a", "north", { capacity: 900 }),
    createMember("big-2", "n-a", "north", { capacity: 900 }),
    ...["small-1", "small-2", "small-3"].map(id => createMember(id, "n-a", "north", { capacity: 60 })),
    createMember("small-4", "s-a", "south", { capacity: 60 }),
    createMember("small-5", "s-a", "south", { capacity: 60 }),
];

// Guards against small instances that carry as much as large ones, and so fill their links.
test("the large instances of a zone are active", () => {
    const places = createPlaces(() => mixedZone);
    assert.deepEqual(places.inZone("n-a"), ["big-1", "big-2"]);
    assert.deepEqual(places.inZone("s-a"), ["small-4", "small-5"]);
});

// Guards against a zone whose clients know one address.
test("all instances of a zone are active when one large one is left", () => {
    const zone = mixedZone.slice(1);
    const places = createPlaces(() => zone);
    assert.deepEqual(places.inZone("n-a"), ["big-2", "small-1", "small-2", "small-3"]);
});

test("instances without a known capacity are alike", () => {
    const places = createPlaces(() => members);
    assert.deepEqual(places.inRegion("north"), ["g-1", "g-2"]);
});

// Guards against budgets that instances without traffic hold and those with traffic lack.
test("the active instances share what the fleet may do", () => {
    assert.equal(createPlaces(() => mixedZone, "big-1").budgetDivisor(), 4);
    assert.equal(createPlaces(() => mixedZone, "small-1").budgetDivisor(), 7);
});

test("the capacity follows from the scarcer of processor and link", () => {
    assert.equal(estimateCapacity({ cores: 2, coreShare: 0.75, linkMbps: 1000 }), 1000);
    assert.equal(estimateCapacity({ cores: 1, coreShare: 0.3, linkMbps: 10 }), 62);
    assert.equal(estimateCapacity(undefined), undefined);
});
