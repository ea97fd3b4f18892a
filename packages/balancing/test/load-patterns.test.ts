/** Failure scenarios under load: slow servers, packet loss, the loss of a zone, excessive retries by callers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ChoiceKind, ServerOutcome, createAdmissionControl } from "@waxwingdale/balancing";
import type { AdmissionDecision, Placement } from "@waxwingdale/balancing";
import { createInstance, createServer } from "./fixtures.js";
import type { Instance } from "./fixtures.js";

const warmMs = 60;

/** Serves one request and returns its placement. `workMs` returns the work time on a server. */
function serve(instance: Instance, object: string, workMs: (server: string) => number): Placement {
    const { balancer, createRequest, clock } = instance;
    const req = createRequest(object);
    const choice = balancer.choose(req);
    assert.equal(choice.kind, ChoiceKind.Send);
    balancer.start(req, choice);
    const firstByteMs = choice.roundTripMs + workMs(choice.server.record.id);
    clock.jump(firstByteMs);
    balancer.adapt();
    balancer.finish(req, choice, { outcome: ServerOutcome.Success, firstByteMs });
    return choice;
}

const idOf = ({ server }: Placement) => server.record.id;

// Guards against objects that stay on a slow server.
test("slow server: a server that is five times slower loses its objects, and gets new ones after it recovers", () => {
    const instance = createInstance(["i-1", "i-2", "i-3"].map(id => createServer(id, "n-a")));
    const objects = Array.from({ length: 12 }, (_, i) => `o-${i}`);
    const serveAll = (workMs: (id: string) => number) =>
        objects.map(object => idOf(serve(instance, object, workMs)));
    for (let round = 0; round < 6; round++) {
        serveAll(() => warmMs);
    }
    const homes = serveAll(() => warmMs);
    const slow = homes[0]!;
    for (let round = 0; round < 25; round++) {
        serveAll(id => (id === slow ? 5 : 1) * warmMs);
    }
    const later = serveAll(id => (id === slow ? 5 : 1) * warmMs);
    const countAt = (ids: string[]) => ids.filter(id => id === slow).length;
    assert.ok(
        countAt(later) <= countAt(homes) / 2,
        `${countAt(later)} of ${countAt(homes)} objects are still on the slow server`,
    );
    for (let round = 0; round < 25; round++) {
        serveAll(() => warmMs);
    }
    const fresh = Array.from({ length: 60 }, (_, i) => idOf(serve(instance, `new-${i}`, () => warmMs)));
    assert.ok(countAt(fresh) >= 10, `${countAt(fresh)} of 60 new objects go to the recovered server`);
});

// Guards against objects that move to cold servers because retransmissions delayed some responses.
test("lossy link: a few late responses do not move objects", () => {
    const instance = createInstance(["i-1", "i-2"].map(id => createServer(id, "n-a")));
    const home = idOf(serve(instance, "1", () => 3 * warmMs));
    for (let index = 0; index < 300; index++) {
        const isLate = index % 33 === 32;
        assert.equal(idOf(serve(instance, "1", () => warmMs + (isLate ? 250 : 0))), home, `request ${index}`);
    }
});

// Guards against retrying nearly every request because a server that rejects everything looks idle.
test("server rejecting all requests: it is probed a few times per second, and used soon after it recovers", () => {
    const instance = createInstance(["i-1", "i-2"].map(id => createServer(id, "n-a")));
    const { balancer, clock, createRequest } = instance;
    const home = idOf(serve(instance, "1", () => warmMs));
    const countProbes = (durationMs: number, outcome: ServerOutcome) => {
        let probes = 0;
        for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 20) {
            const req = createRequest("1");
            const choice = balancer.choose(req);
            if (choice.kind === ChoiceKind.Send) {
                const isHome = idOf(choice) === home;
                probes += isHome ? 1 : 0;
                balancer.start(req, choice);
                balancer.finish(req, choice, { outcome: isHome ? outcome : ServerOutcome.Success });
            }
            clock.jump(20);
        }
        return probes;
    };
    assert.ok(countProbes(8000, ServerOutcome.Shed) <= 15);
    assert.ok(countProbes(2000, ServerOutcome.Success) >= 40);
});

// Guards against an instance that keeps all objects in an undersized region after a restart under load.
test("restart under load: objects spill over from a region with few servers from the first request on", () => {
    const southern = ["i-2", "i-3", "i-4", "i-5", "i-6", "i-7"].map(id => createServer(id, "s-a"));
    const instance = createInstance([]);
    const { balancer, table, clock, createRequest } = instance;
    // The services are known before the server list is loaded, and no update runs between the list and the requests.
    balancer.adapt();
    [createServer("i-1", "n-a"), ...southern].forEach(server => table.apply(server, false));
    const objects = Array.from({ length: 200 }, (_, i) => `o-${i}`);
    const spilledOver = objects.filter(object => {
        const req = createRequest(object);
        const choice = balancer.choose(req);
        if (choice.kind !== ChoiceKind.Send) {
            return false;
        }
        balancer.start(req, choice);
        clock.jump(1);
        balancer.finish(req, choice, { outcome: ServerOutcome.Success, firstByteMs: warmMs });
        return choice.server.region === "south";
    });
    // With equal demand in both regions, 1 - 2 * 3 / 21 of the objects spill over.
    assert.ok(
        spilledOver.length >= 120 && spilledOver.length <= 165,
        `${spilledOver.length} of 200 objects spill over`,
    );
});

// Guards against requests to lost servers, and against moving too many requests to the other region.
test("loss of a zone: its requests go to the other zone, and few spill over to the other region", () => {
    const zones = { "n-a": 3, "n-b": 3, "s-a": 6 };
    const servers = Object.entries(zones).flatMap(([zone, count]) =>
        Array.from({ length: count }, (_, i) =>
            createServer(`i-${zone.charCodeAt(0)}${zone.charCodeAt(2)}${i}`, zone),
        ),
    );
    const instance = createInstance(servers);
    const { table, balancer } = instance;
    const objects = Array.from({ length: 40 }, (_, i) => `o-${i}`);
    objects.forEach(object => serve(instance, object, () => warmMs));
    servers.filter(({ zone }) => zone === "n-a").forEach(({ id }) => table.remove(id));
    balancer.adapt();
    const servedFrom = objects.map(object => serve(instance, object, () => warmMs).server.record.zone);
    assert.ok(!servedFrom.includes("n-a"));
    const spilledOver = servedFrom.filter(zone => zone === "s-a").length;
    // Half of the region's servers are lost, so up to half of the objects may spill over.
    assert.ok(spilledOver >= 5 && spilledOver <= 28, `${spilledOver} of 40 objects spilled over`);
});

// Guards against repeated requests that fill the queue until no request is served in time.
test("excessive retries: repeated requests do not build up a long queue, and each gets a decision", async () => {
    const instance = createInstance([createServer("i-1", "n-a"), createServer("i-2", "n-a")]);
    const { balancer, createRequest, clock } = instance;
    const admission = createAdmissionControl({ clock, balancer });
    const decisions: AdmissionDecision[] = [];
    let longest = 0;
    for (let caller = 0; caller < 60; caller++) {
        for (let copy = 0; copy < 10; copy++) {
            const req = createRequest(`o-${caller}`);
            admission.request(req, decision => {
                decisions.push(decision);
                if ("placement" in decision) {
                    balancer.start(req, decision.placement);
                }
            });
        }
        longest = Math.max(longest, admission.waiting());
    }
    assert.ok(longest <= 200, `${longest} requests are queued`);
    await clock.advance(400);
    assert.equal(decisions.length, 600);
    assert.equal(admission.waiting(), 0);
    const rejected = decisions.filter(decision => "refusal" in decision);
    assert.ok(rejected.length >= 580 && rejected.every(({ refusal }) => refusal.retryAfterMs > 0));
});
