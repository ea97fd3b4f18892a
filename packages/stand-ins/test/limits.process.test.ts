/** Limits of backend servers under load. Each test guards against an overloaded server or a lost request. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Outcome, deadlineHeader } from "@waxwingdale/core";
import type { Answer } from "./fleet-fixture.js";
import { sendAtRate, useFleet, warmUp } from "./fleet-fixture.js";

const limit = { timeout: 40_000 };
const servers = 4;
const slots = 3;
const workMs = 50;
/** Requests per second that the slots of the region carry. */
const capacity = (servers * slots * 1000) / workMs;
const getFleet = useFleet({ regions: ["east"], entriesPerRegion: 3, servers, workMs });

/** No server runs more than its slots, and none has to refuse for lack of slots. */
async function assertWithinSlots(): Promise<void> {
    for (const state of await getFleet().states()) {
        const { id, peakBusy, refused } = state as typeof state & { refused: number };
        assert.ok(peakBusy <= slots, `${id} ran ${peakBusy} requests at once`);
        assert.equal(refused, 0, `${id} refused ${refused} requests`);
    }
}

const pick = (i: number) => {
    const { entries } = getFleet();
    return entries[i % entries.length]!;
};

const count = (answers: Answer[]) => {
    const counts: Record<string, number> = {};
    answers.forEach(({ outcome, reason }) => {
        const name = `${outcome}/${reason}`;
        counts[name] = (counts[name] ?? 0) + 1;
    });
    return JSON.stringify(counts);
};

test("steady state: no server runs more than its slots or refuses", limit, async t => {
    await warmUp(getFleet());
    const answers = await sendAtRate(pick, capacity * 0.6, 5, i => ({ path: `/items/${i}` }));
    t.diagnostic(count(answers));
    const refused = answers.filter(({ outcome }) => outcome !== Outcome.Ran);
    assert.deepEqual(refused.slice(0, 5), [], count(answers));
    await assertWithinSlots();
});

test(
    "three times the capacity: look-ups are answered in time or refused, and the slots stay in use",
    limit,
    async t => {
        await warmUp(getFleet());
        const deadlineMs = 1000;
        const seconds = 11;
        const startedAt = Date.now();
        const answers = await sendAtRate(pick, capacity * 3, seconds, i => ({
            path: `/items/${i}`,
            headers: { [deadlineHeader]: String(deadlineMs) },
        }));
        t.diagnostic(count(answers));
        const ran = answers.filter(({ outcome }) => outcome === Outcome.Ran);
        const refused = answers.filter(({ outcome }) => outcome === Outcome.NotRun);
        // The first second fills the queues.
        const measured = ran.filter(
            ({ endedAt }) => endedAt > startedAt + 1000 && endedAt <= startedAt + seconds * 1000,
        );
        const goodput = measured.length / (seconds - 1);
        t.diagnostic(`goodput ${goodput}/s of ${capacity}/s`);
        assert.equal(ran.length + refused.length, answers.length, count(answers));
        const late = ran.filter(({ sentAt, endedAt }) => endedAt - sentAt > deadlineMs + 100);
        assert.equal(late.length, 0, "answers after the deadline");
        assert.ok(
            refused.every(({ retryAfter }) => Number(retryAfter) > 0),
            "a refusal without Retry-After",
        );
        assert.ok(goodput >= 0.9 * capacity, `goodput ${goodput}`);
        await assertWithinSlots();
    },
);

test("load reports that lie change nothing about the slots", limit, async t => {
    const fleet = getFleet();
    for (const [i, backend] of fleet.backends.entries()) {
        await fleet.control(backend, "faults", { reportedLoad: i % 2 === 0 ? 0 : slots });
    }
    const answers = await sendAtRate(pick, capacity * 2, 4, i => ({ path: `/items/${i}` }));
    t.diagnostic(count(answers));
    assert.ok(answers.some(({ outcome }) => outcome === Outcome.Ran));
    await assertWithinSlots();
});
