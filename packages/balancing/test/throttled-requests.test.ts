/** Guards against requests that go round the rate limit of a server, or wait for a server that cannot take them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ChoiceKind, RefusalReason, ServerOutcome, createAdmissionControl } from "@waxwingdale/balancing";
import type { AdmissionDecision, Placement, RoutedRequest } from "@waxwingdale/balancing";
import { createInstance, createRoute, createServer } from "./fixtures.js";
import type { Instance } from "./fixtures.js";

/** Lets the server `id` name a limit. */
function nameLimit({ table, clock }: Instance, id: string, requestsPerSecond: number): void {
    table.find(id)!.rateLimit.report({ requestsPerSecond }, clock.now(), clock.now());
}

function send({ balancer, clock }: Instance, req: RoutedRequest, placement: Placement): void {
    balancer.start(req, placement);
    clock.jump(1);
    balancer.finish(req, placement, { outcome: ServerOutcome.Success, firstByteMs: 1 });
}

test("a request for a warm object goes to another server while the limit is used up", () => {
    const instance = createInstance([createServer("i-1", "n-a"), createServer("i-2", "n-a")]);
    const { balancer, createRequest, clock } = instance;
    const first = balancer.choose(createRequest("1"));
    assert.equal(first.kind, ChoiceKind.Send);
    const warm = first.server.record.id;
    send(instance, createRequest("1"), first);
    nameLimit(instance, warm, 1);
    const choose = () => (balancer.choose(createRequest("1")) as Placement).server.record.id;
    assert.notEqual(choose(), warm);
    clock.jump(1200);
    assert.equal(choose(), warm, "one request a second may go there");
});

test("retries and hedges count against the limit", () => {
    const instance = createInstance([createServer("i-1", "n-a"), createServer("i-2", "n-a")]);
    const { balancer, createRequest, clock } = instance;
    nameLimit(instance, "i-1", 1);
    clock.jump(1200);
    const retried = createRequest("1", { tried: new Set(["i-2"]) });
    const choice = balancer.choose(retried);
    assert.equal(choice.kind, ChoiceKind.Send);
    send(instance, retried, choice);
    const next = balancer.choose(createRequest("2", { tried: new Set(["i-2"]) }));
    assert.equal(next.kind, ChoiceKind.Throttled);
});

function admit(instance: Instance, fields: Partial<RoutedRequest> = {}) {
    const { balancer, clock, createRequest } = instance;
    const admission = createAdmissionControl({ clock, balancer });
    const decisions: AdmissionDecision[] = [];
    admission.request(createRequest("1", fields), decision => decisions.push(decision));
    return { admission, decisions };
}

// Guards against a request that waits although it is known that no server can take it in time.
test("a request that a limit keeps from all servers in time is rejected at once, with the time to return", () => {
    const instance = createInstance([createServer("i-1", "n-a")]);
    nameLimit(instance, "i-1", 2);
    const { decisions } = admit(instance);
    assert.equal(decisions.length, 1);
    assert.ok("refusal" in decisions[0]!);
    const { reason, retryAfterMs, detail } = decisions[0].refusal;
    assert.equal(reason, RefusalReason.Throttled);
    assert.ok(Math.abs(retryAfterMs - 1000 / 1.8) < 1, `${retryAfterMs} ms`);
    assert.match(detail ?? "", /^i-1 takes 2 requests per second/);
});

test("a request waits for a limit that allows it soon", async () => {
    const instance = createInstance([createServer("i-1", "n-a")]);
    nameLimit(instance, "i-1", 20);
    const { decisions } = admit(instance);
    assert.equal(decisions.length, 0);
    await instance.clock.advance(80);
    assert.equal(decisions.length, 1);
    assert.ok("placement" in decisions[0]!);
});

// Guards against waiting requests that are admitted together for the same token.
test("further requests that wait for the same server are rejected once their turn would come too late", () => {
    const instance = createInstance([createServer("i-1", "n-a")]);
    nameLimit(instance, "i-1", 20);
    const { balancer, clock, createRequest } = instance;
    const admission = createAdmissionControl({ clock, balancer });
    let rejected = 0;
    for (let index = 0; index < 10; index++) {
        admission.request(createRequest("1", { route: createRoute() }), decision => {
            rejected += "refusal" in decision ? 1 : 0;
        });
    }
    assert.equal(admission.waiting(), 2);
    assert.equal(rejected, 8);
});

test("a server that restarts under its id has no limit any more", () => {
    const instance = createInstance([createServer("i-1", "n-a")]);
    nameLimit(instance, "i-1", 1);
    instance.table.apply(createServer("i-1", "n-a", { startedAt: 2 }), true);
    assert.equal(instance.table.find("i-1")!.rateLimit.requestsPerSecond(), undefined);
});

function rejectFor(instance: Instance, id: string, retryAfterMs: number): void {
    instance.table.find(id)!.health.pause(retryAfterMs, instance.clock.now());
}

// Guards against requests to a server that has asked for a pause, by retries and hedges as well.
test("a server that has asked for a pause gets nothing until its end", () => {
    const instance = createInstance([createServer("i-1", "n-a"), createServer("i-2", "n-a")]);
    const { balancer, createRequest, clock } = instance;
    rejectFor(instance, "i-1", 2000);
    const choose = (tried: string[]) => balancer.choose(createRequest("1", { tried: new Set(tried) }));
    assert.equal(choose([]).kind, ChoiceKind.Send);
    assert.equal(choose(["i-2"]).kind, ChoiceKind.Throttled);
    rejectFor(instance, "i-1", 500);
    clock.jump(1900);
    assert.equal(choose(["i-2"]).kind, ChoiceKind.Throttled, "a shorter pause does not end a longer one");
    clock.jump(200);
    assert.equal(choose(["i-2"]).kind, ChoiceKind.Send);
});

test("a request is rejected at once while all servers pause, with the time to return", () => {
    const instance = createInstance([createServer("i-1", "n-a"), createServer("i-2", "n-a")]);
    rejectFor(instance, "i-1", 900);
    rejectFor(instance, "i-2", 600);
    const { decisions } = admit(instance);
    assert.ok("refusal" in decisions[0]!, "rejected");
    assert.equal(decisions[0].refusal.reason, RefusalReason.Throttled);
    assert.equal(decisions[0].refusal.retryAfterMs, 600);
    assert.match(decisions[0].refusal.detail ?? "", /^i-2 has asked for no requests/);
});
