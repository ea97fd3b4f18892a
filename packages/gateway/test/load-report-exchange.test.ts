/** Load: many instances send to the same servers, and each hears of a server only every second or two. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ServerPhase, createBackendTable } from "@waxwingdale/balancing";
import { createManualClock, createSilentLogger } from "@waxwingdale/core";
import type { ManualClock, Member, RpcHandler } from "@waxwingdale/core";
import { createLoadReportExchange } from "../src/load-report-exchange.js";

interface FleetOptions {
    instances: number;
    servers?: number;
    startedAt?: (instance: number) => number;
}

/** Creates instances whose calls arrive at once, except at those in `unreachable`. */
function createFleet({ instances, servers = 2, startedAt = () => 1 }: FleetOptions) {
    const clock: ManualClock = createManualClock(10_000);
    const ids = Array.from({ length: instances }, (_, index) => `g-${index}`);
    const handlers = new Map<string, RpcHandler>();
    const unreachable = new Set<string>();
    const calls: { from: string; to: string; bytes: number }[] = [];
    const fleet = ids.map((selfId, instance) => {
        const table = createBackendTable({
            clock,
            logger: createSilentLogger(),
            regionOf: () => "north",
            coldRequestsPerSecond: () => 20,
            self: selfId,
            recentColdSenders: () => [[]],
            rateLimits: { random: () => 0, countInstances: () => 1, recentCandidates: () => [[]] },
            onServerRemoved: () => undefined,
        });
        for (let index = 0; index < servers; index++) {
            const server = {
                id: `i-${index}`,
                service: "files",
                address: "10.0.0.1:80",
                zone: "n-a",
                slots: 4,
            };
            const phase = ServerPhase.Ready;
            table.apply({ ...server, phase, startedAt: startedAt(instance), coldRemainingMs: 0 }, false);
        }
        const exchange = createLoadReportExchange({
            table,
            selfId,
            activeInRegion: () => ids,
            members: () => ids.map(id => ({ id, peerAddress: id }) as Member),
            transport: {
                call: async <Result>(to: string, _method: string, params: unknown) => {
                    const body = JSON.stringify(params);
                    calls.push({ from: selfId, to, bytes: body.length });
                    if (unreachable.has(to)) {
                        return new Promise<Result>(() => undefined);
                    }
                    return handlers.get(to)!(JSON.parse(body), selfId) as Result;
                },
            },
            rpc: { addMethod: (_name, handler) => void handlers.set(selfId, handler) },
            clock,
            logger: createSilentLogger(),
        });
        const report = (running: number, workTimeFactor: number | undefined = 1, server = "i-0") =>
            table.find(server)!.load.report({ running, waiting: 0, slots: 4, workTimeFactor }, clock.now());
        const latest = () => table.find("i-0")!.load.latest(clock.now());
        return { table, exchange, report, latest, receive: handlers.get(selfId)! };
    });
    /** One round of all instances, 250 ms later. */
    const tick = async () => {
        clock.jump(250);
        fleet.forEach(({ exchange }) => exchange.send());
        await new Promise(resolve => setImmediate(resolve));
    };
    return { clock, fleet, tick, calls, unreachable };
}

test("a report reaches the other instances of the region, and an own newer one stays", async () => {
    const { fleet, tick } = createFleet({ instances: 3 });
    fleet[0]!.report(4, 2.5);
    await tick();
    assert.deepEqual(fleet[2]!.latest()?.load, { running: 4, waiting: 0, slots: 4, workTimeFactor: 2.5 });
    assert.ok(fleet[2]!.table.find("i-0")!.load.workTimeFactor(10_250) > 1.5);
    fleet[1]!.report(1);
    fleet[0]!.exchange.send();
    assert.equal(fleet[1]!.latest()?.load.running, 1);
});

// Guards against messages between instances where servers do not state their work time.
test("nothing is sent without a stated work time", async () => {
    const { fleet, tick, calls } = createFleet({ instances: 3 });
    const { load } = fleet[0]!.table.find("i-0")!;
    load.report({ running: 4, waiting: 0, slots: 4 }, 10_000);
    await tick();
    assert.equal(calls.length, 0);
});

// Guards against messages that grow with the number of instances or servers.
test("messages and their bytes are bounded, and a report still reaches 100 instances within 1.5 s", async () => {
    const { fleet, tick, calls } = createFleet({ instances: 100, servers: 200 });
    const rounds = 6;
    fleet.forEach(({ report }, instance) => report(2, 1, `i-${instance + 1}`));
    fleet[0]!.report(4, 2.5);
    for (let round = 0; round < rounds; round++) {
        await tick();
    }
    const informed = fleet.filter(({ latest }) => latest()?.load.running === 4).length;
    // Servers report several times a second, so that one report of five may miss an instance.
    assert.ok(informed >= 80, `${informed} of 100 instances have it`);
    assert.ok(calls.length <= 100 * rounds * 3, `${calls.length} messages`);
    assert.ok(Math.max(...calls.map(({ bytes }) => bytes)) < 2500, "bytes of a message");
});

// Guards against reports that instances pass around for ever, each time as if they were new.
test("a report that is passed on does not become younger, and its passing ends", async () => {
    const { clock, fleet, tick, calls } = createFleet({ instances: 12 });
    fleet[0]!.report(4, 2.5);
    for (let round = 0; round < 6; round++) {
        await tick();
    }
    fleet.forEach(({ latest }) => assert.ok((latest()?.ageMs ?? Infinity) >= 1500, "age"));
    const sent = calls.length;
    await tick();
    assert.equal(calls.length, sent);
    assert.equal(clock.now(), 11_750);
});

// Guards against a restarted server that counts as loaded by the requests of its earlier process.
test("reports of another process of the server are dropped", async () => {
    const { fleet, tick } = createFleet({ instances: 2, startedAt: instance => instance });
    fleet[0]!.report(4);
    await tick();
    assert.equal(fleet[1]!.latest(), undefined);
});

test("malformed, unknown and old reports are ignored", () => {
    const { fleet } = createFleet({ instances: 2 });
    const report = ["i-0", 1, 4, 0, 1, 20, 0];
    const cases: unknown[] = [
        undefined,
        "x",
        {},
        [1],
        [report.slice(0, 6)],
        [[...report, 1]],
        [["i-0", 1, -1, 0, 1, 20, 0]],
        [["i-0", 1, 4, 0, "1", 20, 0]],
        [["i-0", 1, 4, 0, 1, -20, 0]],
        Array.from({ length: 41 }, () => report),
        [["i-9", 1, 4, 0, 1, 20, 0]],
        [["i-0", 1, 4, 0, 1, 2500, 0]],
    ];
    cases.forEach(message => assert.deepEqual(fleet[0]!.receive(message, "g-1"), {}));
    assert.equal(fleet[0]!.latest(), undefined);
});

// Guards against calls that pile up at an instance that is frozen or cut off.
test("a peer that does not respond gets one call, and the others get their reports", async () => {
    const { fleet, tick, calls, unreachable } = createFleet({ instances: 3 });
    unreachable.add("g-1");
    for (let round = 0; round < 4; round++) {
        fleet[0]!.report(round, 1);
        await tick();
    }
    assert.equal(calls.filter(({ from, to }) => from === "g-0" && to === "g-1").length, 1);
    assert.equal(fleet[2]!.latest()?.load.running, 3);
});

// Guards against old reports that count as new after a pause, which the age in a message does not contain.
test("after a pause, an instance neither applies nor sends reports until what has piled up is read", async () => {
    const { clock, fleet, tick, calls } = createFleet({ instances: 2 });
    await tick();
    clock.jump(3000);
    fleet[0]!.receive([["i-0", 1, 4, 0, 1, 20, 0]], "g-1");
    fleet[0]!.exchange.send();
    fleet[0]!.receive([["i-0", 1, 4, 0, 1, 20, 0]], "g-1");
    assert.equal(fleet[0]!.latest(), undefined);
    fleet[0]!.report(4);
    fleet[0]!.exchange.send();
    assert.equal(calls.length, 0);
    await tick();
    fleet[0]!.receive([["i-1", 1, 4, 0, 1, 20, 0]], "g-1");
    assert.equal(fleet[0]!.table.find("i-1")!.load.latest(clock.now())?.load.running, 4);
});
