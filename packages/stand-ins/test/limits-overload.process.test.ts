/** Guards against overloaded backend servers and unanswered requests at three times the capacity. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Outcome, deadlineHeader } from "@waxwingdale/core";
import { sendAtRate, warmUp } from "./fleet-fixture.js";
import {
    assertWithinSlots,
    capacityPerSecond,
    formatOutcomes,
    getFleet,
    testOptions,
    pickEntry,
} from "./limits-fixture.js";

test(
    "three times the capacity: lookups succeed before their deadline or are rejected, and the slots stay in use",
    testOptions,
    async t => {
        await warmUp(getFleet());
        const deadlineMs = 1000;
        const seconds = 11;
        const startedAt = Date.now();
        const results = await sendAtRate(pickEntry, capacityPerSecond * 3, seconds, i => ({
            path: `/items/${i}`,
            headers: { [deadlineHeader]: String(deadlineMs) },
        }));
        t.diagnostic(formatOutcomes(results));
        const ran = results.filter(({ outcome }) => outcome === Outcome.Ran);
        const rejected = results.filter(({ outcome }) => outcome === Outcome.NotRun);
        // The queues fill up during the first second.
        const measured = ran.filter(
            ({ endedAt }) => endedAt > startedAt + 1000 && endedAt <= startedAt + seconds * 1000,
        );
        const goodput = measured.length / (seconds - 1);
        t.diagnostic(`goodput ${goodput}/s of ${capacityPerSecond}/s`);
        assert.equal(ran.length + rejected.length, results.length, formatOutcomes(results));
        const late = ran.filter(({ sentAt, endedAt }) => endedAt - sentAt > deadlineMs + 100);
        assert.equal(late.length, 0, "responses after the deadline");
        assert.ok(
            rejected.every(({ retryAfter }) => Number(retryAfter) > 0),
            "rejection without Retry-After",
        );
        assert.ok(goodput >= 0.9 * capacityPerSecond, `goodput ${goodput}`);
        await assertWithinSlots();
    },
);
