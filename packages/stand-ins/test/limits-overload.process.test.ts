/** Limits of backend servers at three times their capacity. The test guards against an overloaded server or a lost request. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Outcome, deadlineHeader } from "@waxwingdale/core";
import { sendAtRate, warmUp } from "./fleet-fixture.js";
import { assertWithinSlots, capacity, count, getFleet, limit, pick } from "./limits-fixture.js";

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
