import assert from "node:assert/strict";
import { test } from "node:test";
import { MemberStatus } from "@waxwingdale/core";
import { countViews, createFleet, startNine } from "./fake-fleet.js";
import type { Fleet } from "./fake-fleet.js";

const { Dead, Leaving, Live, Suspect } = MemberStatus;

/** Runs the fleet and fails when any view calls a running member dead. */
async function expectNoDeath(fleet: Fleet, ms: number, ids = fleet.entries.map(({ member }) => member.id)) {
    for (let passed = 0; passed < ms; passed += 250) {
        await fleet.clock.advance(250);
        for (const id of ids) {
            assert.equal(countViews(fleet.entries, id, Dead), 0, `${id} is dead at ${passed} ms`);
        }
    }
}

test("nine that start at once meet within 5 s", async () => {
    for (const seed of [1, 2, 3]) {
        const fleet = createFleet(seed);
        for (let i = 0; i < 9; i++) {
            fleet.add(`e${i}`, `r${i % 3}`);
        }
        assert.ok((await fleet.until(() => fleet.isWhole(), 5000)) <= 5000);
    }
});

// Guards against islands: pairs that joined by short seed lists and never meet.
test("islands meet by the seed list", async () => {
    const fleet = createFleet();
    let all: string[] = [];
    for (const [id, peer] of ["ab", "ba", "cd", "dc"].map(pair => [...pair])) {
        const findSeeds = async () => (all.length > 0 ? all : [`${peer}.test:81`]);
        fleet.add(id!, "north", { findSeeds });
    }
    await fleet.clock.advance(3000);
    assert.equal(fleet.isWhole(), false);
    all = ["a", "b", "c", "d"].map(id => `${id}.test:81`);
    await fleet.until(() => fleet.isWhole(), 10_000);
});

// Guards against an entry that gives up or floods the store when no seed answers, and against a store that hangs.
test("join survives dead seeds, a failing store and a hanging store", async () => {
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
    await fleet.until(() => fleet.isWhole(), 12_000);
    assert.match(entry.log.join("\n"), /join-failed/);
});

test("a crash is known everywhere within 5 s", async () => {
    for (const seed of [1, 2, 3]) {
        const fleet = await startNine(seed);
        fleet.entries[4]!.crash();
        await fleet.until(() => countViews(fleet.entries, "central-2", Dead) === 8, 5000);
    }
});

test("a silent instance is known dead everywhere within 10 s", async () => {
    for (const seed of [1, 2, 3]) {
        const fleet = await startNine(seed);
        fleet.entries[4]!.crash(true);
        await fleet.until(() => countViews(fleet.entries, "central-2", Dead) === 8, 10_000);
    }
});

test("two failures at once are both found", async () => {
    const fleet = await startNine();
    fleet.entries[8]!.crash(true);
    fleet.entries[0]!.crash(true);
    const bothDead = () =>
        countViews(fleet.entries, "north-1", Dead) + countViews(fleet.entries, "south-3", Dead) === 14;
    await fleet.until(bothDead, 15_000);
    await expectNoDeath(fleet, 10_000);
});

// Guards against a second failure that is ignored since the first one left state behind.
test("the same member fails twice and returns twice", async () => {
    const fleet = await startNine();
    let entry = fleet.entries[4]!;
    for (const incarnation of [100, 200]) {
        entry.crash();
        await fleet.until(() => countViews(fleet.entries, "central-2", Dead) === 8, 6000);
        entry = fleet.add("central-2", "central", { incarnation });
        await fleet.until(() => fleet.isWhole(), 6000);
    }
});

// Guards against traffic to the address of the former instance.
test("a restarted instance replaces the old row at once", async () => {
    const fleet = await startNine();
    fleet.entries[4]!.crash(true);
    fleet.add("central-2", "central", { incarnation: 100, address: "new.test:81" });
    const isReplaced = () =>
        fleet.entries.every(entry => entry.membership.find("central-2")?.peerAddress === "new.test:81");
    await fleet.until(isReplaced, 4000);
    await expectNoDeath(fleet, 10_000);
});

// Guards against a clock that was set back between two starts.
test("a restart with a smaller incarnation still wins", async () => {
    const fleet = await startNine();
    fleet.entries[4]!.crash();
    await fleet.until(() => countViews(fleet.entries, "central-2", Dead) === 8, 6000);
    fleet.add("central-2", "central", { incarnation: 0, address: "new.test:81" });
    await fleet.until(() => fleet.isWhole(), 6000);
});

// Guards against two processes of one id that outbid each other for good.
test("a resumed process gives way to its replacement", async () => {
    const fleet = await startNine();
    await fleet.clock.advance(40_000);
    const old = fleet.entries[4]!;
    old.pause();
    await fleet.clock.advance(15_000);
    fleet.entries = fleet.entries.filter(entry => entry !== old);
    const next = fleet.add("central-2", "central", { incarnation: 100, address: "new.test:81" });
    await fleet.until(() => fleet.isWhole(), 6000);
    old.resume();
    await fleet.clock.advance(20_000);
    assert.equal(old.membership.self().status, Dead);
    assert.equal(next.membership.self().status, Live);
    assert.equal(fleet.entries[0]!.membership.find("central-2")?.peerAddress, "new.test:81");
});

test("a process frozen for 2 s is not removed", async () => {
    for (const seed of [1, 2, 3, 4]) {
        const fleet = await startNine(seed);
        fleet.entries[4]!.pause();
        await expectNoDeath(fleet, 2000);
        fleet.entries[4]!.resume();
        await expectNoDeath(fleet, 10_000);
        assert.ok(fleet.isWhole());
    }
});

// Guards against a resumed process whose stale timers declare the whole fleet dead.
test("a freeze of 10 s is noticed, and the process comes back harmlessly", async () => {
    for (const seed of [1, 2, 3]) {
        const fleet = await startNine(seed);
        const entry = fleet.entries[4]!;
        entry.pause();
        await fleet.until(() => countViews(fleet.entries, "central-2", Dead) === 8, 10_000);
        await fleet.clock.advance(3000);
        entry.resume();
        const others = fleet.entries.map(({ member }) => member.id).filter(id => id !== "central-2");
        await expectNoDeath(fleet, 1000, others);
        await fleet.until(() => fleet.isWhole(), 5000);
        await expectNoDeath(fleet, 10_000);
        assert.match(entry.log.join("\n"), /process-paused/);
    }
});

// Guards against an entry without a network that gains the slots of everyone.
test("an entry that is cut off declares at most two others dead", async () => {
    const fleet = await startNine();
    fleet.passes = (from, to) => from.id !== "north-1" && to.id !== "north-1";
    await fleet.until(() => countViews(fleet.entries, "north-1", Dead) === 8, 10_000);
    await fleet.clock.advance(60_000);
    const cutOff = fleet.entries[0]!;
    const dead = cutOff.membership.members().filter(({ status }) => status === Dead);
    assert.ok(dead.length <= 2, `${dead.length} dead`);
    assert.match(cutOff.log.join("\n"), /membership-isolated/);
    fleet.passes = () => true;
    await fleet.until(() => fleet.isWhole(), 15_000);
});

for (const minutes of [1, 5]) {
    // Guards against two sides that never meet again, and against deaths inside a side when they do.
    test(`a cut of ${minutes} min between regions heals`, async () => {
        const fleet = await startNine();
        fleet.passes = (from, to) => (from.region === "north") === (to.region === "north");
        const isCut = () =>
            ["north-1", "north-2", "north-3"].every(id => countViews(fleet.entries, id, Dead) === 6);
        await fleet.until(isCut, 30_000);
        await fleet.clock.advance(minutes * 60_000);
        fleet.passes = () => true;
        const sides = ["north", "south"].map(region =>
            fleet.entries.filter(({ member }) => (member.region === "north") === (region === "north")),
        );
        const isSideBroken = () =>
            sides.some(side => side.some(({ member }) => countViews(side, member.id, Dead) > 0));
        const tookMs = await fleet.until(() => {
            assert.equal(isSideBroken(), false);
            return fleet.isWhole();
        }, 20_000);
        assert.ok(tookMs <= 20_000);
    });
}

test("a cut longer than the retention heals by the seeds", async () => {
    const fleet = await startNine();
    fleet.passes = (from, to) => (from.region === "north") === (to.region === "north");
    await fleet.clock.advance(700_000);
    assert.equal(fleet.entries[0]!.membership.find("south-1"), undefined);
    fleet.passes = () => true;
    await fleet.until(() => fleet.isWhole(), 90_000);
});

// Guards against a planned stop that gossip of an entry behind a cut undoes.
test("a member that left stays dead", async () => {
    const fleet = await startNine();
    fleet.passes = (from, to) => (from.region === "north") === (to.region === "north");
    const leaver = fleet.entries[4]!;
    await fleet.wait(leaver.membership.leave());
    await fleet.wait(leaver.membership.announceStopped());
    leaver.crash();
    await fleet.clock.advance(5000);
    fleet.passes = () => true;
    for (let i = 0; i < 200; i++) {
        await fleet.clock.advance(100);
        const side = fleet.entries.filter(({ member }) => member.region !== "north");
        assert.equal(countViews(side, "central-2", Dead), 5);
    }
    assert.equal(countViews(fleet.entries, "central-2", Dead), 8);
});

test("ready and leaving outlive a false suspicion", async () => {
    for (const change of ["ready", "leaving", "dead"]) {
        const fleet = await startNine();
        const entry = fleet.entries[4]!;
        const self = entry.membership.self();
        const accuse = (status: MemberStatus, bump: number) => ({
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
        fleet.entries[0]!.methods.get("gossip.exchange")!(accuse(Dead, 0), "x");
        if (change === "ready") {
            entry.membership.setReady(false);
        } else {
            await fleet.wait(entry.membership.leave());
        }
        entry.methods.get("gossip.exchange")!(accuse(change === "dead" ? Dead : Suspect, 3), "x");
        const expected = change === "ready" ? Live : Leaving;
        await fleet.until(() => countViews(fleet.entries, "central-2", expected) === 9, 5000);
        const isReady = change !== "ready";
        assert.ok(fleet.entries.every(one => one.membership.find("central-2")?.ready === isReady));
    }
});

// Guards against a leaving member that crashes and is never given up.
test("a leaving member that crashes becomes dead", async () => {
    const fleet = await startNine();
    void fleet.entries[4]!.membership.leave();
    await fleet.until(() => countViews(fleet.entries, "central-2", Leaving) === 9, 5000);
    await fleet.clock.advance(10_000);
    assert.equal(countViews(fleet.entries, "central-2", Leaving), 9);
    fleet.entries[4]!.crash();
    await fleet.until(() => countViews(fleet.entries, "central-2", Dead) === 8, 8000);
});

test("a tenth of lost messages removes nobody for a minute", async () => {
    const fleet = await startNine();
    fleet.lossRate = 0.1;
    await expectNoDeath(fleet, 60_000);
});

test("an address that another instance uses does not keep a member alive", async () => {
    const fleet = await startNine();
    fleet.entries[4]!.crash();
    fleet.add("central-9", "central", { address: "central-2.test:81" });
    await fleet.until(() => countViews(fleet.entries, "central-2", Dead) === 9, 8000);
    assert.ok(fleet.isWhole());
});

// Guards against an extension whose fault stops the gossip, and against digests that do not arrive.
test("a throwing extension does not stop the exchange", async () => {
    const fleet = await startNine();
    const heard = new Set<unknown>();
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
        membership.addExtension("good", { digest: () => member.id, merge: digest => heard.add(digest) });
    }
    await fleet.clock.advance(5000);
    assert.equal(heard.size, 9);
    assert.ok(fleet.isWhole());
});

test("listeners hear of a change once per message and cannot break the merge", async () => {
    const fleet = await startNine();
    let calls = 0;
    fleet.entries[0]!.membership.onChange(() => {
        calls++;
        throw new Error("listener fails");
    });
    fleet.add("new", "north");
    await fleet.until(() => fleet.isWhole(), 5000);
    assert.ok(calls >= 1 && calls <= 3, `${calls} calls`);
});

/** Bytes of message bodies that the busiest and the mean entry send and receive in 10 s from now, in KB per second. */
async function measureBytes(fleet: Fleet) {
    fleet.bytes.clear();
    await fleet.clock.advance(10_000);
    const rates = fleet.entries.map(({ member }) => (fleet.bytes.get(member.id) ?? 0) / 10_000);
    return { max: Math.max(...rates), mean: rates.reduce((sum, rate) => sum + rate, 0) / rates.length };
}

// Guards against a mass change that sends whole views around. Header bytes are measured by the capacity benchmark.
test("a zone that dies and returns stays within the byte budget", async () => {
    const fleet = createFleet();
    for (let i = 0; i < 120; i++) {
        fleet.add(`entry-${i}`, `region-${i % 6}`);
    }
    await fleet.until(() => fleet.isWhole(), 30_000);
    await fleet.clock.advance(20_000);
    const zone = fleet.entries.slice(0, 22);
    zone.forEach(entry => entry.crash(true));
    const dying = await measureBytes(fleet);
    assert.ok(dying.max < 6, `${dying.max} KB/s`);
    await fleet.until(
        () => zone.every(({ member }) => countViews(fleet.entries, member.id, Dead) === 98),
        20_000,
    );
    zone.forEach(({ member }) => fleet.add(member.id, member.region, { incarnation: 100 }));
    const joining = await measureBytes(fleet);
    assert.ok(joining.max < 7, `${joining.max} KB/s`);
    await fleet.until(() => fleet.isWhole(), 5000);
});
