import assert from "node:assert/strict";
import { test } from "node:test";
import {
    ReasonCode,
    RequestClass,
    SlotResult,
    classesByImportance,
    createManualClock,
    createRandom,
} from "@waxwingdale/core";
import type { Slot, SlotRequest, AdmissionRefusedError } from "@waxwingdale/core";
import type { LimitsConfig } from "@waxwingdale/limits";
import fc from "fast-check";
import { createFakeRegion, noServers, offerLoad, service } from "./support/fake-region.js";

/** Sets up one entry with one slot, which is in use. */
const setUpBusy = async (cfg: Partial<LimitsConfig> = {}) => {
    const clock = createManualClock();
    const options = { entries: 1, servers: 1, slots: 1, cfg };
    const region = createFakeRegion({ clock, random: createRandom(3), ...options });
    await clock.advance(5100);
    const { broker } = region.entry("e0");
    const started: string[] = [];
    const refused: { name: string; reason: ReasonCode; retryAfter?: number }[] = [];
    let current: Slot | undefined;
    const request = (name: string, requestClass: RequestClass, change: Partial<SlotRequest> = {}) => {
        const deadlineAt = clock.now() + 10_000;
        const req = { service, requestClass, deadlineAt, suspect: false, avoid: noServers, ...change };
        return broker.acquire(req).then(
            slot => {
                started.push(name);
                current = slot;
            },
            (err: AdmissionRefusedError) =>
                void refused.push({ name, reason: err.reason, retryAfter: err.retryAfterSeconds }),
        );
    };
    const finishOne = async () => {
        current?.release(SlotResult.Completed);
        await clock.advance(0);
    };
    await request("first", RequestClass.Lookup);
    started.length = 0;
    return { clock, broker, request, started, refused, finishOne };
};

// Guards against bulk transfers delaying lookups, and against later requests overtaking earlier ones.
test("waiting requests start in order of class and then of arrival", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.array(fc.constantFrom(...classesByImportance), { maxLength: 12 }),
            async classes => {
                const { request, started, finishOne } = await setUpBusy({ lowerClassShare: 0 });
                classes.forEach(
                    (requestClass, index) => void request(`${requestClass}/${index}`, requestClass),
                );
                for (let count = 0; count < classes.length; count++) {
                    await finishOne();
                }
                const rank = (name: string) =>
                    classesByImportance.indexOf(name.split("/")[0] as RequestClass);
                const index = (name: string) => Number(name.split("/")[1]);
                const sorted = [...started].sort((a, b) => rank(a) - rank(b) || index(a) - index(b));
                assert.deepEqual(started, sorted);
                assert.equal(started.length, classes.length);
            },
        ),
        { numRuns: 40 },
    );
});

// Guards against lookups starving bulk transfers.
test("lower-priority classes get their share while lookups are always waiting", async () => {
    const { request, started, finishOne } = await setUpBusy({ lowerClassShare: 0.1, maxWaitShare: 1 });
    for (let count = 0; count < 5; count++) {
        void request(`bulk`, RequestClass.Bulk);
        void request(`write`, RequestClass.Write);
    }
    for (let count = 0; count < 45; count++) {
        void request("lookup", RequestClass.Lookup);
        void request("lookup", RequestClass.Lookup);
        await finishOne();
    }
    assert.equal(started.filter(name => name === "bulk").length, 4);
    assert.equal(started.filter(name => name === "write").length, 4);
});

// Guards against unbounded memory use, and against rejecting a lookup while bulk requests are waiting.
test("a full queue rejects the newest request of the lowest-priority class", async () => {
    const { clock, request, refused, broker } = await setUpBusy({ maxQueueLength: 4, maxWaitShare: 1 });
    for (const name of ["bulk1", "bulk2", "write1", "lookup1", "lookup2", "write2", "bulk3"]) {
        const requestClass = name.slice(0, -1) as RequestClass;
        void request(name, requestClass);
        await clock.advance(0);
    }
    assert.deepEqual(
        refused.map(({ name }) => name),
        ["bulk2", "bulk1", "bulk3"],
    );
    assert.ok(
        refused.every(({ reason, retryAfter }) => reason === ReasonCode.Overloaded && retryAfter! >= 1),
    );
    assert.equal(broker.state().services[0]!.waiting["lookup"], 2);
});

// Guards against callers waiting for a rejection that could have been sent immediately.
test("a request that would wait too long is rejected on arrival", async () => {
    const { clock, request, refused } = await setUpBusy();
    const before = clock.now();
    await request("short", RequestClass.Lookup, { deadlineAt: clock.now() + 5 });
    await request("tight", RequestClass.Lookup, { deadlineAt: clock.now() + 30 });
    assert.deepEqual(
        refused.map(({ reason }) => reason),
        [ReasonCode.DeadlineTooShort, ReasonCode.Overloaded],
    );
    assert.equal(clock.now(), before);
});

// Guards against sending a request whose caller has stopped waiting, including after a pause of the process.
test("a waiting request is rejected before its deadline and never runs late", async () => {
    const { clock, request, started, refused, finishOne } = await setUpBusy();
    const deadlineAt = clock.now() + 200;
    void request("late", RequestClass.Lookup, { deadlineAt });
    await clock.advance(199);
    assert.equal(refused.length, 1);
    void request("paused", RequestClass.Lookup, { deadlineAt: clock.now() + 200 });
    clock.jump(190);
    await finishOne();
    assert.deepEqual(started, []);
    assert.deepEqual(
        refused.map(({ name }) => name),
        ["late", "paused"],
    );
});

// Guards against giving a slot to a caller that has disconnected.
test("an aborted request leaves the queue", async () => {
    const { request, started, refused, finishOne } = await setUpBusy();
    const caller = new AbortController();
    const aborted = request("aborted", RequestClass.Lookup, { signal: caller.signal });
    const next = request("next", RequestClass.Lookup);
    caller.abort();
    await aborted;
    await finishOne();
    await next;
    assert.deepEqual(started, ["next"]);
    assert.equal(refused[0]!.reason, ReasonCode.CallerAborted);
});

// Guards against a queue full of requests that miss their deadline.
test("goodput stays near capacity at a load of twice the capacity", async () => {
    const clock = createManualClock();
    const random = createRandom(11);
    const region = createFakeRegion({ clock, random });
    await clock.advance(5300);
    const before = region.totals.completed;
    const { waits } = await offerLoad(region, clock, random, { ms: 4000, perSecond: 800 });
    // 24 slots at 20 ms per request serve 1,200 requests per second.
    assert.ok(region.totals.completed - before >= 0.95 * 4 * 1200);
    assert.ok(Math.max(...waits) <= 400);
});

// Guards against writes that wait behind lookups for most of their time and are then rejected or end late.
test("requests of a class that gets few slots are rejected on arrival instead of after a long wait", async () => {
    const { clock, request, finishOne } = await setUpBusy({ lowerClassShare: 0.05 });
    const waits: number[] = [];
    for (let count = 0; count < 1200; count++) {
        void request("lookup", RequestClass.Lookup, { deadlineAt: clock.now() + 400 });
        void request("lookup", RequestClass.Lookup, { deadlineAt: clock.now() + 400 });
        const askedAt = clock.now();
        void request("write", RequestClass.Write, { deadlineAt: askedAt + 4000 }).then(() =>
            waits.push(clock.now() - askedAt),
        );
        await clock.advance(20);
        await finishOne();
    }
    const late = waits.slice(-300);
    assert.equal(late.length, 300);
    assert.ok(Math.max(...late) <= 2000, `waited ${Math.max(...late)} ms`);
});
