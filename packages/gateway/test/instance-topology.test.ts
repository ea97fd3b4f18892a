import assert from "node:assert/strict";
import { test } from "node:test";
import { MemberStatus } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";
import { estimateCapacity } from "../src/active-instances.js";
import { createInstanceTopology } from "../src/instance-topology.js";
import { createMember } from "./fixtures.js";

function createTopology(members: () => readonly Member[], selfId = "g-1") {
    return createInstanceTopology({ selfId, members });
}

const members = [
    createMember("g-1", "n-a", "north"),
    createMember("g-2", "n-b", "north"),
    createMember("g-3", "n-b", "north", { status: MemberStatus.Dead }),
    createMember("g-4", "s-a", "south"),
];

test("ignores dead instances", () => {
    const topology = createTopology(() => members);
    assert.deepEqual(topology.inZone("n-b"), ["g-2"]);
    assert.deepEqual(topology.inRegion("north"), ["g-1", "g-2"]);
});

test("returns the nearest instances: those in the zone, else in the region, else all", () => {
    const topology = createTopology(() => members);
    assert.deepEqual(topology.nearest("n-a", "north"), ["g-1"]);
    assert.deepEqual(topology.nearest("s-b", "south"), ["g-4"]);
    assert.deepEqual(topology.nearest("c-a", "central"), ["g-1", "g-2", "g-4"]);
});

// Guards against recomputing the topology for each request.
test("returns the same arrays until a member changes", () => {
    let list = members;
    const topology = createTopology(() => list);
    const before = topology.inZone("n-a");
    assert.equal(topology.inZone("n-a"), before);
    list = [...members, createMember("g-5", "n-a", "north")];
    assert.deepEqual(topology.inZone("n-a"), ["g-1", "g-5"]);
});

const mixedZone = [
    createMember("big-1", "n-a", "north", { capacity: 900 }),
    createMember("big-2", "n-a", "north", { capacity: 900 }),
    ...["small-1", "small-2", "small-3"].map(id => createMember(id, "n-a", "north", { capacity: 60 })),
    createMember("small-4", "s-a", "south", { capacity: 60 }),
    createMember("small-5", "s-a", "south", { capacity: 60 }),
];

// Guards against saturating the links of small instances with as much traffic as large ones receive.
test("only the large instances of a zone are active", () => {
    const topology = createTopology(() => mixedZone);
    assert.deepEqual(topology.inZone("n-a"), ["big-1", "big-2"]);
    assert.deepEqual(topology.inZone("s-a"), ["small-4", "small-5"]);
});

// Guards against clients of a zone that know only a single address.
test("all instances of a zone are active if only one large instance is left", () => {
    const zone = mixedZone.slice(1);
    const topology = createTopology(() => zone);
    assert.deepEqual(topology.inZone("n-a"), ["big-2", "small-1", "small-2", "small-3"]);
});

test("treats instances of unknown capacity as equal", () => {
    const topology = createTopology(() => members);
    assert.deepEqual(topology.inRegion("north"), ["g-1", "g-2"]);
});

// Guards against reserving budget for instances without traffic while those with traffic run short.
test("divides fleet-wide budgets among the active instances", () => {
    assert.equal(createTopology(() => mixedZone, "big-1").budgetDivisor(), 4);
    assert.equal(createTopology(() => mixedZone, "small-1").budgetDivisor(), 7);
});

test("limits the estimated capacity by the scarcer of CPU and link", () => {
    assert.equal(estimateCapacity({ cores: 2, coreShare: 0.75, linkMbps: 1000 }), 1000);
    assert.equal(estimateCapacity({ cores: 1, coreShare: 0.3, linkMbps: 10 }), 62);
    assert.equal(estimateCapacity(undefined), undefined);
});
