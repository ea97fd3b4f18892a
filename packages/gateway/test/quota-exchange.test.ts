import assert from "node:assert/strict";
import { test } from "node:test";
import { QuotaVerdict } from "@waxwingdale/balancing";
import { createManualClock, createSilentLogger } from "@waxwingdale/core";
import type { LogFields, Member, MemberView, RpcHandler } from "@waxwingdale/core";
import { createInstanceCounts } from "../src/instance-counts.js";
import { createInstanceTopology } from "../src/instance-topology.js";
import { createQuotaExchange } from "../src/quota-exchange.js";
import { createMember } from "./fixtures.js";
import { createQuotaFleet, createWorkspace, declaredQuotaBounds } from "./quota-fleet.js";

const settledMs = 9000;
const instances = 12;

/** Instances in three regions, one with a third of the demand on fewer callers. */
function createFleet(names: number, rate: number, burst: number) {
    const regionOf = (index: number) => index % 3;
    const weights = Array.from({ length: instances }, (_, index) => 1 + (index % 4));
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    const workspaces = Array.from({ length: names }, (_, index) =>
        createWorkspace(`w-${index}`, rate, burst),
    );
    const fleet = createQuotaFleet({
        instances,
        seed: 5,
        workspaces,
        delayMs: (from, to) => (regionOf(from) === regionOf(to) ? 1.4 : 55),
    });
    const load = (factor: number) => (index: number) => (rate * factor * weights[index]!) / total;
    const countCalls = () => fleet.exchanges().reduce((sum, exchange) => sum + exchange.totals().calls, 0);
    return { fleet, load, workspaces, countCalls };
}

/** Demand relative to the quota, and the largest fraction of the requests that may wait. */
const usualCases = [
    { rate: 20, burst: 20, factor: 0.6, maxWaiting: 0.06 },
    { rate: 100, burst: 100, factor: 0.6, maxWaiting: 0.03 },
    { rate: 100, burst: 20, factor: 0.6, maxWaiting: 0.08 },
    { rate: 100, burst: 100, factor: 0.9, maxWaiting: 0.03 },
    { rate: 2, burst: 2, factor: 0.6, maxWaiting: 0.03 },
    { rate: 2, burst: 0, factor: 0.6, maxWaiting: 0.03 },
];
const overloadCases = [
    { rate: 20, burst: 20, factor: 4.5 },
    { rate: 100, burst: 0, factor: 4.5 },
    { rate: 300, burst: 60, factor: 4.5 },
];

async function measure(names: number, rate: number, burst: number, factor: number) {
    const { fleet, load } = createFleet(names, rate, burst);
    await fleet.run(settledMs, load(Math.min(factor, 0.9)));
    const before = fleet.requests.length;
    await fleet.run(10_000, load(factor));
    const requests = fleet.requests.slice(before);
    const withVerdict = (verdict: QuotaVerdict) => requests.filter(request => request.verdict === verdict);
    return {
        requests,
        admitted: withVerdict(QuotaVerdict.Admitted).length,
        rejected: withVerdict(QuotaVerdict.Exceeded),
    };
}

for (const { rate, burst, factor, maxWaiting } of usualCases) {
    // Guards against tokens that lie unused at other instances while a request is rejected (QUOTA).
    test(`demand of ${factor} of ${rate} per second, burst ${burst}, is admitted`, async () => {
        const { requests, admitted } = await measure(20, rate, burst, factor);
        const waiting = requests.filter(({ waitedMs }) => waitedMs > 0).length;
        assert.equal(admitted, requests.length);
        assert.ok(waiting <= requests.length * maxWaiting, `${waiting} of ${requests.length} waited`);
    });
}

// Guards against a low rate of which each instance has less than one request.
test("requests at 95 % of 2 per second are admitted, whichever instances they reach", async () => {
    const { fleet, workspaces } = createFleet(1, 2, 0);
    await fleet.run(settledMs, () => 0);
    for (let count = 0; count < 200; count++) {
        fleet.send(Math.floor(fleet.random() ** 2 * instances), workspaces[0]!);
        await fleet.run(1000 / 1.9, () => 0);
    }
    assert.ok(fleet.requests.every(({ verdict }) => verdict === QuotaVerdict.Admitted));
});

for (const { rate, burst, factor } of overloadCases) {
    // Guards against a quota that overload keeps from being used, and against callers that wait to be rejected.
    test(`${factor} times the quota of ${rate} per second, burst ${burst}, uses all of it`, async () => {
        const { requests, admitted, rejected } = await measure(1, rate, burst, factor);
        const atOnce = rejected.filter(({ waitedMs }) => waitedMs === 0).length / rejected.length;
        assert.ok(admitted >= 0.9 * rate * 10);
        assert.ok(admitted + rejected.length >= requests.length * 0.99);
        assert.ok(atOnce >= 0.85, `${atOnce} rejected at once`);
        assert.ok(rejected.every(({ retryAfterMs }) => retryAfterMs > 0 && retryAfterMs <= 5000));
    });
}

// Guards against an owner that takes the calls after its absence for old ones.
test("all demand is admitted again after a partition", async () => {
    const { fleet, load } = createFleet(20, 20, 20);
    await fleet.run(settledMs * 3, load(0.6));
    fleet.partition(index => index % 3);
    await fleet.run(settledMs, load(0.6));
    fleet.partition(() => 0);
    await fleet.run(14_000, load(0.6));
    const before = fleet.requests.length;
    await fleet.run(5000, load(0.6));
    const requests = fleet.requests.slice(before);
    assert.ok(requests.every(({ verdict }) => verdict === QuotaVerdict.Admitted));
});

// Guards against calls that grow with the requests or the workspaces.
test("an active instance of 12 makes at most 25 calls a second for 87 workspaces", async () => {
    const { fleet, load, countCalls } = createFleet(87, 21, 21);
    await fleet.run(settledMs, load(0.6));
    const before = countCalls();
    await fleet.run(10_000, load(0.6));
    assert.ok((countCalls() - before) / 10 / instances <= 25);
    await fleet.run(20_000, () => 0);
    const idle = countCalls();
    await fleet.run(5000, () => 0);
    assert.equal(countCalls(), idle);
});

// Guards against a limit that stays at what it was when the workspace was first seen.
test("lowered, raised and removed limits take effect within a window", async () => {
    const { fleet, load, workspaces } = createFleet(1, 100, 20);
    const countAdmitted = async () => {
        const before = fleet.requests.length;
        await fleet.run(5000, load(5));
        return fleet.requests.slice(before).filter(({ verdict }) => verdict === QuotaVerdict.Admitted).length;
    };
    await fleet.run(settledMs, load(0.6));
    const admitted: number[] = [];
    for (const rate of [100, 10, 200]) {
        fleet.setWorkspaces([{ ...workspaces[0]!, requestsPerSecond: rate }]);
        await fleet.run(5000, load(5));
        admitted.push(await countAdmitted());
    }
    [100, 10, 200].forEach((rate, index) => {
        assert.ok(admitted[index]! >= rate * 5 * 0.9 && admitted[index]! <= (rate * 5 + 20) * 1.1 + 20);
    });
    fleet.setWorkspaces([]);
    fleet.exchanges().forEach(exchange => assert.deepEqual(exchange.describe(), []));
    fleet.setWorkspaces([{ ...workspaces[0]!, requestsPerSecond: 0 }]);
    assert.ok((await countAdmitted()) > 2000);
});

/** One instance of two, whose calls to the other are answered by the test. */
function createExchange(answer: (params: unknown) => unknown) {
    const clock = createManualClock();
    const events: { event: string; fields?: LogFields }[] = [];
    const record = (event: string, fields?: LogFields) => void events.push({ event, fields });
    const members: readonly Member[] = ["g-1", "g-2"].map(id => createMember(id, id, "north"));
    const view = {
        self: () => members[0]!,
        members: () => members,
        find: (id: string) => members.find(member => member.id === id),
    } as unknown as MemberView;
    const topology = createInstanceTopology({ selfId: "g-1", members: () => members });
    let handler: RpcHandler = () => undefined;
    const exchange = createQuotaExchange({
        members: () => view,
        topology,
        counts: createInstanceCounts({
            clock,
            topology,
            members: () => view,
            seeds: () => [],
            riseDelayMs: 0,
        }),
        isJoined: () => true,
        bounds: () => declaredQuotaBounds,
        transport: {
            call: async <Result>(_address: string, _method: string, params: unknown) =>
                answer(params) as Result,
        },
        rpc: { addMethod: (_name, added) => void (handler = added) },
        clock,
        logger: { ...createSilentLogger(), info: record, warn: record },
    });
    const workspaces = Array.from({ length: 8 }, (_, index) => createWorkspace(`w-${index}`, 10));
    exchange.setWorkspaces(workspaces);
    exchange.run(new AbortController().signal);
    const rows = exchange.describe() as { owner: string }[];
    const ownedBy = (owner: string) => workspaces[rows.findIndex(row => row.owner === owner)]!;
    const countEvents = (name: string) => events.filter(({ event }) => event === name).length;
    return { clock, exchange, receive: (params: unknown) => handler(params, "g-2"), ownedBy, countEvents };
}

// Guards against answers that grant more than was requested, or are no answers at all.
test("malformed answers and surplus tokens are not taken", async () => {
    for (const answer of [
        undefined,
        {},
        { grants: [{ workspace: "w-0", granted: -1, nextTokenMs: 0 }] },
        "x",
    ]) {
        const { clock, exchange, ownedBy, countEvents } = createExchange(() => answer);
        const verdicts: QuotaVerdict[] = [];
        await clock.advance(1000);
        exchange.acquire(ownedBy("g-2"), ({ verdict }) => verdicts.push(verdict));
        await clock.advance(400);
        assert.deepEqual(verdicts, [QuotaVerdict.Unavailable]);
        assert.equal(countEvents("quota-owner-unreachable"), 1);
    }
    const { clock, exchange, ownedBy } = createExchange(params => {
        const { demands } = params as { demands: { workspace: string }[] };
        const grants = demands.map(({ workspace }) => ({ workspace, granted: 1000, nextTokenMs: 0 }));
        return { grants, notLent: [] };
    });
    await clock.advance(1000);
    exchange.acquire(ownedBy("g-2"), () => undefined);
    await clock.advance(10);
    assert.ok(exchange.totals().borrowed <= 3);
});

// Guards against log lines for each request and each call.
test("logs once when an owner is lost and back, and when a workspace exceeds its quota and recovers", async () => {
    let isReachable = false;
    const { clock, exchange, ownedBy, countEvents } = createExchange(params => {
        if (!isReachable) {
            throw new Error("refused");
        }
        const { demands } = params as { demands: { workspace: string }[] };
        return {
            grants: demands.map(({ workspace }) => ({ workspace, granted: 0, nextTokenMs: 900 })),
            notLent: [],
        };
    });
    const sendFor = async (durationMs: number) => {
        for (let time = 0; time < durationMs; time += 50) {
            exchange.acquire(ownedBy("g-2"), () => undefined);
            await clock.advance(50);
        }
    };
    await sendFor(2000);
    isReachable = true;
    await sendFor(2000);
    await clock.advance(6000);
    const names = ["quota-owner-unreachable", "quota-owner-reachable", "quota-exceeded", "quota-recovered"];
    assert.deepEqual(names.map(countEvents), [1, 1, 1, 1]);
});

// Guards against an instance that lends although it has just started, and against calls that are answered twice.
test("an owner says that it does not lend yet, and serves each call once", async () => {
    const { clock, receive, ownedBy } = createExchange(() => ({ grants: [], notLent: [] }));
    const workspace = ownedBy("g-1").name;
    const demands = [{ workspace, held: 0, owed: 0, needed: 1, ahead: 0 }];
    await clock.advance(1000);
    assert.deepEqual(receive({ session: 1, sequence: 1, demands }), {
        grants: [],
        notLent: [{ workspace, lendsInMs: 1500 }],
    });
    await clock.advance(2500);
    const reply = receive({ session: 1, sequence: 3, demands }) as { grants: { granted: number }[] };
    assert.equal(reply.grants[0]?.granted, 1);
    assert.deepEqual(receive({ session: 1, sequence: 2, demands }), { grants: [], notLent: [] });
    assert.throws(() => receive({ session: 1, sequence: 4, demands: [{ ...demands[0], needed: -1 }] }));
    assert.throws(() => receive({ session: 1, sequence: 4 }));
});

// Guards against an owner that was paused and lends what another one has lent since.
test("an owner that was paused lends nothing until it has taken over again", async () => {
    const { clock, exchange, receive, ownedBy } = createExchange(() => ({ grants: [], notLent: [] }));
    const workspace = ownedBy("g-1");
    const borrow = (sequence: number) =>
        receive({
            session: 1,
            sequence,
            demands: [{ workspace: workspace.name, held: 0, owed: 0, needed: 1, ahead: 0 }],
        });
    await clock.advance(4000);
    const getRefused = (reply: unknown) =>
        (reply as { notLent: { workspace: string }[] }).notLent.map(other => other.workspace);
    assert.deepEqual(getRefused(borrow(1)), []);
    clock.jump(2000);
    const verdicts: QuotaVerdict[] = [];
    exchange.acquire(workspace, ({ verdict }) => verdicts.push(verdict));
    assert.deepEqual(getRefused(borrow(2)), [workspace.name]);
    await clock.advance(2400);
    assert.deepEqual(getRefused(borrow(3)), [workspace.name]);
    assert.deepEqual(verdicts, [QuotaVerdict.Unavailable]);
    await clock.advance(400);
    assert.deepEqual(getRefused(borrow(4)), []);
});

// Guards against a partition in which an instance that restarts takes its side for all instances.
test("instances that are cut off count as known, also after a restart", () => {
    const clock = createManualClock();
    const rows = Array.from({ length: 4 }, (_, index) => createMember(`g-${index}`, `z-${index}`, "north"));
    let visible: readonly Member[] = rows;
    let known: readonly Member[] = rows;
    const create = (seeds: string[]) => {
        const topology = createInstanceTopology({ selfId: "g-0", members: () => visible });
        const view = { self: () => rows[0]!, members: () => known } as unknown as MemberView;
        return createInstanceCounts({
            clock,
            topology,
            members: () => view,
            seeds: () => seeds,
            riseDelayMs: 2000,
        });
    };
    const counts = create([]);
    counts.update();
    assert.deepEqual([counts.visibleShare(), counts.divisor()], [1, 4]);
    visible = rows.slice(0, 2);
    clock.jump(1000);
    counts.update();
    assert.deepEqual([counts.visibleShare(), counts.divisor()], [0.5, 4]);
    const restarted = create([]);
    restarted.update();
    assert.equal(restarted.visibleShare(), 0.5);
    visible = known = rows.slice(0, 1);
    const alone = create(["g-0:2", "g-1:2", "g-2:2"]);
    alone.update();
    assert.deepEqual([alone.visibleShare(), alone.divisor()], [1 / 3, 3]);
});

// Guards against a share of the rate that falls because the small instances of a zone were active for a moment.
test("an instance of a mixed fleet that restarts changes neither the share nor the other owners much", () => {
    const clock = createManualClock();
    const createZone = (zone: string) =>
        Array.from({ length: 6 }, (_, index) =>
            createMember(`${zone}-${index}`, zone, "north", { capacity: index < 2 ? 800 : 60 }),
        );
    const all = [...createZone("a"), ...createZone("b")];
    let visible: readonly Member[] = all;
    const topology = createInstanceTopology({ selfId: "a-0", members: () => visible });
    const view = { self: () => all[0]!, members: () => visible } as unknown as MemberView;
    const counts = createInstanceCounts({
        clock,
        topology,
        members: () => view,
        seeds: () => [],
        riseDelayMs: 0,
    });
    counts.update();
    visible = all.slice(1);
    counts.update();
    assert.ok(counts.visibleShare() > 0.9);
    visible = all;
    clock.jump(10);
    counts.update();
    assert.equal(counts.visibleShare(), 1);
    visible = all.slice(1);
    assert.deepEqual(topology.large(), ["a-1", "b-0", "b-1"]);
    assert.equal(counts.divisor(), 4);
});
