import assert from "node:assert/strict";
import { test } from "node:test";
import { MemberStatus } from "@waxwingdale/core";
import { countMembersSeeing, createFleet, startNineMembers } from "./fake-fleet.js";
import type { Fleet } from "./fake-fleet.js";

const { Dead, Leaving, Live, Suspect } = MemberStatus;

/** Runs the fleet and fails if any member considers one of the given members dead. */
async function expectNoneDead(fleet: Fleet, ms: number, ids = fleet.entries.map(({ member }) => member.id)) {
    for (let passed = 0; passed < ms; passed += 250) {
        await fleet.clock.advance(250);
        for (const id of ids) {
            assert.equal(countMembersSeeing(fleet.entries, id, Dead), 0, `${id} is dead at ${passed} ms`);
        }
    }
}

test("nine members that start simultaneously converge within 5 s", async () => {
    for (const seed of [1, 2, 3]) {
        const fleet = createFleet(seed);
        for (let i = 0; i < 9; i++) {
            fleet.add(`e${i}`, `r${i % 3}`);
        }
        assert.ok((await fleet.advanceUntil(() => fleet.isConverged(), 5000)) <= 5000);
    }
});

// Guards against a split fleet: pairs that joined through short seed lists and never find each other.
test("isolated groups find each other through the seed list", async () => {
    const fleet = createFleet();
    let all: string[] = [];
    for (const [id, peer] of ["ab", "ba", "cd", "dc"].map(pair => [...pair])) {
        const findSeeds = async () => (all.length > 0 ? all : [`${peer}.test:81`]);
        fleet.add(id!, "north", { findSeeds });
    }
    await fleet.clock.advance(3000);
    assert.equal(fleet.isConverged(), false);
    all = ["a", "b", "c", "d"].map(id => `${id}.test:81`);
    await fleet.advanceUntil(() => fleet.isConverged(), 10_000);
});

// Guards against a member that gives up or floods the store when no seed responds, and against a store that hangs.
test("joining tolerates dead seeds, a failing store and a hanging store", async () => {
    const fleet = createFleet();
    let reads = 0;
    let find = async (): Promise<string[]> => ["gone.test:81"];
    const entry = fleet.add("a", "north", { findSeeds: () => (reads++, find()) });
    await fleet.clock.advance(30_000);
    assert.ok(reads < 15, `${reads} reads`);
    find = () => Promise.reject(new Error("store is down"));
    await fleet.clock.advance(10_000);
    find = () => new Promise(() => undefined);
    await fleet.clock.advance(10_000);
    find = async () => ["b.test:81"];
    fleet.add("b", "north", { findSeeds: async () => [] });
    await fleet.advanceUntil(() => fleet.isConverged(), 12_000);
    assert.match(entry.log.join("\n"), /join-failed/);
});

test("all members detect a crash within 5 s", async () => {
    for (const seed of [1, 2, 3]) {
        const fleet = await startNineMembers(seed);
        fleet.entries[4]!.crash();
        await fleet.advanceUntil(() => countMembersSeeing(fleet.entries, "central-2", Dead) === 8, 5000);
    }
});

test("all members detect an unresponsive instance within 10 s", async () => {
    for (const seed of [1, 2, 3]) {
        const fleet = await startNineMembers(seed);
        fleet.entries[4]!.crash(true);
        await fleet.advanceUntil(() => countMembersSeeing(fleet.entries, "central-2", Dead) === 8, 10_000);
    }
});

test("two simultaneous failures are both detected", async () => {
    const fleet = await startNineMembers();
    fleet.entries[8]!.crash(true);
    fleet.entries[0]!.crash(true);
    const bothDead = () =>
        countMembersSeeing(fleet.entries, "north-1", Dead) +
            countMembersSeeing(fleet.entries, "south-3", Dead) ===
        14;
    await fleet.advanceUntil(bothDead, 15_000);
    await expectNoneDead(fleet, 10_000);
});

// Guards against ignoring a second failure because of state left behind by the first one.
test("a member can fail and rejoin repeatedly", async () => {
    const fleet = await startNineMembers();
    let entry = fleet.entries[4]!;
    for (const incarnation of [100, 200]) {
        entry.crash();
        await fleet.advanceUntil(() => countMembersSeeing(fleet.entries, "central-2", Dead) === 8, 6000);
        entry = fleet.add("central-2", "central", { incarnation });
        await fleet.advanceUntil(() => fleet.isConverged(), 6000);
    }
});

// Guards against traffic to the address of the previous process.
test("a restarted instance immediately replaces its old row", async () => {
    const fleet = await startNineMembers();
    fleet.entries[4]!.crash(true);
    fleet.add("central-2", "central", { incarnation: 100, address: "new.test:81" });
    const isReplaced = () =>
        fleet.entries.every(entry => entry.membership.find("central-2")?.peerAddress === "new.test:81");
    await fleet.advanceUntil(isReplaced, 4000);
    await expectNoneDead(fleet, 10_000);
});

// Guards against a clock that was set back between two starts.
test("an instance can rejoin with a smaller incarnation", async () => {
    const fleet = await startNineMembers();
    fleet.entries[4]!.crash();
    await fleet.advanceUntil(() => countMembersSeeing(fleet.entries, "central-2", Dead) === 8, 6000);
    fleet.add("central-2", "central", { incarnation: 0, address: "new.test:81" });
    await fleet.advanceUntil(() => fleet.isConverged(), 6000);
});

// Guards against two processes with the same id that keep raising their incarnations.
test("a resumed process gives way to its replacement", async () => {
    const fleet = await startNineMembers();
    await fleet.clock.advance(40_000);
    const old = fleet.entries[4]!;
    old.pause();
    await fleet.clock.advance(15_000);
    fleet.entries = fleet.entries.filter(entry => entry !== old);
    const next = fleet.add("central-2", "central", { incarnation: 100, address: "new.test:81" });
    await fleet.advanceUntil(() => fleet.isConverged(), 6000);
    old.resume();
    await fleet.clock.advance(20_000);
    assert.equal(old.membership.self().status, Dead);
    assert.equal(next.membership.self().status, Live);
    assert.equal(fleet.entries[0]!.membership.find("central-2")?.peerAddress, "new.test:81");
});

test("a process that is paused for 2 s is not declared dead", async () => {
    for (const seed of [1, 2, 3, 4]) {
        const fleet = await startNineMembers(seed);
        fleet.entries[4]!.pause();
        await expectNoneDead(fleet, 2000);
        fleet.entries[4]!.resume();
        await expectNoneDead(fleet, 10_000);
        assert.ok(fleet.isConverged());
    }
});

// Guards against a resumed process whose overdue timers declare all other members dead.
test("a process detects that it was paused for 10 s and rejoins without declaring others dead", async () => {
    for (const seed of [1, 2, 3]) {
        const fleet = await startNineMembers(seed);
        const entry = fleet.entries[4]!;
        entry.pause();
        await fleet.advanceUntil(() => countMembersSeeing(fleet.entries, "central-2", Dead) === 8, 10_000);
        await fleet.clock.advance(3000);
        entry.resume();
        const others = fleet.entries.map(({ member }) => member.id).filter(id => id !== "central-2");
        await expectNoneDead(fleet, 1000, others);
        await fleet.advanceUntil(() => fleet.isConverged(), 5000);
        await expectNoneDead(fleet, 10_000);
        assert.match(entry.log.join("\n"), /process-paused/);
    }
});

// Guards against an isolated member that takes over the slots of all others.
test("an isolated member declares at most two others dead", async () => {
    const fleet = await startNineMembers();
    fleet.canReach = (from, to) => from.id !== "north-1" && to.id !== "north-1";
    await fleet.advanceUntil(() => countMembersSeeing(fleet.entries, "north-1", Dead) === 8, 10_000);
    await fleet.clock.advance(60_000);
    const isolated = fleet.entries[0]!;
    const dead = isolated.membership.members().filter(({ status }) => status === Dead);
    assert.ok(dead.length <= 2, `${dead.length} dead`);
    assert.match(isolated.log.join("\n"), /membership-isolated/);
    fleet.canReach = () => true;
    await fleet.advanceUntil(() => fleet.isConverged(), 15_000);
});

for (const minutes of [1, 5]) {
    // Guards against sides that do not reconnect, and against false deaths within a side when they do.
    test(`the fleet converges after a network partition of ${minutes} min`, async () => {
        const fleet = await startNineMembers();
        fleet.canReach = (from, to) => (from.region === "north") === (to.region === "north");
        const isPartitioned = () =>
            ["north-1", "north-2", "north-3"].every(id => countMembersSeeing(fleet.entries, id, Dead) === 6);
        await fleet.advanceUntil(isPartitioned, 30_000);
        await fleet.clock.advance(minutes * 60_000);
        fleet.canReach = () => true;
        const sides = ["north", "south"].map(region =>
            fleet.entries.filter(({ member }) => (member.region === "north") === (region === "north")),
        );
        const isSideBroken = () =>
            sides.some(side => side.some(({ member }) => countMembersSeeing(side, member.id, Dead) > 0));
        const tookMs = await fleet.advanceUntil(() => {
            assert.equal(isSideBroken(), false);
            return fleet.isConverged();
        }, 20_000);
        assert.ok(tookMs <= 20_000);
    });
}

test("the fleet converges through the seeds after a partition longer than the retention time", async () => {
    const fleet = await startNineMembers();
    fleet.canReach = (from, to) => (from.region === "north") === (to.region === "north");
    await fleet.clock.advance(700_000);
    assert.equal(fleet.entries[0]!.membership.find("south-1"), undefined);
    fleet.canReach = () => true;
    await fleet.advanceUntil(() => fleet.isConverged(), 90_000);
});

// Guards against gossip from the other side of a partition that reverts a graceful shutdown.
test("a member that left stays dead", async () => {
    const fleet = await startNineMembers();
    fleet.canReach = (from, to) => (from.region === "north") === (to.region === "north");
    const leaver = fleet.entries[4]!;
    await fleet.waitFor(leaver.membership.leave());
    await fleet.waitFor(leaver.membership.announceStopped());
    leaver.crash();
    await fleet.clock.advance(5000);
    fleet.canReach = () => true;
    for (let i = 0; i < 200; i++) {
        await fleet.clock.advance(100);
        const side = fleet.entries.filter(({ member }) => member.region !== "north");
        assert.equal(countMembersSeeing(side, "central-2", Dead), 5);
    }
    assert.equal(countMembersSeeing(fleet.entries, "central-2", Dead), 8);
});

test("changes of readiness and status survive a false suspicion", async () => {
    for (const change of ["ready", "leaving", "dead"]) {
        const fleet = await startNineMembers();
        const entry = fleet.entries[4]!;
        const self = entry.membership.self();
        const createFalseReport = (status: MemberStatus, bump: number) => ({
            v: 1,
            from: ["x", 1, 0, "north", "a", "x.test:1", "x.test:2", 1, 1],
            rows: [
                [
                    "central-2",
                    self.incarnation + bump,
                    [Live, Suspect, Leaving, Dead].indexOf(status),
                    "central",
                    "central-a",
                    self.callerAddress,
                    self.peerAddress,
                    1,
                    1,
                ],
            ],
            hash: "",
            digests: {},
        });
        fleet.entries[0]!.methods.get("gossip.exchange")!(createFalseReport(Dead, 0), "x");
        if (change === "ready") {
            entry.membership.setReady(false);
        } else {
            await fleet.waitFor(entry.membership.leave());
        }
        entry.methods.get("gossip.exchange")!(createFalseReport(change === "dead" ? Dead : Suspect, 3), "x");
        const expected = change === "ready" ? Live : Leaving;
        await fleet.advanceUntil(() => countMembersSeeing(fleet.entries, "central-2", expected) === 9, 5000);
        const isReady = change !== "ready";
        assert.ok(fleet.entries.every(one => one.membership.find("central-2")?.ready === isReady));
    }
});

// Guards against a leaving member that crashes and is never declared dead.
test("a leaving member that crashes is declared dead", async () => {
    const fleet = await startNineMembers();
    void fleet.entries[4]!.membership.leave();
    await fleet.advanceUntil(() => countMembersSeeing(fleet.entries, "central-2", Leaving) === 9, 5000);
    await fleet.clock.advance(10_000);
    assert.equal(countMembersSeeing(fleet.entries, "central-2", Leaving), 9);
    fleet.entries[4]!.crash();
    await fleet.advanceUntil(() => countMembersSeeing(fleet.entries, "central-2", Dead) === 8, 8000);
});

test("no member is declared dead within a minute of 10% message loss", async () => {
    const fleet = await startNineMembers();
    fleet.lossRate = 0.1;
    await expectNoneDead(fleet, 60_000);
});

test("a member is declared dead when another instance takes over its address", async () => {
    const fleet = await startNineMembers();
    fleet.entries[4]!.crash();
    fleet.add("central-9", "central", { address: "central-2.test:81" });
    await fleet.advanceUntil(() => countMembersSeeing(fleet.entries, "central-2", Dead) === 9, 8000);
    assert.ok(fleet.isConverged());
});

// Guards against a faulty extension that stops the gossip, and against lost digests.
test("an extension that throws does not stop the exchange", async () => {
    const fleet = await startNineMembers();
    const received = new Set<unknown>();
    for (const { membership, member } of fleet.entries) {
        membership.addExtension("faulty", {
            digest: () => {
                throw new Error("digest fails");
            },
            merge: () => undefined,
        });
        membership.addExtension("rude", {
            digest: () => 1,
            merge: () => {
                throw new Error("merge fails");
            },
        });
        membership.addExtension("good", { digest: () => member.id, merge: digest => received.add(digest) });
    }
    await fleet.clock.advance(5000);
    assert.equal(received.size, 9);
    assert.ok(fleet.isConverged());
});

test("listeners are called once per message and cannot interrupt the merge", async () => {
    const fleet = await startNineMembers();
    let calls = 0;
    fleet.entries[0]!.membership.onChange(() => {
        calls++;
        throw new Error("listener fails");
    });
    fleet.add("new", "north");
    await fleet.advanceUntil(() => fleet.isConverged(), 5000);
    assert.ok(calls >= 1 && calls <= 3, `${calls} calls`);
});

/** Measures the maximum and mean traffic per member over 10 s, in KB/s of message bodies sent and received. */
async function measureBytes(fleet: Fleet) {
    fleet.bytes.clear();
    await fleet.clock.advance(10_000);
    const rates = fleet.entries.map(({ member }) => (fleet.bytes.get(member.id) ?? 0) / 10_000);
    return { max: Math.max(...rates), mean: rates.reduce((sum, rate) => sum + rate, 0) / rates.length };
}

// Guards against sending full views when many members change at once. The capacity benchmark also measures headers.
test("traffic stays within the budget when a zone fails and recovers", async () => {
    const fleet = createFleet();
    for (let i = 0; i < 120; i++) {
        fleet.add(`entry-${i}`, `region-${i % 6}`);
    }
    await fleet.advanceUntil(() => fleet.isConverged(), 30_000);
    await fleet.clock.advance(20_000);
    const zone = fleet.entries.slice(0, 22);
    zone.forEach(entry => entry.crash(true));
    const dying = await measureBytes(fleet);
    assert.ok(dying.max < 6, `${dying.max} KB/s`);
    await fleet.advanceUntil(
        () => zone.every(({ member }) => countMembersSeeing(fleet.entries, member.id, Dead) === 98),
        20_000,
    );
    zone.forEach(({ member }) => fleet.add(member.id, member.region, { incarnation: 100 }));
    const joining = await measureBytes(fleet);
    assert.ok(joining.max < 7, `${joining.max} KB/s`);
    await fleet.advanceUntil(() => fleet.isConverged(), 5000);
});
