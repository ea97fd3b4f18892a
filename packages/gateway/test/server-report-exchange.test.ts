import assert from "node:assert/strict";
import { test } from "node:test";
import { ReportSource, ServerPhase, createBackendTable } from "@waxwingdale/balancing";
import type { BackendTable } from "@waxwingdale/balancing";
import { createManualClock, createSilentLogger } from "@waxwingdale/core";
import { createServerReportExchange } from "../src/server-report-exchange.js";

function createInstance(startedAt = 1, serverCount = 2, mayStoreLackEntries = false) {
    const clock = createManualClock(10_000);
    const table: BackendTable = createBackendTable({
        clock,
        logger: createSilentLogger(),
        regionOf: () => "north",
        coldRequestsPerSecond: () => 20,
        self: "g-1",
        recentColdSenders: () => [[]],
        rateLimits: { random: () => 0, countInstances: () => 1, recentCandidates: () => [[]] },
        onServerRemoved: () => undefined,
    });
    for (const id of Array.from({ length: serverCount }, (_, index) => `i-${index + 1}`)) {
        table.apply(
            {
                id,
                startedAt,
                service: "files",
                address: "10.0.0.1:80",
                zone: "n-a",
                slots: 3,
                phase: ServerPhase.Ready,
                coldRemainingMs: 0,
            },
            false,
        );
    }
    const exchange = createServerReportExchange({
        table,
        clock,
        logger: createSilentLogger(),
        mayStoreLackEntries: () => mayStoreLackEntries,
    });
    const nameLimit = (requestsPerSecond: number | undefined) =>
        table
            .find("i-1")!
            .rateLimit.report(
                requestsPerSecond === undefined ? undefined : { requestsPerSecond },
                clock.now(),
                clock.now(),
            );
    const limitOf = (id: string) => table.find(id)!.rateLimit.requestsPerSecond();
    /** The digest as it arrives at a peer. */
    const getDigest = () => JSON.parse(JSON.stringify(exchange.getDigest())) as unknown;
    return { clock, table, exchange, nameLimit, limitOf, getDigest };
}

test("an instance keeps a limit, and its end, of which it has heard from a peer", () => {
    const sender = createInstance();
    const receiver = createInstance();
    sender.nameLimit(2.3);
    receiver.exchange.handlePeerDigest(sender.getDigest());
    assert.equal(receiver.limitOf("i-1"), 2.3);
    assert.equal(receiver.limitOf("i-2"), undefined);
    sender.clock.jump(1000);
    receiver.clock.jump(1000);
    sender.nameLimit(undefined);
    receiver.exchange.handlePeerDigest(sender.getDigest());
    assert.equal(receiver.limitOf("i-1"), undefined);
});

// Guards against a restarted server that is held to the limit of its earlier life.
test("a limit that a server named before its restart is ignored", () => {
    const sender = createInstance(1);
    const receiver = createInstance(2);
    sender.nameLimit(2.3);
    receiver.exchange.handlePeerDigest(sender.getDigest());
    assert.equal(receiver.limitOf("i-1"), undefined);
});

test("malformed digests and unknown servers are ignored", () => {
    const { exchange, limitOf } = createInstance();
    const rateLimit = { requestsPerSecond: 2, ageMs: 0 };
    const entry = { server: "i-1", startedAt: 1, rateLimit };
    const malformed: unknown[] = [
        undefined,
        "x",
        [1],
        [{ ...entry, rateLimit: { ...rateLimit, requestsPerSecond: -1 } }],
        [{ ...entry, rateLimit: { ...rateLimit, ageMs: -5 } }],
        Array.from({ length: 9 }, () => entry),
    ];
    malformed.forEach(digest => exchange.handlePeerDigest(digest));
    exchange.handlePeerDigest([{ ...entry, server: "i-9" }]);
    assert.equal(limitOf("i-1"), undefined);
});

test("a digest has the servers that are limited", () => {
    const { exchange, nameLimit } = createInstance();
    assert.deepEqual(exchange.getDigest(), []);
    nameLimit(5);
    assert.deepEqual(exchange.getDigest(), [
        { server: "i-1", startedAt: 1, rateLimit: { requestsPerSecond: 5, ageMs: 0 }, isLeaving: false },
    ]);
});

// Guards against requests to a server that has told only other instances that it shuts down.
test("a server that has announced its shutdown to one instance gets no requests from another", () => {
    const sender = createInstance();
    const receiver = createInstance();
    sender.table.markLeaving("i-1", ReportSource.Response);
    receiver.exchange.handlePeerDigest(sender.getDigest());
    assert.deepEqual(
        receiver.table.usable("files").map(({ record }) => record.id),
        ["i-2"],
    );
    const restarted = createInstance(2);
    restarted.exchange.handlePeerDigest(sender.getDigest());
    assert.equal(restarted.table.usable("files").length, 2);
});

// Guards against a cold server that gets the full load of an instance which has read the store after it lost the entry (FAILBACK).
test("an instance hears from a peer that a server is cold while the store may lack it", () => {
    const sender = createInstance(1, 2, true);
    const receiver = createInstance(1, 2, true);
    const remainingMs = 3000;
    const record = { ...sender.table.find("i-1")!.record, coldRemainingMs: remainingMs };
    sender.table.apply(record, true);
    sender.clock.jump(1000);
    receiver.exchange.handlePeerDigest(sender.getDigest());
    const { coldUntil } = receiver.table.find("i-1")!;
    assert.equal(coldUntil, receiver.clock.now() + remainingMs - 1000);
    // What an instance hears back of its own report does not prolong the cold time.
    receiver.clock.jump(500);
    sender.clock.jump(900);
    sender.exchange.handlePeerDigest(receiver.getDigest());
    assert.equal(sender.table.find("i-1")!.coldUntil, sender.clock.now() + remainingMs - 1900);
    const settled = createInstance();
    settled.table.apply(record, true);
    assert.deepEqual(settled.getDigest(), []);
});

// Guards against gossip that grows with the number of servers in need.
test("a digest is bounded, and consecutive ones have all servers", () => {
    const sender = createInstance(1, 40);
    const receiver = createInstance(1, 40);
    sender.table.all().forEach(({ record }) => sender.table.markLeaving(record.id, ReportSource.Response));
    for (let round = 0; round < 5; round++) {
        const digest = sender.getDigest() as unknown[];
        assert.ok(digest.length <= 8, `${digest.length} entries`);
        receiver.exchange.handlePeerDigest(digest);
    }
    assert.equal(receiver.table.usable("files").length, 0);
});
