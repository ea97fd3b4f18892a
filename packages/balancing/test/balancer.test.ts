import assert from "node:assert/strict";
import { test } from "node:test";
import { ChoiceKind, ServerOutcome, ServerPhase } from "@waxwingdale/balancing";
import type { Choice, Placement } from "@waxwingdale/balancing";
import { coldStartMs, createInstance, createRoute, createServer } from "./fixtures.js";
import type { Instance } from "./fixtures.js";

const fourServers = [
    createServer("i-1", "n-a"),
    createServer("i-2", "n-a"),
    createServer("i-3", "n-b"),
    createServer("i-4", "s-a"),
];

function assertPlaced(choice: Choice): Placement {
    assert.equal(choice.kind, ChoiceKind.Send);
    return choice;
}

// Guards against repeating the cold work for an object on several servers.
test("steady load: all requests for an object go to one server of the local zone while it has capacity", () => {
    const { balancer, createRequest } = createInstance(fourServers);
    for (const object of ["1", "2", "3", "4", "5"]) {
        const ids = new Set<string>();
        for (let round = 0; round < 3; round++) {
            const req = createRequest(object);
            const placement = assertPlaced(balancer.choose(req));
            balancer.start(req, placement);
            balancer.finish(req, placement, { outcome: ServerOutcome.Success, firstByteMs: 60 });
            assert.equal(placement.server.record.zone, "n-a");
            ids.add(placement.server.record.id);
        }
        assert.equal(ids.size, 1);
    }
});

// Guards against a queue that builds up on one server while others are idle.
test("burst: requests beyond the slots of a server go to others, and wait if all servers are full", () => {
    const { balancer, createRequest } = createInstance([
        createServer("i-1", "n-a"),
        createServer("i-2", "n-b"),
    ]);
    const perServer = new Map<string, number>();
    let full = 0;
    for (let index = 0; index < 16; index++) {
        const req = createRequest("1");
        const choice = balancer.choose(req);
        if (choice.kind === ChoiceKind.Full) {
            choice.server.load.addWaiting();
            full += 1;
            continue;
        }
        const placement = assertPlaced(choice);
        balancer.start(req, placement);
        const { id } = placement.server.record;
        perServer.set(id, (perServer.get(id) ?? 0) + 1);
    }
    assert.equal(perServer.size, 2);
    assert.ok([...perServer.values()].every(count => count <= 5));
    assert.ok(full >= 6);
});

// Guards against a metastable overload: objects move to idle but cold servers, where the work takes three times as
// long, so that all slots fill up and stay full.
test("burst: under high load, a request waits for the server that is warm for its object", () => {
    const { balancer, createRequest } = createInstance([
        createServer("i-1", "n-a"),
        createServer("i-2", "n-a"),
    ]);
    const warmUp = createRequest("1");
    const home = assertPlaced(balancer.choose(warmUp)).server;
    const recordWork = (isWarm: boolean, workMs: number) => {
        const req = createRequest("1");
        const placement = { ...assertPlaced(balancer.choose(req)), isWarm, workMs, waitMs: 0 };
        balancer.start(req, placement);
        balancer.finish(req, placement, { outcome: ServerOutcome.Success, firstByteMs: workMs });
    };
    for (let index = 0; index < 20; index++) {
        recordWork(true, 70);
        recordWork(false, 240);
    }
    const others = ["10", "11", "12", "13", "14", "15"].map(object => createRequest(object));
    others.forEach((req, index) => {
        const placement = assertPlaced(balancer.choose(req));
        balancer.start(req, index < 3 ? { ...placement, server: home } : placement);
    });
    balancer.adapt();
    const choice = balancer.choose(createRequest("1"));
    assert.equal(choice.kind === ChoiceKind.NoServer ? undefined : choice.server, home);
});

// Guards against a failing server that attracts requests because it fails fast.
test("partial failure: objects of a server that fails half of its requests move to a healthy one", () => {
    const { balancer, createRequest, clock } = createInstance([
        createServer("i-1", "n-a"),
        createServer("i-2", "n-a"),
    ]);
    const first = assertPlaced(balancer.choose(createRequest("1"))).server.record.id;
    for (let index = 0; index < 12; index++) {
        const req = createRequest("1");
        const placement = assertPlaced(balancer.choose(req));
        balancer.start(req, placement);
        const isFailing = placement.server.record.id === first;
        balancer.finish(req, placement, {
            outcome: isFailing ? ServerOutcome.Failure : ServerOutcome.Success,
        });
        clock.jump(20);
    }
    assert.notEqual(assertPlaced(balancer.choose(createRequest("1"))).server.record.id, first);
});

// Guards against sending requests to a draining server or an evacuated zone.
test("drain and evacuation: draining servers and evacuated zones receive no requests", () => {
    const { balancer, table, createRequest } = createInstance(fourServers);
    table.apply(createServer("i-1", "n-a", { phase: ServerPhase.Draining }), true);
    table.setEvacuated("n-b", true);
    table.remove("i-4");
    for (const object of ["1", "2", "3", "4", "5", "6"]) {
        assert.equal(assertPlaced(balancer.choose(createRequest(object))).server.record.id, "i-2");
    }
    table.apply(createServer("i-2", "n-a", { phase: ServerPhase.Draining }), true);
    assert.equal(balancer.choose(createRequest("1")).kind, ChoiceKind.NoServer);
});

/** Sends a request and finishes it, if a server may get one. Returns whether one did. */
function sendAndFinish({ balancer, createRequest }: Instance): boolean {
    const req = createRequest("1");
    const choice = balancer.choose(req);
    if (choice.kind !== ChoiceKind.Send) {
        return false;
    }
    balancer.start(req, choice);
    balancer.finish(req, choice, { outcome: ServerOutcome.Success, firstByteMs: 5 });
    return true;
}

// Guards against overloading servers that have just started.
test("cold zone: a new server gets few requests until its cold start is over", () => {
    const instance = createInstance([]);
    const { table, clock } = instance;
    table.apply(createServer("i-1", "n-a"), true);
    const sendOne = () => sendAndFinish(instance);
    const countSent = (count: number) => Array.from({ length: count }, sendOne).filter(Boolean).length;
    assert.ok(countSent(50) <= 20);
    clock.jump(coldStartMs + 1);
    assert.equal(countSent(50), 50);
});

// Guards against a cold server that gets its share on top of the requests of the second before it was known to be cold.
test("cold zone: requests that were sent before a server was known to be cold count", () => {
    const instance = createInstance([createServer("i-1", "n-a")]);
    const { table, clock } = instance;
    const sendOne = () => sendAndFinish(instance);
    // Cold again, and started again under the same id: requests come until its entry is read.
    for (const startedAt of [1, 2]) {
        for (let sent = 0; sent < 20; sent++) {
            assert.ok(sendOne());
            clock.jump(25);
        }
        table.apply(createServer("i-1", "n-a", { startedAt, coldRemainingMs: coldStartMs }), true);
        assert.equal(sendOne(), false);
        clock.jump(1100);
        assert.equal(sendOne(), true);
        clock.jump(coldStartMs);
    }
});

// Guards against treating a restarted server with the same id as still warm.
test("a server that restarts with the same id is cold, and an outdated record does not restore the old one", () => {
    const { table, clock } = createInstance([createServer("i-1", "n-a", { startedAt: 5 })]);
    table.apply(createServer("i-1", "n-a", { startedAt: 9 }), true);
    const restarted = table.find("i-1")!;
    assert.ok(restarted.coldUntil > clock.now());
    table.apply(createServer("i-1", "n-a", { startedAt: 5 }), true);
    assert.equal(table.find("i-1"), restarted);
});

// Guards against processing data outside the allowed regions.
test("a route with allowed regions only uses servers in these regions", () => {
    const { balancer, createRequest } = createInstance(fourServers);
    const route = createRoute({ allowedRegions: ["south"] });
    for (const object of ["1", "2", "3"]) {
        const placement = assertPlaced(balancer.choose(createRequest(object, { route })));
        assert.equal(placement.server.region, "south");
    }
});

test("does not choose a server again for a request that was already sent to it", () => {
    const { balancer, createRequest } = createInstance(fourServers);
    const req = createRequest("1");
    const ids = new Set<string>();
    for (let choice = balancer.choose(req); choice.kind === ChoiceKind.Send; choice = balancer.choose(req)) {
        balancer.start(req, choice);
        balancer.finish(req, choice, { outcome: ServerOutcome.Failure });
        assert.ok(!ids.has(choice.server.record.id));
        ids.add(choice.server.record.id);
    }
    assert.equal(ids.size, 4);
});

// Guards against rejecting all requests of a route because the first one is expected to exceed the timeout.
test("the first request of a route is expected to meet its deadline", () => {
    const { balancer, createRequest } = createInstance(fourServers);
    const route = createRoute({ targetLatencyMs: 900, timeoutMs: 900 });
    assert.ok(assertPlaced(balancer.choose(createRequest("1", { route }))).expectedMs < 900);
});
