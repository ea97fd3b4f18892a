import assert from "node:assert/strict";
import { test } from "node:test";
import { ChoiceKind, ServerOutcome, createAdmissionControl, createServerLoad } from "@waxwingdale/balancing";
import type {
    AdmissionDecision,
    BackendState,
    Balancer,
    Choice,
    Placement,
    RoutedRequest,
} from "@waxwingdale/balancing";
import { createManualClock } from "@waxwingdale/core";
import { createInstance, createRoute, createServer } from "./fixtures.js";

function setUp() {
    const clock = createManualClock(1000);
    let freeSlots = 0;
    const server = { record: createServer("i-1", "n-a"), load: createServerLoad() } as BackendState;
    const placement = { kind: ChoiceKind.Send, expectedMs: 50 } as Placement;
    const choose = (): Choice => (freeSlots > 0 ? placement : { kind: ChoiceKind.Full, server });
    const admission = createAdmissionControl({ clock, balancer: { choose } as unknown as Balancer });
    const createRequest = (fields: Partial<RoutedRequest> = {}): RoutedRequest => ({
        route: createRoute(),
        service: "files",
        objectKey: "1",
        arrivedAt: clock.now(),
        deadlineAt: clock.now() + 1000,
        tried: new Set(),
        ...fields,
    });
    return {
        clock,
        admission,
        createRequest,
        setFreeSlots: (value: number) => (freeSlots = value),
        takeSlot: () => (freeSlots -= 1),
    };
}

// Guards against deciding a request twice, which crashed the process.
test("a callback that retries the queue settles each request once", () => {
    const { admission, createRequest, setFreeSlots } = setUp();
    const settled: number[] = [];
    for (let index = 0; index < 3; index++) {
        admission.request(createRequest(), () => {
            settled.push(index);
            admission.retryWaiting();
        });
    }
    setFreeSlots(3);
    admission.retryWaiting();
    assert.deepEqual(settled, [0, 1, 2]);
    assert.equal(admission.waiting(), 0);
});

// Guards against priority inversion: a less urgent request takes the slot that a more urgent one waits for.
test("burst: the most urgent request gets the next slot", () => {
    const { admission, createRequest, setFreeSlots, takeSlot } = setUp();
    const order: string[] = [];
    const enqueue = (name: string, priority: number) =>
        admission.request(createRequest({ route: createRoute({ priority }) }), () => {
            order.push(name);
            takeSlot();
        });
    enqueue("page", 2);
    enqueue("certificate", 1);
    enqueue("lookup", 1);
    setFreeSlots(2);
    admission.retryWaiting();
    assert.deepEqual(order, ["certificate", "lookup"]);
});

// Guards against queueing requests that will be rejected anyway.
test("overload: rejects a request well before its deadline if no slot becomes free", async () => {
    const { clock, admission, createRequest } = setUp();
    let decision: AdmissionDecision | undefined;
    admission.request(createRequest(), admitted => (decision = admitted));
    await clock.advance(150);
    assert.ok(decision !== undefined && "refusal" in decision);
    assert.ok(decision.refusal.retryAfterMs > 0);
    assert.ok(decision.refusal.waitedMs <= 150);
});

test("a canceled request gets no decision", async () => {
    const { clock, admission, createRequest, setFreeSlots } = setUp();
    let isSettled = false;
    const cancel = admission.request(createRequest(), () => (isSettled = true));
    cancel();
    setFreeSlots(1);
    admission.retryWaiting();
    await clock.advance(500);
    assert.equal(isSettled, false);
});

// Guards against sending a request to an evacuated zone because it was queued before the evacuation.
test("a queued request avoids a zone that is evacuated while it waits", () => {
    const servers = [createServer("i-1", "n-a"), createServer("i-2", "n-b")];
    const { clock, table, balancer, createRequest } = createInstance(servers);
    const admission = createAdmissionControl({ clock, balancer });
    const running: { req: RoutedRequest; placement: Placement }[] = [];
    let req = createRequest("1");
    let choice = balancer.choose(req);
    while (choice.kind === ChoiceKind.Send) {
        balancer.start(req, choice);
        running.push({ req, placement: choice });
        req = createRequest("1");
        choice = balancer.choose(req);
    }
    const finishAll = (serverId: string) => {
        for (const { req, placement } of running.filter(
            ({ placement: { server } }) => server.record.id === serverId,
        )) {
            balancer.finish(req, placement, { outcome: ServerOutcome.Success, firstByteMs: 20 });
        }
        admission.retryWaiting();
    };
    const sentTo: string[] = [];
    admission.request(createRequest("1"), admitted => {
        assert.ok("placement" in admitted);
        sentTo.push(admitted.placement.server.record.id);
    });
    assert.equal(admission.waiting(), 1);
    table.setEvacuated("n-a", true);
    finishAll("i-1");
    finishAll("i-2");
    assert.deepEqual(sentTo, ["i-2"]);
});
