import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { MemberStatus, createManualClock, createRandom, createSilentLogger } from "@waxwingdale/core";
import type { Member, RpcHandler } from "@waxwingdale/core";
import { compareRows, createMembership, decodeRow, encodeRow } from "@waxwingdale/membership";
import type { GossipMessage, SyncResult } from "@waxwingdale/membership";
import { makeMember } from "./fake-fleet.js";

function createOne() {
    const methods = new Map<string, RpcHandler>();
    const membership = createMembership({
        self: makeMember("self"),
        transport: { call: () => Promise.reject(new Error("no network")) },
        rpc: { addMethod: (name, handler) => void methods.set(name, handler) },
        clock: createManualClock(),
        random: createRandom(1),
        logger: createSilentLogger(),
        findSeeds: async () => [],
    });
    const receive = (method: string, message: unknown) =>
        methods.get(method)!(JSON.parse(JSON.stringify(message)) as unknown, "peer");
    return { membership, receive };
}

function makeMessage(rows: Member[]) {
    const from = encodeRow(makeMember("peer"));
    return { v: 1, from, rows: rows.map(encodeRow), hash: "", digests: {}, buckets: "" };
}

const rowArbitrary = fc
    .record({
        id: fc.constantFrom("a", "b", "c"),
        incarnation: fc.integer({ min: 0, max: 3 }),
        status: fc.constantFrom(...Object.values(MemberStatus)),
        ready: fc.boolean(),
        peerAddress: fc.constantFrom("x.test:1", "y.test:1"),
    })
    .map(change => makeMember(change.id, change));

test("merging is independent of the order, grouping and repetition of rows", () => {
    const scenario = fc.array(rowArbitrary, { maxLength: 12 }).chain(rows =>
        fc.record({
            rows: fc.constant(rows),
            shuffled: fc.shuffledSubarray(rows, { minLength: rows.length }),
            repeated: fc.subarray(rows),
            size: fc.integer({ min: 1, max: 5 }),
        }),
    );
    fc.assert(
        fc.property(scenario, ({ rows, shuffled, repeated, size }) => {
            const [one, other] = [createOne(), createOne()];
            one.receive("gossip.exchange", makeMessage(rows));
            other.receive("gossip.exchange", makeMessage([]));
            const sequence = [...repeated, ...shuffled, ...repeated];
            for (let i = 0; i < sequence.length; i += size) {
                other.receive("gossip.exchange", makeMessage(sequence.slice(i, i + size)));
            }
            assert.deepEqual(one.membership.members(), other.membership.members());
        }),
        { seed: 1 },
    );
});

// Guards against two rows that keep replacing each other.
test("rows have a total order", () => {
    fc.assert(
        fc.property(rowArbitrary, rowArbitrary, rowArbitrary, (x, y, z) => {
            const [a, b, c] = [x, y, z].map(row => ({ ...row, id: "a" })) as [Member, Member, Member];
            assert.equal(Math.sign(compareRows(a, b)) + Math.sign(compareRows(b, a)), 0);
            assert.equal(compareRows(a, b) === 0, JSON.stringify(a) === JSON.stringify(b));
            assert.ok(!(compareRows(a, b) > 0 && compareRows(b, c) > 0) || compareRows(a, c) > 0);
        }),
        { seed: 1 },
    );
});

// Guards against any row about the local member that it fails to refute.
test("the local member's row always wins and keeps its status", () => {
    fc.assert(
        fc.property(fc.array(rowArbitrary, { maxLength: 8 }), rows => {
            const { membership, receive } = createOne();
            for (const row of rows) {
                receive("gossip.exchange", makeMessage([{ ...row, id: "self" }]));
            }
            const self = membership.self();
            assert.equal(self.status, MemberStatus.Live);
            assert.ok(rows.every(row => compareRows(row, self) < 0 || row.incarnation < self.incarnation));
            assert.deepEqual(membership.find("self"), self);
        }),
        { seed: 1 },
    );
});

// Guards against invalid messages, also of other releases, that throw unexpected errors or leave invalid rows.
test("invalid messages are rejected and add no rows", async () => {
    const garbage = fc.oneof(
        fc.jsonValue(),
        fc.record(
            {
                v: fc.constantFrom(1, 2, "1"),
                from: fc.oneof(fc.jsonValue(), fc.constant(encodeRow(makeMember("peer")))),
                rows: fc.oneof(fc.jsonValue(), fc.array(fc.oneof(fc.jsonValue(), fc.array(fc.jsonValue())))),
                hash: fc.jsonValue(),
                digests: fc.jsonValue(),
                buckets: fc.jsonValue(),
            },
            { requiredKeys: [] },
        ),
    );
    const methods = fc.constantFrom("gossip.exchange", "gossip.sync", "gossip.probe");
    await fc.assert(
        fc.asyncProperty(methods, garbage, async (method, message) => {
            const { membership, receive } = createOne();
            try {
                await receive(method, message);
            } catch (err) {
                assert.equal((err as Error).name, "GossipFormatError");
            }
            for (const member of membership.members()) {
                assert.deepEqual(decodeRow(encodeRow(member)), member);
            }
            assert.ok(membership.members().every(({ id }) => id === "self" || id === "peer"));
        }),
        { seed: 1, numRuns: 500 },
    );
});

test("a row with one invalid field is rejected", () => {
    const good = encodeRow({ ...makeMember("a"), capacity: 60 });
    assert.ok(decodeRow([...good, "a later field"]));
    const bad = [
        [0, ""],
        [0, "x".repeat(200)],
        [1, -1],
        [1, 2 ** 53],
        [1, 1.5],
        [2, 9],
        [5, "x"],
        [6, "a/b:1"],
        [7, 2],
        [9, -1],
        [9, "x"],
    ];
    for (const [index, value] of bad) {
        assert.equal(decodeRow(good.with(index as number, value)), undefined, `field ${index}`);
    }
});

test("messages stay small in a view of 420 members", () => {
    const { membership, receive } = createOne();
    const fleet = Array.from({ length: 420 }, (_, i) => makeMember(`entry-${i}-of-the-fleet`));
    receive("gossip.exchange", makeMessage(fleet));
    assert.equal(membership.members().length, 422);
    const exchange = receive("gossip.exchange", makeMessage([])) as GossipMessage;
    const sync = receive("gossip.sync", { ...makeMessage([]), buckets: "none" }) as SyncResult;
    assert.ok(exchange.rows.length <= 16 && JSON.stringify(exchange).length < 2500);
    assert.ok(sync.rows.length <= 32 && JSON.stringify(sync).length < 5000);
    assert.equal(sync.complete, false);
});

// Guards against sending the full view to every member of a joining zone.
test("the row budget limits the responses to many simultaneous syncs", () => {
    const { receive } = createOne();
    const fleet = Array.from({ length: 420 }, (_, i) => makeMember(`entry-${i}`));
    receive("gossip.exchange", makeMessage(fleet));
    const counts = Array.from({ length: 60 }, () => {
        const result = receive("gossip.sync", { ...makeMessage([]), buckets: "none" }) as SyncResult;
        return result.rows.length;
    });
    const sum = counts.reduce((total, count) => total + count, 0);
    // A response contains whole buckets, so one limited to the minimum of 8 rows may contain slightly fewer.
    assert.ok(counts.every(count => count >= 1 && count <= 32));
    assert.ok(sum >= 60 * 4 && sum <= 100 + 60 * 8, `${sum} rows`);
});
