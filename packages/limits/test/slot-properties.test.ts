import assert from "node:assert/strict";
import { test } from "node:test";
import { MemberStatus, createManualClock, createRandom } from "@waxwingdale/core";
import fc from "fast-check";
import { createFakeRegion, offerLoad } from "./support/fake-region.js";

/** Shorter times than the defaults, in similar proportions, so that a run covers many faults. */
const cfg = { takeoverDelayMs: 800, grantSlackMs: 300, reclaimMarginMs: 100, callTimeoutMs: 100 };
const detectMs = 400;
/** Longest deadline, grant slack, reclaim margin, takeover delay, failure detection, and a few ticks. */
const recoveryMs = 400 + 300 + 100 + 800 + 2 * detectMs + 500;

const setUp = async (seed: number, faults = {}) => {
    const clock = createManualClock();
    const random = createRandom(seed);
    const region = createFakeRegion({ clock, random, cfg, servers: 4 });
    await clock.advance(1500);
    Object.assign(region.faults, { propagationDelayMs: 60, ...faults });
    const load = (ms: number, perSecond = 220) => offerLoad(region, clock, random, { ms, perSecond });
    const countHeld = () =>
        region.entries
            .filter(({ isCrashed }) => !isCrashed)
            .map(({ broker }) => broker.state().services[0]!.held)
            .reduce((a, b) => a + b, 0);
    return { clock, region, load, countHeld };
};

const faultsArbitrary = fc.record({
    loss: fc.double({ min: 0, max: 0.4, noNaN: true }),
    duplication: fc.double({ min: 0, max: 0.4, noNaN: true }),
    maxDelayMs: fc.constantFrom(1, 5, 40, 250),
});

// Guards against a slot that two entries use, and against a slot that no entry uses any longer.
test("lost, late and duplicate messages neither duplicate nor lose a slot", async () => {
    const scenario = fc.record({
        seed: fc.integer(),
        faults: faultsArbitrary,
        perSecond: fc.constantFrom(100, 220, 500),
    });
    await fc.assert(
        fc.asyncProperty(scenario, async ({ seed, faults, perSecond }) => {
            const { clock, region, load, countHeld } = await setUp(seed, faults);
            await load(1500, perSecond);
            Object.assign(region.faults, { loss: 0, duplication: 0, maxDelayMs: 1 });
            await clock.advance(recoveryMs);
            assert.equal(region.takeLargestExcess(), 0);
            assert.equal(countHeld(), 12);
        }),
        { numRuns: 20, seed: 1 },
    );
});

// Guards against using a dead entry's slots while its requests are still running, and against losing them.
test("crashes and starts of entries neither duplicate nor lose a slot", async () => {
    const scenario = fc.record({
        seed: fc.integer(),
        faults: faultsArbitrary,
        crashes: fc.subarray(["e0", "e1"], { minLength: 1 }),
        isReplaced: fc.boolean(),
    });
    await fc.assert(
        fc.asyncProperty(scenario, async ({ seed, faults, crashes, isReplaced }) => {
            const { clock, region, load, countHeld } = await setUp(seed, faults);
            await load(400);
            for (const id of crashes) {
                region.crash(id);
                await load(detectMs);
                region.setStatusForAll(id, MemberStatus.Dead);
                if (isReplaced) {
                    region.start(`${id}-next`);
                }
                await load(300);
            }
            Object.assign(region.faults, { loss: 0, duplication: 0, maxDelayMs: 1 });
            await load(recoveryMs);
            await clock.advance(recoveryMs);
            assert.equal(region.takeLargestExcess(), 0);
            // An entry that has lost contact with all peers does not take over their slots.
            const hasPeer = region.entries.filter(({ isCrashed }) => !isCrashed).length > 1;
            if (hasPeer) {
                assert.equal(countHeld(), 12);
            }
        }),
        { numRuns: 12, seed: 2 },
    );
});

// Guards against a graceful shutdown duplicating or losing slots.
test("an entry that leaves under load neither duplicates nor loses a slot", async () => {
    await fc.assert(
        fc.asyncProperty(fc.integer(), faultsArbitrary, async (seed, faults) => {
            const { clock, region, load, countHeld } = await setUp(seed, faults);
            await load(300);
            region.setStatusForAll("e1", MemberStatus.Leaving);
            await load(300);
            void region.entry("e1").broker.close();
            await load(300);
            region.setStatusForAll("e1", MemberStatus.Dead);
            Object.assign(region.faults, { loss: 0, duplication: 0, maxDelayMs: 1 });
            await clock.advance(recoveryMs);
            assert.equal(region.takeLargestExcess(), 0);
            assert.equal(countHeld(), 12);
        }),
        { numRuns: 15, seed: 3 },
    );
});

// Guards against an isolated or paused entry that keeps using slots that its peers have taken over.
test("an isolated or paused entry exceeds a limit by at most its share and stops soon after its return", async () => {
    const scenario = fc.record({
        seed: fc.integer(),
        isPaused: fc.boolean(),
        awayMs: fc.constantFrom(300, 1000, 2500),
        loss: fc.double({ min: 0, max: 0.2, noNaN: true }),
    });
    await fc.assert(
        fc.asyncProperty(scenario, async ({ seed, isPaused, awayMs, loss }) => {
            const { clock, region, load, countHeld } = await setUp(seed, { loss });
            await load(300);
            const slots = region.entry("e1").broker.state().slots;
            const share = Math.max(
                ...region.servers.map(({ id }) => slots.filter(({ key }) => key.startsWith(`${id}/`)).length),
            );
            if (isPaused) {
                region.pause("e1");
            } else {
                region.isolate("e1");
            }
            await load(Math.min(awayMs, detectMs));
            if (awayMs > detectMs) {
                for (const [viewer, id] of [
                    ["e0", "e1"],
                    ["e2", "e1"],
                    ...(isPaused
                        ? []
                        : [
                              ["e1", "e0"],
                              ["e1", "e2"],
                          ]),
                ]) {
                    region.setStatus(viewer!, id!, MemberStatus.Dead);
                }
                await load(awayMs - detectMs);
            }
            if (isPaused) {
                region.resume("e1");
            } else {
                region.heal("e1");
            }
            const backAt = clock.now();
            await load(cfg.takeoverDelayMs + 500);
            assert.ok(region.lastExcessAt() <= backAt + cfg.takeoverDelayMs, "excess after the return");
            assert.ok(region.takeLargestExcess() <= share, "excess above the share");
            region.faults.loss = 0;
            await clock.advance(recoveryMs);
            assert.equal(countHeld(), 12);
        }),
        { numRuns: 12, seed: 4 },
    );
});

// Guards against a request that waits although a slot in the region is free.
test("no request waits longer than a few message delays while a slot is free", async () => {
    await fc.assert(
        fc.asyncProperty(fc.integer(), fc.integer({ min: 1, max: 12 }), async (seed, count) => {
            const { clock, region } = await setUp(seed);
            const runs = Array.from({ length: count }, () => region.run("e0", 50));
            await clock.advance(400);
            const waits = (await Promise.all(runs)).map(({ waitedMs }) => waitedMs);
            assert.ok(Math.max(...waits) <= 2 * 1 + 2, `waited ${Math.max(...waits)} ms`);
        }),
        { numRuns: 15, seed: 5 },
    );
});
