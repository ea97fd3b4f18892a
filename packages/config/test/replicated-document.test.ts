import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock, createRandom, createSilentLogger } from "@waxwingdale/core";
import type { PeerTransport, RpcHandler } from "@waxwingdale/core";
import { MemoryObjectStore } from "@waxwingdale/store";
import { createDocumentExchange, createReplicatedDocument } from "@waxwingdale/config";

interface Plan {
    epoch: number;
    step: number;
}

function createPlanDocument(call: PeerTransport["call"] = () => Promise.reject(new Error("no peers"))) {
    const clock = createManualClock();
    const logger = createSilentLogger();
    const methods = new Map<string, RpcHandler>();
    const registry = { addMethod: (name: string, run: RpcHandler) => void methods.set(name, run) };
    const exchange = createDocumentExchange({ registry, logger });
    const store = new MemoryObjectStore(clock);
    const document = createReplicatedDocument({
        name: "plan",
        key: "plan",
        store,
        transport: { call },
        exchange,
        clock,
        random: createRandom(1),
        logger,
        getOrder: value => [(value as Plan).epoch, (value as Plan).step],
        parse: value => value as Plan,
    });
    const controller = new AbortController();
    const done = document.run(controller.signal);
    return { clock, store, exchange, document, methods, stop: () => (controller.abort(), done) };
}

test("a plan of a former lease holder is not applied, however high its step", async () => {
    const { document, store, clock, exchange, stop } = createPlanDocument();
    document.applyLocal({ epoch: 2, step: 1 });
    await store.put("plan", { epoch: 1, step: 50 }, 0);
    await store.put("plan-other", { epoch: 9, step: 9 }, 0);
    await clock.advance(1000);
    assert.deepEqual(document.current(), { epoch: 2, step: 1 });
    await store.put("plan", { epoch: 2, step: 2 }, 1);
    await clock.advance(1000);
    assert.deepEqual(document.current(), { epoch: 2, step: 2 });
    assert.deepEqual(exchange.getDigest(), { plan: [2, 2] });
    await stop();
});

test("a listener that throws does not prevent calls to the others", () => {
    const { document } = createPlanDocument();
    const seen: Plan[] = [];
    document.onChange(() => {
        throw new Error("listener");
    });
    const remove = document.onChange(plan => seen.push(plan));
    document.applyLocal({ epoch: 1, step: 1 });
    remove();
    document.applyLocal({ epoch: 1, step: 2 });
    assert.deepEqual(seen, [{ epoch: 1, step: 1 }]);
});

test("a value is served only to peers that have an older one", () => {
    const { document, methods } = createPlanDocument();
    const fetch = (after: number[]) => methods.get("config.fetch")!({ name: "plan", after }, "peer");
    assert.deepEqual(fetch([]), {});
    document.applyLocal({ epoch: 1, step: 1 });
    assert.deepEqual(fetch([]), { value: { epoch: 1, step: 1 } });
    assert.deepEqual(fetch([1, 1]), {});
});

test("an unreachable peer is retried less often, but within seconds after it becomes reachable again", async () => {
    let calls = 0;
    let up = false;
    const { document, clock } = createPlanDocument(async <Result>() => {
        calls++;
        if (!up) {
            throw new Error("not reachable");
        }
        return { value: { epoch: 1, step: 1 } } as Result;
    });
    const announce = async (ms: number) => {
        for (let passed = 0; passed < ms; passed += 100) {
            document.handlePeerOrder("peer", [1, 1]);
            await clock.advance(100);
        }
    };
    await announce(60_000);
    assert.ok(calls >= 15 && calls <= 35, `${calls} calls in a minute`);
    up = true;
    await announce(4100);
    assert.deepEqual(document.current(), { epoch: 1, step: 1 });
});
