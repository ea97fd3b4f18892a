/** Estimates of a server's load from reports of different ages. Load: a server that many instances send to. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ChoiceKind, ServerOutcome, createServerLoad } from "@waxwingdale/balancing";
import type { LoadReport, Placement } from "@waxwingdale/balancing";
import { createInstance, createServer } from "./fixtures.js";

const createReport = (running: number, workTimeFactor?: number): LoadReport => ({
    running,
    waiting: 0,
    slots: 4,
    workTimeFactor,
});

// Guards against an old report of a peer that replaces a newer one.
test("the newest report is used, whoever received it", () => {
    const load = createServerLoad();
    load.report(createReport(1, 1), 1000);
    assert.equal(load.merge({ load: createReport(4, 2), ageMs: 200 }, 1100), false);
    assert.deepEqual(load.latest(1100), { load: createReport(1, 1), ageMs: 100, isOwn: true });
    assert.equal(load.merge({ load: createReport(4, 2), ageMs: 20 }, 1100), true);
    assert.deepEqual(load.latest(1100), { load: createReport(4, 2), ageMs: 20, isOwn: false });
    assert.ok(load.expected(1100) > 3);
});

// Guards against counting the requests of this instance as those of others, or others' as its own.
test("requests that this instance has sent or completed since a peer's report are counted once", () => {
    const load = createServerLoad();
    load.start(1000);
    load.start(1050);
    load.merge({ load: createReport(3, 1), ageMs: 80 }, 1100);
    assert.ok(Math.abs(load.expected(1020) - 4) < 0.01, "two of others and two of its own");
    load.finish(1150);
    load.finish(1150);
    load.merge({ load: createReport(2, 1), ageMs: 70 }, 1200);
    assert.ok(Math.abs(load.expected(1130)) < 0.01, "both reported requests were its own");
});

// Guards against a server that is avoided for good after a short slow phase.
test("a stated work time returns to the usual one, in bounds", () => {
    const load = createServerLoad();
    assert.equal(load.workTimeFactor(0), 1);
    for (let at = 0; at < 200; at++) {
        load.report(createReport(1, 1.2), at);
    }
    load.report(createReport(1, 2.5), 200);
    assert.equal(load.workTimeFactor(200), 2.5);
    assert.ok(load.workTimeFactor(800) < 1.9);
    assert.ok(Math.abs(load.workTimeFactor(5000) - 1.25) < 0.1);
    [0, 1e9].forEach(factor => {
        load.report(createReport(1, factor), 6000);
        assert.ok(load.workTimeFactor(6000) >= 0.1 && load.workTimeFactor(6000) <= 20);
    });
});

// Guards against a change for servers that do not state their work time.
test("without a stated work time, the estimate decays as before", () => {
    const load = createServerLoad();
    load.report(createReport(4), 1000);
    const mean = 4 * 0.15;
    const expected = (mean + (4 - mean) * Math.exp(-600 / 300)) * Math.exp(-600 / 4000);
    assert.ok(Math.abs(load.expected(1600) - expected) < 1e-9);
    assert.equal(load.workTimeFactor(1600), 1);
    assert.equal(load.statesWorkTime(), false);
});

// Guards against a server that ends because the bodies of the requests that it holds exceed its memory.
test("large uploads to one object wait instead of going to its server at the same time", () => {
    const { balancer, createRequest } = createInstance([createServer("s1", "n-a", { slots: 6 })]);
    const mib = 1024 * 1024;
    const send = (bodyBytes: number) => {
        const req = createRequest("a", { bodyBytes });
        const choice = balancer.choose(req);
        if (choice.kind === ChoiceKind.Send) {
            balancer.start(req, choice);
        }
        return {
            kind: choice.kind,
            end: () => balancer.finish(req, choice as Placement, { outcome: ServerOutcome.Success }),
        };
    };
    const large = send(20 * mib);
    assert.equal(large.kind, ChoiceKind.Send, "a single one is not held back");
    assert.equal(send(1).kind, ChoiceKind.Full);
    large.end();
    assert.equal(send(5 * mib).kind, ChoiceKind.Send);
    assert.equal(send(5 * mib).kind, ChoiceKind.Full);
    assert.equal(send(2 * mib).kind, ChoiceKind.Send);
});
