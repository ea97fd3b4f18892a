import assert from "node:assert/strict";
import { test } from "node:test";
import { ClaimState, ClaimsUnavailableError, MemberStatus, pickOwner } from "@waxwingdale/core";
import type { ClaimRequest, ClaimResult, RecordedResponse } from "@waxwingdale/core";
import { hashKey, pickShard } from "../src/claim-key.js";
import { createFleet, defaultLimits } from "./claims-harness.js";

type Fleet = ReturnType<typeof createFleet>;

const response: RecordedResponse = { status: 201, headers: { "content-type": "text/plain" }, body: "Yg==" };
let nextAttempt = 0;

function createRequest(fleet: Fleet, key: string, change: Partial<ClaimRequest> = {}): ClaimRequest {
    const attemptId = `attempt-${nextAttempt++}`;
    return {
        service: "register",
        key,
        attemptId,
        requestHash: "h1",
        deadlineAt: fleet.clock.now() + 3000,
        ...change,
    };
}

/** Advances the clock until the promise settles. */
async function settle<Value>(fleet: Fleet, promise: Promise<Value>, maxMs = 20_000): Promise<Value> {
    let isDone = false;
    const watched = promise.finally(() => (isDone = true));
    watched.catch(() => undefined);
    for (let ms = 0; ms < maxMs && !isDone; ms += 10) {
        await fleet.clock.advance(10);
    }
    assert.ok(isDone, `the promise did not settle within ${maxMs} ms`);
    return watched;
}

function begin(fleet: Fleet, id: string, req: ClaimRequest): Promise<ClaimResult> {
    return settle(fleet, fleet.nodes.get(id)!.service.begin(req));
}

function startFleet(ids = ["a", "b", "c"], limits = {}): Fleet {
    const fleet = createFleet(ids, { limits });
    ids.forEach(id => fleet.start(id));
    return fleet;
}

function findOwner(key: string, ids: string[]): string {
    const shard = pickShard(hashKey("register", key), defaultLimits.shards);
    return pickOwner(`claims/${shard}`, ids)!;
}

test("a repeated request gets the first outcome from any entry", async () => {
    const fleet = startFleet();
    const req = createRequest(fleet, "k");
    assert.equal((await begin(fleet, "a", req)).state, ClaimState.Granted);
    fleet.nodes.get("a")!.service.finish(req, { kind: "ran", response });
    await fleet.clock.advance(500);
    for (const id of ["a", "b", "c"]) {
        assert.deepEqual(await begin(fleet, id, createRequest(fleet, "k")), {
            state: ClaimState.Finished,
            response,
        });
    }
    const reused = await begin(fleet, "b", createRequest(fleet, "k", { requestHash: "h2" }));
    assert.equal(reused.state, ClaimState.KeyReused);
    assert.deepEqual(await settle(fleet, fleet.nodes.get("c")!.service.find("register", "k")), {
        state: ClaimState.Finished,
        response,
    });
    assert.equal(
        (await settle(fleet, fleet.nodes.get("c")!.service.find("register", "other"))).state,
        ClaimState.Absent,
    );
});

test("a repeat of a running request waits for the outcome until its deadline", async () => {
    const fleet = startFleet();
    const req = createRequest(fleet, "k");
    await begin(fleet, "a", req);
    assert.equal((await begin(fleet, "b", createRequest(fleet, "k"))).state, ClaimState.Running);
    const repeat = fleet.nodes.get("c")!.service.begin(createRequest(fleet, "k"));
    await fleet.clock.advance(300);
    fleet.nodes.get("a")!.service.finish(req, { kind: "ran", response });
    assert.equal((await settle(fleet, repeat)).state, ClaimState.Finished);
});

test("the claim of a request that did not run is released, and a delayed duplicate of it is not granted", async () => {
    const fleet = startFleet();
    const req = createRequest(fleet, "k");
    fleet.network.duplicateRate = 1;
    await begin(fleet, "a", req);
    fleet.nodes.get("a")!.service.finish(req, { kind: "not-run" });
    // Duplicates of the first claim arrive up to 8 s later.
    await fleet.clock.advance(9000);
    fleet.network.duplicateRate = 0;
    const next = createRequest(fleet, "k");
    assert.equal((await begin(fleet, "b", next)).state, ClaimState.Granted);
    assert.equal((await begin(fleet, "c", createRequest(fleet, "k"))).state, ClaimState.Running);
});

test("a claim whose entry crashed or restarted is unknown and never granted again", async () => {
    const fleet = startFleet();
    const key = "k";
    const entry = ["a", "b", "c"].find(id => id !== findOwner(key, ["a", "b", "c"]))!;
    const other = ["a", "b", "c"].find(id => id !== entry)!;
    await begin(fleet, entry, createRequest(fleet, key));
    fleet.crash(entry);
    fleet.syncViews();
    assert.equal((await begin(fleet, other, createRequest(fleet, key))).state, ClaimState.Unknown);
    fleet.restart(entry);
    fleet.syncViews();
    for (const id of ["a", "b", "c"]) {
        assert.equal((await begin(fleet, id, createRequest(fleet, key))).state, ClaimState.Unknown);
    }
});

test("a live entry that refuted a suspicion keeps its running claim", async () => {
    const fleet = startFleet();
    const owner = findOwner("k", ["a", "b", "c"]);
    const entry = ["a", "b", "c"].find(id => id !== owner)!;
    const req = createRequest(fleet, "k");
    await begin(fleet, entry, req);
    fleet.nodes.get(owner)!.updateMember(entry, { incarnation: 2 });
    assert.equal((await begin(fleet, owner, createRequest(fleet, "k"))).state, ClaimState.Running);
    fleet.nodes.get(entry)!.service.finish(req, { kind: "ran", response });
    await fleet.clock.advance(500);
    assert.equal((await begin(fleet, owner, createRequest(fleet, "k"))).state, ClaimState.Finished);
});

test("while the store is down, new keys are rejected before their deadline and finished outcomes are replayed", async () => {
    const fleet = startFleet();
    const req = createRequest(fleet, "k");
    await begin(fleet, "a", req);
    fleet.nodes.get("a")!.service.finish(req, { kind: "ran", response });
    // A new entry reads the shard layout at startup, so it can handle the repeated request without the store.
    fleet.restart("c");
    fleet.syncViews();
    await fleet.clock.advance(500);
    fleet.store.inner.faults.down = true;
    const startedAt = fleet.clock.now();
    await assert.rejects(
        begin(fleet, "b", createRequest(fleet, "new", { deadlineAt: startedAt + 30_000 })),
        ClaimsUnavailableError,
    );
    assert.ok(fleet.clock.now() - startedAt < 200, "the rejection took too long");
    assert.equal((await begin(fleet, "c", createRequest(fleet, "k"))).state, ClaimState.Finished);
});

test("an outcome is eventually stored even if the store is down and the owner crashes", async () => {
    const fleet = startFleet();
    const owner = findOwner("k", ["a", "b", "c"]);
    const entry = ["a", "b", "c"].find(id => id !== owner)!;
    const req = createRequest(fleet, "k");
    await begin(fleet, entry, req);
    fleet.store.inner.faults.down = true;
    fleet.nodes.get(entry)!.service.finish(req, { kind: "ran", response });
    await fleet.clock.advance(2000);
    fleet.crash(owner);
    fleet.syncViews();
    await fleet.clock.advance(2000);
    fleet.store.inner.faults.down = false;
    await fleet.clock.advance(5000);
    assert.equal(fleet.store.finished.get(req.attemptId), JSON.stringify(response));
    assert.equal(fleet.nodes.get(entry)!.service.state().unacknowledged, 0);
});

test("a claim that is committed after its entry timed out does not block the key", async () => {
    const fleet = startFleet(["a", "b"], { shards: 1 });
    const owner = pickOwner("claims/0", ["a", "b"])!;
    const req = createRequest(fleet, "k");
    await begin(fleet, owner, createRequest(fleet, "warm-up"));
    fleet.store.delayedWrites = 1;
    fleet.store.inner.faults.down = true;
    await assert.rejects(begin(fleet, owner, req), ClaimsUnavailableError);
    fleet.store.inner.faults.down = false;
    // Still before the deadline, so that only a message of the entry can release the key.
    await fleet.clock.advance(2500);
    assert.ok(fleet.store.committed.has(req.attemptId), "the delayed write was not applied");
    assert.equal((await begin(fleet, "a", createRequest(fleet, "k"))).state, ClaimState.Granted);
});

test("a claim that no request holds is released after its deadline", async () => {
    const fleet = startFleet(["a", "b"], { shards: 1 });
    const owner = fleet.nodes.get(pickOwner("claims/0", ["a", "b"])!)!;
    const entry = [...fleet.nodes.values()].find(node => node !== owner)!;
    await begin(fleet, "a", createRequest(fleet, "warm-up"));
    // The claim message of an attempt that has ended and that the entry has removed.
    const msg = {
        ...{ shard: 0, keyHash: hashKey("register", "k"), requestHash: "h1", attemptId: "late" },
        ...{ entryId: entry.id, incarnation: 1, session: entry.service.state().session },
        expiresAt: fleet.clock.wallTime() + 1000,
    };
    await settle(fleet, Promise.resolve(owner.methods.get("claims.begin")!(msg, entry.id)));
    assert.equal((await begin(fleet, "a", createRequest(fleet, "k"))).state, ClaimState.Running);
    await fleet.clock.advance(6000);
    assert.equal((await begin(fleet, "a", createRequest(fleet, "k"))).state, ClaimState.Granted);
    await fleet.clock.advance(10_000);
    const reply = owner.methods.get("claims.begin")!(
        { ...msg, keyHash: "other", attemptId: "later" },
        entry.id,
    );
    assert.deepEqual(await settle(fleet, Promise.resolve(reply)), {
        kind: "unavailable",
        maybeCommitted: false,
    });
});

test("an attempt that ends while the owner asks about it is not released", async () => {
    const fleet = startFleet(["a", "b"], { shards: 1 });
    const owner = fleet.nodes.get(pickOwner("claims/0", ["a", "b"])!)!;
    const entry = [...fleet.nodes.values()].find(node => node !== owner)!;
    const req = createRequest(fleet, "k");
    await begin(fleet, entry.id, req);
    const handleQuery = entry.methods.get("claims.attempt")!;
    entry.methods.set("claims.attempt", async (query, from) => {
        // The outcome is acknowledged between the owner's query and the entry's response.
        entry.service.finish(req, { kind: "unknown" });
        await fleet.clock.sleep(300);
        return handleQuery(query, from);
    });
    owner.updateMember(entry.id, { incarnation: 2 });
    assert.equal((await begin(fleet, owner.id, createRequest(fleet, "k"))).state, ClaimState.Unknown);
});

test("a write whose response was lost is resolved by the batch id, without a change of owner", async () => {
    const fleet = startFleet(["a", "b"], { shards: 1 });
    await begin(fleet, "a", createRequest(fleet, "warm-up"));
    fleet.store.inner.faults.loseWriteAnswers = 1;
    assert.equal((await begin(fleet, "a", createRequest(fleet, "k"))).state, ClaimState.Granted);
    const head = await settle(fleet, fleet.store.get("claims/0"));
    assert.equal((head!.value as { epoch: number }).epoch, 1);
});

test("a former owner does not acknowledge the outcome of an attempt that is missing from its records", async () => {
    const fleet = startFleet(["a", "b"], { shards: 1 });
    const owner = pickOwner("claims/0", ["a", "b"])!;
    const other = owner === "a" ? "b" : "a";
    const first = createRequest(fleet, "k");
    await begin(fleet, owner, first);
    fleet.nodes.get(owner)!.service.finish(first, { kind: "not-run" });
    await fleet.clock.advance(500);
    fleet.nodes.get(other)!.updateMember(owner, { status: MemberStatus.Dead });
    const req = createRequest(fleet, "k");
    assert.equal((await begin(fleet, other, req)).state, ClaimState.Granted);
    fleet.syncViews();
    fleet.nodes.get(other)!.service.finish(req, { kind: "ran", response });
    await fleet.clock.advance(3000);
    assert.equal(fleet.store.finished.get(req.attemptId), JSON.stringify(response));
});

test("a grant is not usable after its deadline", async () => {
    const fleet = startFleet();
    const req = createRequest(fleet, "k");
    await begin(fleet, "a", req);
    const { service } = fleet.nodes.get("a")!;
    assert.equal(service.isGrantUsable(req), true);
    fleet.clock.jump(3000);
    assert.equal(service.isGrantUsable(req), false);
});

test("two entries that both believe they own a shard do not keep taking it over from each other", async () => {
    const fleet = startFleet(["a", "b"], { shards: 1 });
    fleet.nodes.get("a")!.updateMember("b", { status: MemberStatus.Dead });
    fleet.nodes.get("b")!.updateMember("a", { status: MemberStatus.Dead });
    const granted = new Set<string>();
    for (let round = 0; round < 100; round++) {
        for (const id of ["a", "b"]) {
            const key = `k${round}`;
            void fleet.nodes
                .get(id)!
                .service.begin(createRequest(fleet, key))
                .then(result => {
                    if (result.state === ClaimState.Granted) {
                        assert.ok(!granted.has(key), "granted twice");
                        granted.add(key);
                    }
                })
                .catch((err: unknown) => assert.ok(err instanceof ClaimsUnavailableError, String(err)));
        }
        await fleet.clock.advance(100);
    }
    const head = await settle(fleet, fleet.store.get("claims/0"));
    const { epoch } = head!.value as { epoch: number };
    assert.ok(epoch < 20, `${epoch} changes of owner in 10 s`);
    assert.ok(granted.size > 0, "no claim was granted");
});

test("the writes of all entries stay within the fleet-wide budget", async () => {
    const fleet = startFleet(["a", "b", "c"], { shards: 8, maxWritesPerSecond: 40 });
    let granted = 0;
    const latencies: number[] = [];
    for (let ms = 0; ms < 5000; ms += 5) {
        const startedAt = fleet.clock.now();
        const req = createRequest(fleet, `k${ms}`, { deadlineAt: startedAt + 4000 });
        const { service } = fleet.nodes.get(["a", "b", "c"][ms % 3]!)!;
        void service.begin(req).then(() => {
            granted++;
            latencies.push(fleet.clock.now() - startedAt);
            service.finish(req, { kind: "ran", response });
        });
        await fleet.clock.advance(5);
    }
    await fleet.clock.advance(2000);
    assert.equal(granted, 1000);
    const maxWrites = maxCountInWindow(fleet.store.writeTimes, 1000);
    // One write creates the layout object.
    assert.ok(maxWrites <= 41, `${maxWrites} writes within one second`);
    latencies.sort((x, y) => x - y);
    assert.ok(latencies[500]! < 400, `median ${latencies[500]} ms`);
});

test("records move to archives, survive a change of owner, and expire", async () => {
    const fleet = startFleet(["a", "b"], { shards: 1, retentionSeconds: 600, maxOutcomeBytes: 60_000 });
    const big: RecordedResponse = {
        status: 200,
        headers: {},
        body: Buffer.alloc(30_000, 1).toString("base64"),
    };
    for (let i = 0; i < 40; i++) {
        const req = createRequest(fleet, `k${i}`);
        await begin(fleet, "a", req);
        fleet.nodes.get("a")!.service.finish(req, { kind: "ran", response: big });
    }
    await fleet.clock.advance(2000);
    const owner = pickOwner("claims/0", ["a", "b"])!;
    const other = owner === "a" ? "b" : "a";
    assert.ok(fleet.nodes.get(owner)!.service.state().owned[0]!.archives >= 3, "too few archives");
    const head = await settle(fleet, fleet.store.get("claims/0"));
    assert.ok(JSON.stringify(head!.value).length < 80_000, "the head is too large");
    fleet.crash(owner);
    fleet.syncViews();
    const repeat = await begin(fleet, other, createRequest(fleet, "k0"));
    assert.deepEqual(repeat, { state: ClaimState.Finished, response: big });
    fleet.clock.jump(700_000);
    assert.equal((await begin(fleet, other, createRequest(fleet, "k0"))).state, ClaimState.Granted);
    await fleet.clock.advance(5000);
    const left = await settle(fleet, fleet.store.list("claims/0/"));
    assert.equal(left.length, 0, "archives past the retention are deleted");
});

test("at the memory limit, new keys are rejected and finished outcomes are replayed", async () => {
    const fleet = createFleet(["a"], { maxOwnedBytes: 1 });
    fleet.start("a");
    const req = createRequest(fleet, "k");
    await begin(fleet, "a", req);
    await assert.rejects(begin(fleet, "a", createRequest(fleet, "new")), ClaimsUnavailableError);
    fleet.nodes.get("a")!.service.finish(req, { kind: "ran", response });
    await fleet.clock.advance(500);
    assert.equal((await begin(fleet, "a", createRequest(fleet, "k"))).state, ClaimState.Finished);
});

test("entries use the number of shards in the store after the manifest has changed", async () => {
    const fleet = startFleet();
    const req = createRequest(fleet, "k");
    await begin(fleet, "a", req);
    fleet.limits.shards = 7;
    fleet.restart("c");
    fleet.syncViews();
    assert.equal((await begin(fleet, "c", createRequest(fleet, "k"))).state, ClaimState.Running);
    assert.equal(fleet.nodes.get("c")!.service.state().shards, defaultLimits.shards);
});

function maxCountInWindow(times: number[], windowMs: number): number {
    let maxWrites = 0;
    let first = 0;
    for (const [index, time] of times.entries()) {
        while (times[first]! <= time - windowMs) {
            first++;
        }
        maxWrites = Math.max(maxWrites, index - first + 1);
    }
    return maxWrites;
}
