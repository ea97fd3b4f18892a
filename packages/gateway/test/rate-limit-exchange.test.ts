import assert from "node:assert/strict";
import { test } from "node:test";
import { ServerPhase, createBackendTable } from "@waxwingdale/balancing";
import type { BackendTable } from "@waxwingdale/balancing";
import { createManualClock, createSilentLogger } from "@waxwingdale/core";
import { createRateLimitExchange } from "../src/rate-limit-exchange.js";

function createInstance(startedAt = 1) {
    const clock = createManualClock(10_000);
    const table: BackendTable = createBackendTable({
        clock,
        logger: createSilentLogger(),
        regionOf: () => "north",
        coldRequestsPerSecond: () => 20,
        self: "g-1",
        coldSenders: () => [],
        rateLimits: { random: () => 0, countInstances: () => 1, recentCandidates: () => [[]] },
        onServerRemoved: () => undefined,
    });
    for (const id of ["i-1", "i-2"]) {
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
    const exchange = createRateLimitExchange({ table, clock, logger: createSilentLogger() });
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
    return { clock, exchange, nameLimit, limitOf, getDigest };
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
    const entry = { server: "i-1", startedAt: 1, requestsPerSecond: 2, ageMs: 0 };
    const malformed: unknown[] = [
        undefined,
        "x",
        [1],
        [{ ...entry, requestsPerSecond: -1 }],
        [{ ...entry, ageMs: -5 }],
        Array.from({ length: 65 }, () => entry),
    ];
    malformed.forEach(digest => exchange.handlePeerDigest(digest));
    exchange.handlePeerDigest([{ ...entry, server: "i-9" }]);
    assert.equal(limitOf("i-1"), undefined);
});

test("a digest has the limits that were heard of last", () => {
    const { exchange, nameLimit } = createInstance();
    assert.deepEqual(exchange.getDigest(), []);
    nameLimit(5);
    assert.deepEqual(exchange.getDigest(), [{ server: "i-1", startedAt: 1, requestsPerSecond: 5, ageMs: 0 }]);
});
