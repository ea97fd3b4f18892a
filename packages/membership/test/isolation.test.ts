/** A member that no other responds to: it is cut off, or all others are gone. A witness outside the fleet knows which. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { MemberStatus } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";
import { countMembersSeeing, createFleet } from "./fake-fleet.js";
import type { FakeEntry, Fleet } from "./fake-fleet.js";

const { Dead, Live } = MemberStatus;

/** Time in milliseconds after which members that are gone must not be named any more, and count in no share. */
const namedMs = 6000;
const countedMs = 12_000;

async function startFleet(size: number, seed: number): Promise<Fleet> {
    const fleet = createFleet(seed, true);
    for (let index = 0; index < size; index++) {
        fleet.add(`e${index}`, `r${index % 3}`);
    }
    await fleet.advanceUntil(() => fleet.isConverged(), 90_000);
    await fleet.clock.advance(5000);
    return fleet;
}

function statusesAt(entry: FakeEntry, ids: readonly string[]): (MemberStatus | undefined)[] {
    return ids.map(id => entry.membership.find(id)?.status);
}

interface LossCase {
    size: number;
    left: number;
    /** Whether the addresses of the lost members do not respond; otherwise they refuse connections. */
    hangs: boolean;
    /** Time in milliseconds from one loss to the next. */
    gapMs?: number;
}

const losses: LossCase[] = [
    { size: 2, left: 1, hangs: true },
    { size: 3, left: 1, hangs: true },
    { size: 3, left: 1, hangs: false },
    { size: 5, left: 1, hangs: true },
    { size: 9, left: 1, hangs: true },
    { size: 9, left: 1, hangs: false },
    { size: 9, left: 2, hangs: true },
    { size: 9, left: 3, hangs: true },
    { size: 9, left: 1, hangs: true, gapMs: 1500 },
    { size: 9, left: 1, hangs: true, gapMs: 4000 },
    { size: 89, left: 1, hangs: true },
    { size: 89, left: 1, hangs: false },
    { size: 89, left: 2, hangs: true },
    { size: 89, left: 3, hangs: true },
];

// Guards against an instance that names peers for ever which are gone for good, as it takes itself for cut off (DRAIN).
for (const { size, left, hangs, gapMs = 0 } of losses) {
    const how = `${hangs ? "silent" : "refused"}${gapMs > 0 ? `, one each ${gapMs} ms` : ""}`;
    test(`${left} of ${size} members left, the others ${how}: they find out and go on`, async () => {
        const fleet = await startFleet(size, size + left);
        const lost = fleet.entries.slice(left);
        const ids = lost.map(({ member }) => member.id);
        fleet.witnessCalls = 0;
        for (const entry of lost) {
            entry.crash(hangs);
            if (gapMs > 0) {
                await fleet.clock.advance(gapMs);
            }
        }
        await fleet.clock.advance(namedMs);
        for (const entry of fleet.entries) {
            assert.equal(statusesAt(entry, ids).filter(status => status === Live).length, 0);
        }
        await fleet.clock.advance(countedMs - namedMs);
        for (const entry of fleet.entries) {
            assert.equal(statusesAt(entry, ids).filter(status => status === Dead).length, ids.length);
            assert.equal(countMembersSeeing(fleet.entries, entry.member.id, Live), left);
        }
        await fleet.clock.advance(60_000);
        const boundPerLoss = gapMs > 0 ? 4 * size : 0;
        assert.ok(
            fleet.witnessCalls <= 16 * left + boundPerLoss,
            `${fleet.witnessCalls} calls to the witness`,
        );
        const back = lost
            .slice(0, 2)
            .map(({ member }) => fleet.add(member.id, member.region, { incarnation: 100 }));
        await fleet.advanceUntil(() => fleet.isConverged(), 10_000);
        assert.ok(back.every(({ membership }) => membership.hasJoined()));
    });
}

interface CutCase {
    name: string;
    size: number;
    /** Whether members reach each other during the cut. */
    canReach: (from: Member, to: Member) => boolean;
    /** Members that are cut off alone. */
    alone: (id: string) => boolean;
    refuses?: boolean;
    canReachWitness?: (member: Member) => boolean;
}

const withoutFirst = (from: Member, to: Member) => from.id !== "e0" && to.id !== "e0";
const isFirst = (id: string) => id === "e0";

const cuts: CutCase[] = [
    { name: "one of two", size: 2, canReach: withoutFirst, alone: () => true },
    { name: "one of three", size: 3, canReach: withoutFirst, alone: isFirst },
    { name: "one of nine", size: 9, canReach: withoutFirst, alone: isFirst },
    { name: "one of nine, refused", size: 9, canReach: withoutFirst, alone: isFirst, refuses: true },
    { name: "one of 89", size: 89, canReach: withoutFirst, alone: isFirst },
    { name: "each of three", size: 3, canReach: () => false, alone: () => true },
    {
        name: "one of nine, also from the witness",
        size: 9,
        canReach: withoutFirst,
        alone: isFirst,
        canReachWitness: ({ id }) => id !== "e0",
    },
];

// Guards against a member that is cut off, takes live peers for gone and uses their shares as well.
for (const { name, size, canReach, alone, refuses = false, canReachWitness = () => true } of cuts) {
    test(`cut off: ${name}: it declares nobody dead, and the fleet converges after it`, async () => {
        for (const seed of [1, 2, 3]) {
            const fleet = await startFleet(size, seed);
            fleet.refusesCutCalls = refuses;
            fleet.canReach = canReach;
            fleet.canReachWitness = canReachWitness;
            for (let passed = 0; passed < 40_000; passed += 500) {
                await fleet.clock.advance(500);
                for (const { member, membership } of fleet.entries.filter(entry => alone(entry.member.id))) {
                    const dead = membership.members().filter(({ status }) => status === Dead);
                    assert.deepEqual(dead, [], `${member.id} after ${passed} ms, seed ${seed}`);
                }
            }
            fleet.canReach = () => true;
            fleet.canReachWitness = () => true;
            await fleet.advanceUntil(() => fleet.isConverged(), 20_000);
            // The fleet goes on: after the cut, a real loss of all others is told from it.
            await fleet.clock.advance(5000);
            const [left, ...lost] = [...fleet.entries];
            lost.forEach(entry => entry.crash(true));
            await fleet.clock.advance(countedMs);
            const statuses = statusesAt(
                left!,
                lost.map(({ member }) => member.id),
            );
            assert.ok(
                statuses.every(status => status === Dead),
                `${statuses.join()}, seed ${seed}`,
            );
        }
    });
}

// Guards against a member that takes a witness which does not respond for one that knows of nobody.
test("while the witness is away, a member without contact declares nobody dead; then it does", async () => {
    const fleet = await startFleet(9, 1);
    fleet.canReachWitness = () => false;
    const [left, ...lost] = [...fleet.entries];
    lost.forEach(entry => entry.crash(true));
    await fleet.clock.advance(30_000);
    assert.equal(left!.membership.members().filter(({ status }) => status === Dead).length, 0);
    fleet.canReachWitness = () => true;
    await fleet.clock.advance(8000);
    assert.equal(left!.membership.members().filter(({ status }) => status === Dead).length, lost.length);
});

// Guards against reports about a paused member that make it wait for peers which have ended since.
test("a member that was paused tells apart a loss of all others after it", async () => {
    const fleet = await startFleet(9, 1);
    const [left, ...lost] = [...fleet.entries];
    left!.pause();
    await fleet.clock.advance(8000);
    left!.resume();
    await fleet.clock.advance(8000);
    lost.forEach(entry => entry.crash(true));
    await fleet.clock.advance(countedMs);
    assert.equal(left!.membership.members().filter(({ status }) => status === Dead).length, lost.length);
});
