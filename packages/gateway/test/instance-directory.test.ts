import assert from "node:assert/strict";
import { test } from "node:test";
import { MemberStatus } from "@waxwingdale/core";
import { createInstanceDirectory } from "@waxwingdale/gateway";
import { createMember } from "./fixtures.js";

test("returns the instances in the client's zone, else in its region, else all", () => {
    let members = [
        createMember("a", "n-a", "north"),
        createMember("b", "n-b", "north"),
        createMember("c", "s-a", "south"),
    ];
    const directory = createInstanceDirectory(() => members);
    assert.deepEqual(directory.find("north", "n-a"), ["a:1"]);
    members = members.slice(1);
    assert.deepEqual(directory.find("north", "n-a"), ["b:1"]);
    members = members.slice(1);
    assert.deepEqual(directory.find("north", "n-a"), ["c:1"]);
    assert.deepEqual(directory.find(undefined, undefined), ["c:1"]);
});

// Guards against directing clients to an instance that is stopping, dead, suspect or not configured yet.
test("leaves out instances that are not serving", () => {
    const members = [
        createMember("a", "n-a", "north", { ready: false }),
        createMember("b", "n-a", "north", { status: MemberStatus.Leaving }),
        createMember("c", "n-a", "north", { status: MemberStatus.Dead }),
        createMember("d", "n-a", "north", { status: MemberStatus.Suspect }),
    ];
    assert.deepEqual(createInstanceDirectory(() => members).find("north", "n-a"), []);
});
