import assert from "node:assert/strict";
import { test } from "node:test";
import { MemberStatus, RequestClass, createManualClock, createRandom } from "@waxwingdale/core";
import fc from "fast-check";
import { createFakeRegion } from "./support/fake-region.js";

const links = [{ to: "south", megabitsPerSecond: 280, reservedShare: 0.1 }];
const linkCfg = { takeoverDelayMs: 1000, exchangeIntervalMs: 100, loanMs: 400, loanMarginMs: 150 };
const capacity = 280e6 / 8 / 1000;

const setUp = async (seed = 1, faults = {}, entries = 3) => {
    const clock = createManualClock();
    const region = createFakeRegion({ clock, random: createRandom(seed), links, linkCfg, entries, faults });
    await clock.advance(1200);
    const shareOf = (id: string) => region.entry(id).shaper.state()[0]!.share;
    const active = () => region.entries.filter(({ isCrashed, isPaused }) => !isCrashed && !isPaused);
    const sumShares = () => active().reduce((sum, { id }) => sum + shareOf(id), 0);
    /** Requests bulk bytes at a fraction of the link's capacity and counts the bytes sent. */
    const demand = (id: string, part: number, state: { stop?: boolean; sent?: number }, bytes = 16_384) => {
        const step = () => {
            if (state.stop) {
                return;
            }
            void region
                .entry(id)
                .shaper.take("south", RequestClass.Bulk, bytes)
                .then(() => (state.sent = (state.sent ?? 0) + bytes));
            clock.setTimer(bytes / (capacity * part), step);
        };
        step();
    };
    return { clock, region, shareOf, sumShares, demand };
};

// Guards against bodies being delayed within a region, where no link is used.
test("traffic to the local region and to regions without a link is not paced", async () => {
    const { region } = await setUp();
    await region.entry("e0").shaper.take("north", RequestClass.Bulk, 1e9);
    await region.entry("e0").shaper.take("elsewhere", RequestClass.Bulk, 1e9);
});

// Guards against lookups waiting behind large bodies, and against pacing that leaves the link idle.
test("bulk traffic uses the link without delaying lookups", async () => {
    const { clock, region, demand } = await setUp(1, {}, 1);
    const state = { sent: 0, stop: false };
    demand("e0", 3, state, 1_048_576);
    await clock.advance(200);
    const before = state.sent;
    const waits: number[] = [];
    for (let count = 0; count < 300; count++) {
        const askedAt = clock.now();
        void region
            .entry("e0")
            .shaper.take("south", RequestClass.Lookup, 2000)
            .then(() => waits.push(clock.now() - askedAt));
        await clock.advance(10);
    }
    assert.equal(waits.length, 300);
    assert.ok(Math.max(...waits) <= 1);
    const used = (state.sent - before + 300 * 2000) / (capacity * 3000);
    const bulkUsed = (state.sent - before) / (capacity * 3000);
    assert.ok(bulkUsed <= 0.915, `bulk used ${bulkUsed}`);
    assert.ok(used >= 0.88 && used <= 1.01, `link utilization is ${used}`);
    state.stop = true;
});

// Guards against an idle share at one entry while another entry needs more capacity.
test("unused shares move to the entry with demand", async () => {
    const { clock, shareOf, demand } = await setUp();
    const state = { stop: false };
    demand("e0", 2, state);
    await clock.advance(1000);
    assert.ok(shareOf("e0") > 0.6, `share ${shareOf("e0")}`);
    state.stop = true;
});

// Guards against exceeding the capacity of a link when messages are late or an entry is isolated.
test("the shares never add up to more than the capacity of the link", async () => {
    const event = fc.record({
        id: fc.constantFrom("e0", "e1", "e2"),
        kind: fc.constantFrom("demand", "crash", "isolate", "pause", "start"),
        afterMs: fc.integer({ min: 0, max: 700 }),
    });
    const scenario = fc.record({
        seed: fc.integer(),
        events: fc.array(event, { minLength: 1, maxLength: 6 }),
        loss: fc.double({ min: 0, max: 0.5, noNaN: true }),
        maxDelayMs: fc.constantFrom(1, 50, 300),
    });
    await fc.assert(
        fc.asyncProperty(scenario, async ({ seed, events, loss, maxDelayMs }) => {
            const { clock, region, sumShares, demand } = await setUp(seed);
            Object.assign(region.faults, { loss, maxDelayMs, duplication: 0.1, propagationDelayMs: 150 });
            const state = { stop: false };
            const watch = async (ms: number) => {
                for (let passed = 0; passed < ms; passed += 20) {
                    await clock.advance(20);
                    assert.ok(sumShares() <= 1 + 1e-9, `the shares add up to ${sumShares()}`);
                }
            };
            let isAway = false;
            for (const { id, kind, afterMs } of events) {
                await watch(afterMs);
                const others = region.entries.filter(other => other.id !== id);
                if (kind === "demand") {
                    demand(id, 1, state);
                } else if (kind === "start" && region.entries.length < 5) {
                    region.start(`${id}-${region.entries.length}`);
                } else if (!isAway && !region.entry(id).isCrashed && kind !== "start") {
                    isAway = true;
                    (kind === "crash" ? () => region.crash(id) : () => region.isolate(id))();
                    if (kind === "pause") {
                        region.pause(id);
                    }
                    await watch(300);
                    others.forEach(other => region.setStatus(other.id, id, MemberStatus.Dead));
                    await watch(500);
                    if (kind === "isolate") {
                        others.forEach(other => region.setStatus(id, other.id, MemberStatus.Dead));
                    }
                    await watch(1500);
                    region.entry(id).isIsolated = false;
                    if (kind === "pause") {
                        region.resume(id);
                    } else if (kind === "isolate") {
                        region.heal(id);
                    }
                }
            }
            await watch(1500);
            state.stop = true;
        }),
        { numRuns: 25, seed: 6 },
    );
});

// Guards against the body of a disconnected caller remaining in the queue.
test("an aborted wait rejects and uses no capacity", async () => {
    const { clock, region } = await setUp(1, {}, 1);
    const { shaper } = region.entry("e0");
    void shaper.take("south", RequestClass.Bulk, capacity * 100);
    const caller = new AbortController();
    const waiting = shaper.take("south", RequestClass.Bulk, 1000, caller.signal);
    caller.abort(new Error("caller disconnected"));
    await assert.rejects(waiting, /caller disconnected/);
    await clock.advance(200);
    assert.equal(shaper.state()[0]!.sentBytes, capacity * 100);
});
