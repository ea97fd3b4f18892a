import assert from "node:assert/strict";
import { test } from "node:test";
import { MemberStatus, createManualClock, createSilentLogger } from "@waxwingdale/core";
import type { ManualClock, Member } from "@waxwingdale/core";
import { createRateWindow, createReportCollector, rateWindowSeconds } from "@waxwingdale/reports";
import type { EntryReport, ReportCollector } from "@waxwingdale/reports";

function createMember(id: string, region: string): Member {
    const addresses = { callerAddress: "", peerAddress: id };
    return {
        id,
        incarnation: 1,
        session: 1,
        status: MemberStatus.Live,
        region,
        zone: "a",
        ready: true,
        ...addresses,
    };
}

function createReport(entry: string, region: string, offeredPerSecond: number): EntryReport {
    return {
        entry,
        region,
        demands: [
            { service: "register", home: "north", offeredPerSecond, requestBytes: 100, responseBytes: 1000 },
        ],
        capacities: [
            { service: "register", site: `${region}-a`, warmServers: 4, coldServers: 0, meanServiceMs: 10 },
        ],
        listAgeMs: 0,
    };
}

interface Fixture {
    clock: ManualClock;
    collector: ReportCollector;
    members: Member[];
    silent: Set<string>;
    /** Whether the last call to each peer requested capacities. */
    requestedCapacities: Map<string, boolean>;
}

function startCollector(members: Member[], signal: AbortSignal): Fixture {
    const clock = createManualClock(10_000);
    const silent = new Set<string>();
    const requestedCapacities = new Map<string, boolean>();
    const collector = createReportCollector({
        view: {
            self: () => members[0]!,
            members: () => members,
            liveInRegion: () => members,
            find: id => members.find(member => member.id === id),
            onChange: () => () => undefined,
        },
        transport: {
            call: async <Result>(peer: string, _method: string, params: unknown) => {
                if (silent.has(peer)) {
                    throw new Error("no response");
                }
                const { capacities } = params as { capacities: boolean };
                requestedCapacities.set(peer, capacities);
                const report = createReport(peer, members.find(({ id }) => id === peer)!.region, 10);
                return { ...report, capacities: capacities ? report.capacities : [] } as Result;
            },
        },
        rpc: { addMethod: () => undefined },
        clock,
        logger: createSilentLogger(),
        getLocalReport: () => createReport("e1", "north", 10),
        isCollecting: () => true,
    });
    void collector.run(signal);
    return { clock, collector, members, silent, requestedCapacities };
}

test("a rate is not underestimated while its window is new", async () => {
    const clock = createManualClock(10_000);
    const window = createRateWindow(clock);
    for (let i = 0; i < 20; i++) {
        window.add(5);
        await clock.advance(100);
    }
    assert.ok(Math.abs(window.perSecond() - 50) < 5, `${window.perSecond()} per second`);
});

test("the window drops an old burst", async () => {
    const clock = createManualClock(10_000);
    const window = createRateWindow(clock);
    window.add(1000);
    await clock.advance(rateWindowSeconds * 1000);
    assert.equal(window.perSecond(), 0);
});

test("demands of all entries add up, and one unresponsive entry makes the sum stale", async t => {
    const stopped = new AbortController();
    t.after(() => stopped.abort());
    const members = ["e1", "e2", "e3"].map(id => createMember(id, "north"));
    const { clock, collector, silent } = startCollector(members, stopped.signal);
    await clock.advance(100);
    assert.equal(collector.demands()[0]!.offeredPerSecond, 30);
    silent.add("e3");
    await clock.advance(6000);
    const [demand] = collector.demands();
    assert.equal(demand!.offeredPerSecond, 30);
    assert.ok(demand!.ageMs >= 6000, `${demand!.ageMs} ms`);
});

test("the report of a dead entry is removed, so that it does not make the sum stale", async t => {
    const stopped = new AbortController();
    t.after(() => stopped.abort());
    const members = ["e1", "e2", "e3"].map(id => createMember(id, "north"));
    const { clock, collector } = startCollector(members, stopped.signal);
    await clock.advance(100);
    members[2]!.status = MemberStatus.Dead;
    await clock.advance(12_000);
    const [demand] = collector.demands();
    assert.equal(demand!.offeredPerSecond, 20);
    assert.ok(demand!.ageMs < 5000, `${demand!.ageMs} ms`);
});

test("two entries of a region report its capacities", async t => {
    const stopped = new AbortController();
    t.after(() => stopped.abort());
    const members = [
        createMember("e1", "north"),
        ...["e2", "e3", "e4", "e5"].map(id => createMember(id, "south")),
    ];
    const { clock, collector, requestedCapacities } = startCollector(members, stopped.signal);
    await clock.advance(100);
    assert.equal([...requestedCapacities.values()].filter(Boolean).length, 2);
    assert.deepEqual(
        collector.capacities().map(({ site }) => site),
        ["north-a", "south-a"],
    );
});
