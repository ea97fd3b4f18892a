/** Guards against instances that together send a server more requests than the limit that it names. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    createCandidateHistory,
    createServerRateLimit,
    getHeldShare,
    getMembershipHoldMs,
    getRateLimitShare,
    getUsableRate,
} from "@waxwingdale/balancing";
import type { ServerRateLimitOptions } from "@waxwingdale/balancing";
import { createManualClock } from "@waxwingdale/core";
import fc from "fast-check";
import { countMax, createFleet } from "./rate-limit-fleet.js";

const windowMs = 4000;
const settleMs = 3000;
const tickMs = 100;
/** Requests that the platform tolerates in a window. */
const maxInWindow = (limit: number) => 1.5 * limit * (windowMs / 1000) + 5;
const createIds = (count: number) => Array.from({ length: count }, (_, index) => `g-${index}`);

const limits = fc.oneof(fc.double({ min: 0.01, max: 20, noNaN: true }), fc.constant(0), fc.constant(1e6));

test("property: shares of instances with the same view add up to the usable part of the limit", () => {
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 200 }), limits, fc.string(), (count, limit, serverId) => {
            const ids = createIds(count);
            const sum = ids.reduce((total, id) => total + getRateLimitShare(serverId, limit, id, ids), 0);
            assert.ok(Math.abs(sum - getUsableRate(limit)) <= 1e-9 * (1 + limit));
        }),
        { seed: 27 },
    );
});

// Guards against the sum of shares growing while a membership change is known to some instances only.
test("property: shares never add up to more than the limit if each change arrives within the hold time", () => {
    const change = fc.record({
        /** An existing member that leaves or, if it has left, comes back. */
        member: fc.nat(),
        gapMs: fc.integer({ min: 0, max: 6000 }),
        lags: fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { minLength: 12, maxLength: 12 }),
    });
    const scenario = fc.record({ changes: fc.array(change, { minLength: 1, maxLength: 6 }), limit: limits });
    fc.assert(
        fc.property(scenario, ({ changes, limit }) => {
            const ids = createIds(12);
            const holdMs = getMembershipHoldMs(ids.length);
            const maxLagMs = holdMs - 2 * tickMs;
            const clock = createManualClock(1000);
            const members = new Set(ids);
            const views = new Map(ids.map(id => [id, ids]));
            const createHistory = (id: string) =>
                createCandidateHistory({
                    clock,
                    areas: () => ["north"],
                    countInstances: () => ids.length,
                    candidates: () => views.get(id)!,
                });
            const histories = new Map(ids.map(id => [id, createHistory(id)]));
            const events: { at: number; run: () => void }[] = [];
            let at = clock.now() + holdMs + 1000;
            for (const { member, gapMs, lags } of changes) {
                at += gapMs;
                const id = ids[member % ids.length]!;
                events.push({
                    at,
                    run: () => {
                        if (members.delete(id)) {
                            histories.delete(id);
                        } else {
                            members.add(id);
                            histories.set(id, createHistory(id));
                        }
                        const list = [...members].sort();
                        ids.forEach((other, index) => {
                            const lagMs = other === id ? 0 : lags[index]! * maxLagMs;
                            events.push({ at: clock.now() + lagMs, run: () => views.set(other, list) });
                        });
                    },
                });
            }
            const endAt = at + 2 * holdMs;
            while (clock.now() < endAt) {
                clock.jump(tickMs);
                const due = events.filter(event => event.at <= clock.now()).sort((a, b) => a.at - b.at);
                due.forEach(event => {
                    events.splice(events.indexOf(event), 1);
                    event.run();
                });
                let sum = 0;
                histories.forEach((history, id) => {
                    history.update();
                    sum += getHeldShare("i-1", limit, id, history.recent("north"));
                });
                assert.ok(sum <= getUsableRate(limit) * (1 + 1e-9), `${sum} at ${clock.now()}`);
            }
        }),
        { seed: 27, numRuns: 60 },
    );
});

test("property: with views that differ in any way, the sum is bounded by the number of different views", () => {
    const scenario = fc.record({
        count: fc.integer({ min: 1, max: 30 }),
        limit: limits,
        groupOf: fc.array(fc.integer({ min: 0, max: 4 }), { minLength: 30, maxLength: 30 }),
    });
    fc.assert(
        fc.property(scenario, ({ count, limit, groupOf }) => {
            const ids = createIds(count);
            const groups = new Set(ids.map((_, index) => groupOf[index]));
            const viewOf = (index: number) => ids.filter((_, other) => groupOf[other] === groupOf[index]);
            const sum = ids.reduce(
                (total, id, index) => total + getRateLimitShare("i-1", limit, id, viewOf(index)),
                0,
            );
            assert.ok(sum <= groups.size * getUsableRate(limit) * (1 + 1e-9));
        }),
        { seed: 27 },
    );
});

for (const instances of [9, 77, 195]) {
    for (const limit of [0.3, 2.3, 5.4, 40]) {
        test(`trace: ${instances} instances keep a limit of ${limit}/s through joins, deaths, pauses and cuts`, t => {
            const fleet = createFleet({ instances, seed: 27, demandPerInstance: 2 });
            const gossipLagMs = 600 * Math.log2(instances);
            const rows: string[] = [];
            const check = (name: string, ms: number, isCut = false) => {
                const from = fleet.now();
                fleet.run(ms);
                const most = countMax(fleet.arrivals, from, fleet.now(), windowMs);
                const mean = fleet.arrivals.filter(({ at }) => at >= from).length / (ms / 1000);
                rows.push(`${name} ${most} (${mean.toFixed(1)}/s)`);
                // The platform excuses instances that are cut off, and each side uses the limit.
                assert.ok(most <= (isCut ? 2 : 1) * maxInWindow(limit), `${name}: ${most} in ${windowMs} ms`);
                return mean;
            };
            const findSender = () => fleet.recentSenders(10_000).find(id => fleet.instances.get(id)!.isLive)!;
            fleet.run(12_000);
            fleet.nameLimit(limit);
            fleet.run(settleMs);
            const steady = check("steady", 20_000);
            assert.ok(steady >= 0.5 * Math.min(limit, 2 * instances), `${steady} of ${limit} used`);
            fleet.join("g-new", gossipLagMs);
            check("join", 12_000);
            fleet.kill(findSender(), gossipLagMs);
            check("death", 14_000);
            const paused = findSender();
            fleet.setPaused(paused, true);
            fleet.run(2500);
            fleet.setPaused(paused, false);
            check("pause", 8000);
            const third = [...fleet.instances.keys()].filter((_, index) => index % 3 === 0);
            fleet.cut(third, gossipLagMs);
            check("cut", 16_000, true);
            fleet.heal(gossipLagMs);
            check("heal", 12_000, true);
            check("healed", 8000);
            fleet.nameLimit(limit / 2);
            fleet.run(settleMs);
            check("halved", 8000);
            fleet.nameLimit(undefined);
            fleet.run(20_000);
            const from = fleet.now();
            fleet.run(4000);
            const free = fleet.arrivals.filter(({ at }) => at >= from).length / 4;
            rows.push(`ended ${free.toFixed(1)}/s`);
            assert.ok(
                free >= 0.8 * 2 * (instances - 1),
                `${free} requests a second after the limit has ended`,
            );
            t.diagnostic(rows.join(", "));
        });
    }
}

function createLimit(fields: Partial<ServerRateLimitOptions> = {}) {
    const recent = [["g-1"]];
    const changes: (number | undefined)[] = [];
    const unreadable: string[] = [];
    const rateLimit = createServerRateLimit({
        serverId: "i-1",
        self: "g-1",
        random: () => 0,
        now: 0,
        recentCandidates: () => recent,
        countInstances: () => 1,
        onChange: value => changes.push(value),
        onUnreadable: value => unreadable.push(value),
        ...fields,
    });
    return { rateLimit, changes, unreadable };
}

test("a server without a limit takes everything", () => {
    const { rateLimit } = createLimit();
    rateLimit.report(undefined, 0, 10);
    assert.ok(rateLimit.hasCapacity(10));
    assert.equal(rateLimit.msUntilCapacity(10, 3), 0);
    assert.equal(rateLimit.observation(10), undefined);
});

test("an unreadable value changes nothing and is reported once", () => {
    const { rateLimit, unreadable } = createLimit();
    rateLimit.report({ requestsPerSecond: 5 }, 0, 10);
    rateLimit.report({ unreadable: "many" }, 20, 30);
    rateLimit.report({ unreadable: "more" }, 30, 40);
    assert.equal(rateLimit.requestsPerSecond(), 5);
    assert.deepEqual(unreadable, ["many"]);
});

// Guards against a response that was on its way when the limit was named and would end it.
test("a response without a limit ends it only if its request was written after the limit was named", () => {
    const { rateLimit, changes } = createLimit();
    rateLimit.report({ requestsPerSecond: 5 }, 0, 100);
    rateLimit.report(undefined, 90, 110);
    assert.equal(rateLimit.requestsPerSecond(), 5);
    rateLimit.report(undefined, 120, 150);
    assert.equal(rateLimit.requestsPerSecond(), undefined);
    assert.deepEqual(changes, [5, undefined]);
});

test("the newest of two limits holds", () => {
    const { rateLimit } = createLimit();
    rateLimit.report({ requestsPerSecond: 5 }, 0, 100);
    rateLimit.report({ requestsPerSecond: 2 }, 50, 120);
    assert.equal(rateLimit.requestsPerSecond(), 2);
    rateLimit.merge({ requestsPerSecond: 9, ageMs: 500 }, 200);
    assert.equal(rateLimit.requestsPerSecond(), 2);
    rateLimit.merge({ requestsPerSecond: 9, ageMs: 10 }, 200);
    assert.equal(rateLimit.requestsPerSecond(), 9);
});

test("a peer's newer observation ends a limit, an older one does not", () => {
    const { rateLimit } = createLimit();
    rateLimit.report({ requestsPerSecond: 5 }, 0, 1000);
    rateLimit.merge({ requestsPerSecond: undefined, ageMs: 100 }, 1200);
    assert.equal(rateLimit.requestsPerSecond(), 5);
    rateLimit.merge({ requestsPerSecond: undefined, ageMs: 100 }, 2000);
    assert.equal(rateLimit.requestsPerSecond(), undefined);
    assert.deepEqual(rateLimit.observation(2100), { requestsPerSecond: undefined, ageMs: 450 });
});

test("a limit of zero allows probes only, once nobody has heard of it for a while", () => {
    const { rateLimit } = createLimit();
    rateLimit.report({ requestsPerSecond: 0 }, 0, 0);
    let sent = 0;
    for (let now = 0; now <= 60_000; now += 10) {
        if (rateLimit.hasCapacity(now)) {
            rateLimit.countRequest(now);
            sent += 1;
            assert.ok(now > 10_000);
        }
    }
    assert.ok(sent >= 1 && sent <= 6, `${sent} probes in a minute`);
});

test("a huge limit is no limit", () => {
    const { rateLimit } = createLimit();
    rateLimit.report({ requestsPerSecond: 1e300 }, 0, 0);
    for (let index = 0; index < 1000; index++) {
        assert.ok(rateLimit.hasCapacity(10), `request ${index}`);
        rateLimit.countRequest(10);
    }
});

// Guards against an instance that sends its share at once although others have just used theirs.
test("the first request after a limit was named waits for its token", () => {
    const { rateLimit } = createLimit();
    rateLimit.report({ requestsPerSecond: 2 }, 0, 5000);
    assert.ok(!rateLimit.hasCapacity(5000));
    assert.ok(Math.abs(rateLimit.msUntilCapacity(5000, 0) - 1000 / 1.8) < 1);
    assert.ok(Math.abs(rateLimit.msUntilCapacity(5000, 1) - 2000 / 1.8) < 1);
    assert.ok(rateLimit.hasCapacity(5600));
});

// Guards against an instance that acts on its share after a pause in which the others have shared it out anew.
test("an instance has no share after a pause, until the others have heard of it", () => {
    const clock = createManualClock(1000);
    const ids = createIds(4);
    const history = createCandidateHistory({
        clock,
        areas: () => ["north"],
        countInstances: () => ids.length,
        candidates: () => ids,
    });
    const holdMs = getMembershipHoldMs(ids.length);
    const run = (ms: number) => {
        for (let done = 0; done < ms; done += tickMs) {
            clock.jump(tickMs);
            history.update();
        }
    };
    const share = () => getHeldShare("i-1", 100, "g-1", history.recent("north"));
    run(holdMs - tickMs);
    assert.equal(share(), 0, "a started instance has no share yet");
    run(3 * tickMs);
    assert.notEqual(share(), 0);
    clock.jump(4000);
    history.update();
    assert.equal(share(), 0);
    run(holdMs + 2 * tickMs);
    assert.notEqual(share(), 0);
});
