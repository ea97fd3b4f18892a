import assert from "node:assert/strict";
import { test } from "node:test";
import { MemberStatus } from "@waxwingdale/core";
import { createInstancePlaces } from "../src/instance-places.js";
import { createMember } from "./fixtures.js";

const members = [
    createMember("g-1", "n-a", "north"),
    createMember("g-2", "n-b", "north"),
    createMember("g-3", "n-b", "north", { status: MemberStatus.Dead }),
    createMember("g-4", "s-a", "south"),
];

test("dead instances count nowhere", () => {
    const places = createInstancePlaces(() => members);
    assert.deepEqual(places.inZone("n-b"), ["g-2"]);
    assert.deepEqual(places.inRegion("north"), ["g-1", "g-2"]);
});

test("senders are the instances of the zone, else of the region, else all", () => {
    const places = createInstancePlaces(() => members);
    assert.deepEqual(places.sendersNear("n-a", "north"), ["g-1"]);
    assert.deepEqual(places.sendersNear("s-b", "south"), ["g-4"]);
    assert.deepEqual(places.sendersNear("c-a", "central"), ["g-1", "g-2", "g-4"]);
});

// Guards against ranking all instances again for each request.
test("the arrays stay the same until a member changes", () => {
    let list = members;
    const places = createInstancePlaces(() => list);
    const before = places.inZone("n-a");
    assert.equal(places.inZone("n-a"), before);
    list = [...members, createMember("g-5", "n-a", "north")];
    assert.deepEqual(places.inZone("n-a"), ["g-1", "g-5"]);
});
