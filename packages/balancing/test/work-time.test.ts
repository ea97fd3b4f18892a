/** Choices among servers that state how long work takes on their machines. Load: machines shared with other workloads. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ChoiceKind, ServerOutcome } from "@waxwingdale/balancing";
import type { Placement } from "@waxwingdale/balancing";
import { createInstance, createServer } from "./fixtures.js";
import type { Instance } from "./fixtures.js";

const warmMs = 60;
const coldMs = 200;
const servers = ["i-1", "i-2", "i-3", "i-4"].map((id, index) => createServer(id, index < 2 ? "n-a" : "n-b"));
const idOf = ({ server }: Placement) => server.record.id;

function choose({ balancer, createRequest }: Instance, object: string): Placement {
    const choice = balancer.choose(createRequest(object));
    assert.equal(choice.kind, ChoiceKind.Send);
    return choice;
}

function serve(instance: Instance, object: string, workTimeFactor: number): Placement {
    const { balancer, clock, createRequest } = instance;
    const placement = choose(instance, object);
    const req = createRequest(object);
    balancer.start(req, placement);
    const usualMs = placement.isWarm ? warmMs : coldMs;
    const firstByteMs = placement.roundTripMs + usualMs * workTimeFactor;
    clock.jump(firstByteMs);
    const load = { running: 0, waiting: 0, slots: 3, workTimeFactor };
    balancer.finish(req, placement, { outcome: ServerOutcome.Success, firstByteMs, load });
    return placement;
}

// Guards against a busy machine that counts twice, as its stated work time and as slowness or work of the route.
test("a stated work time changes neither the slowness of the server nor the work of the route", () => {
    const instance = createInstance(servers.slice(0, 1));
    const expectedMs = [1, 2.5, 1].map(factor => {
        const placements = Array.from({ length: 200 }, () => serve(instance, "1", factor));
        return placements.at(-1)!.workMs;
    });
    [warmMs, warmMs * 2.5, warmMs].forEach((ms, phase) =>
        assert.ok(Math.abs(expectedMs[phase]! - ms) < ms * 0.15, `phase ${phase}: ${expectedMs[phase]} ms`),
    );
    const { slowness } = instance.table.find("i-1")!;
    assert.ok(Math.abs(slowness - 1) < 0.15, `slowness ${slowness}`);
});

// Guards against cold work, which takes longer than warm work on a busy machine.
test("an object stays on its first server while the machine is busy, and its requests return to it", () => {
    const instance = createInstance(servers);
    const home = idOf(serve(instance, "1", 1));
    for (let index = 0; index < 60; index++) {
        assert.equal(idOf(serve(instance, "1", index % 4 === 0 ? 2.5 : 1)), home, `request ${index}`);
    }
});

// Guards against queues at servers whose slots are taken by other instances.
test("a request avoids a server that a peer has reported as full", () => {
    const instance = createInstance(servers);
    const home = serve(instance, "1", 1).server;
    const load = { running: 3, waiting: 6, slots: 3, workTimeFactor: 2.5 };
    instance.clock.jump(50);
    home.load.merge({ load, ageMs: 30 }, instance.clock.now());
    assert.notEqual(idOf(choose(instance, "1")), home.record.id);
    instance.clock.jump(4000);
    assert.equal(idOf(choose(instance, "1")), home.record.id);
});
