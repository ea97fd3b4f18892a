/** Entries of servers that lapse and come back while the process behind them lives, for example after an outage of the store. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ChoiceKind, ReportSource, ServerOutcome } from "@waxwingdale/balancing";
import type { Placement } from "@waxwingdale/balancing";
import { createInstance, createServer } from "./fixtures.js";
import type { Instance } from "./fixtures.js";

const server = createServer("i-1", "n-a", { startedAt: 5 });

/** Sends a request that the server will reject. Returns a function with which it does so, asking for no requests for a time. */
function send({ balancer, createRequest, clock }: Instance): (retryAfterMs: number) => void {
    const req = createRequest("1");
    const placement = balancer.choose(req) as Placement;
    const writtenAt = clock.now();
    balancer.start(req, placement);
    return retryAfterMs => {
        const response = { rateLimit: undefined, retryAfterMs };
        balancer.finish(req, placement, { outcome: ServerOutcome.Shed, writtenAt, response });
    };
}

// Guards against requests within the time of a Retry-After, since the entry lapsed meanwhile (BUDGET).
test("a server that has asked for no requests gets none after its entry was away", () => {
    const instance = createInstance([server]);
    const { table, balancer, clock, createRequest } = instance;
    send(instance)(30_000);
    table.remove("i-1");
    clock.jump(2500);
    table.apply(server, true);
    assert.equal(balancer.choose(createRequest("1")).kind, ChoiceKind.Throttled);
    clock.jump(28_000);
    assert.equal(balancer.choose(createRequest("1")).kind, ChoiceKind.Send);
});

// Guards against a rejection that comes when the entry has lapsed, and is forgotten with it (BUDGET).
test("a server that asks for no requests while its entry is away gets none afterwards", () => {
    const instance = createInstance([server]);
    const { table, balancer, clock, createRequest } = instance;
    const reject = send(instance);
    table.remove("i-1");
    reject(30_000);
    clock.jump(2500);
    table.apply(server, true);
    assert.equal(balancer.choose(createRequest("1")).kind, ChoiceKind.Throttled);
});

// Guards against requests to a server that shuts down, whose entry lapsed and is back without saying so (DRAIN).
test("a server that has announced its shutdown gets no requests after its entry was away", () => {
    for (const isAway of [false, true]) {
        const { table, balancer, createRequest } = createInstance([server]);
        if (!isAway) {
            table.markLeaving("i-1", ReportSource.Response);
        }
        table.remove("i-1");
        if (isAway) {
            table.markLeaving("i-1", ReportSource.Response);
        }
        table.apply(server, true);
        assert.notEqual(balancer.choose(createRequest("1")).kind, ChoiceKind.Send);
        assert.ok(table.find("i-1")!.isLeaving);
    }
});

test("a server names its limit once, and it holds after the entry was away", () => {
    const { table, clock } = createInstance([server]);
    table.find("i-1")!.rateLimit.report({ requestsPerSecond: 2 }, clock.now(), clock.now());
    table.remove("i-1");
    clock.jump(2500);
    table.apply(server, true);
    assert.equal(table.find("i-1")!.rateLimit.requestsPerSecond(), 2);
});

test("what a process has said does not hold for the next one under the same id", () => {
    for (const next of [
        { ...server, startedAt: 9 },
        { ...server, address: "10.0.0.2:8000" },
    ]) {
        const instance = createInstance([server]);
        const { table, balancer, createRequest } = instance;
        send(instance)(30_000);
        table.markLeaving("i-1", ReportSource.Response);
        table.remove("i-1");
        table.apply(next, true);
        assert.equal(balancer.choose(createRequest("1")).kind, ChoiceKind.Send);
    }
});

test("a server is forgotten after the longest time for which it may ask for no requests", () => {
    const instance = createInstance([server]);
    const { table, clock } = instance;
    table.markLeaving("i-1", ReportSource.Response);
    table.remove("i-1");
    clock.jump(4_100_000);
    table.apply(server, true);
    assert.equal(table.find("i-1")!.isLeaving, false);
});
