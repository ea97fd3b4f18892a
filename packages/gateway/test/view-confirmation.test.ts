/** Guards against keys that are rejected without need, or served too long, where the store rejects single instances. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createDocumentExchange } from "@waxwingdale/config";
import { createElapsedClock, createManualClock, createRandom, createSilentLogger } from "@waxwingdale/core";
import type { ManualClock, RpcHandler } from "@waxwingdale/core";
import { createViewConfirmation } from "../src/view-confirmation.js";
import { createViewFreshness } from "../src/view-freshness.js";
import { createMember } from "./fixtures.js";

const ids = ["a", "b", "c"];
const revokeSeconds = 5;

/** Starts instances that know version `order` of the configuration, none of which has read the store yet. */
function startFleet(clock: ManualClock, order = { a: 3, b: 3, c: 3 }) {
    const members = ids.map(id => createMember(id, "n-a", "north"));
    const handlers = new Map<string, RpcHandler>();
    const controller = new AbortController();
    const logger = createSilentLogger();
    const instances = members.map(self => {
        const viewClock = createElapsedClock({ clock, isEnabled: () => false });
        const exchange = createDocumentExchange({ registry: { addMethod: () => undefined }, logger });
        const announced: number[] = [];
        exchange.add({
            name: "traffic",
            getLatestOrder: () => [order[self.id as keyof typeof order]],
            getLatestValue: () => undefined,
            handlePeerOrder: (_peer, [version]) => announced.push(version!),
        });
        const instance = { asOf: undefined as number | undefined, announced, mayServeKeys: () => false };
        const freshness = createViewFreshness({
            clock: viewClock,
            logger,
            revokeSeconds: () => revokeSeconds,
            hasWorkspaces: () => true,
            asOf: () => instance.asOf,
        });
        instance.mayServeKeys = freshness.mayServeKeys;
        const confirmation = createViewConfirmation({
            exchange,
            documentName: "traffic",
            members: () => ({
                self: () => self,
                members: () => members,
                liveInRegion: () => members,
                find: id => members.find(member => member.id === id),
                onChange: () => () => undefined,
            }),
            transport: {
                call: async <Result>(address: string, _method: string, params: unknown) => {
                    await clock.sleep(55);
                    const result = await handlers.get(address)!(params, self.id);
                    await clock.sleep(55);
                    return result as Result;
                },
            },
            rpc: { addMethod: (_name, handler) => void handlers.set(self.peerAddress, handler) },
            clock: viewClock,
            random: createRandom(1),
            logger,
            signal: controller.signal,
            asOf: () => instance.asOf,
            isNeeded: () => freshness.needsConfirmation(),
            onConfirmed: asOf => (instance.asOf = Math.max(asOf, instance.asOf ?? -Infinity)),
        });
        void confirmation.run();
        return instance;
    });
    return { a: instances[0]!, b: instances[1]!, c: instances[2]!, stop: () => controller.abort() };
}

test("an instance that starts while the store rejects it serves keys as long as a peer has a fresh view", async () => {
    const clock = createManualClock(1000);
    const { a, b, c, stop } = startFleet(clock);
    for (let passedMs = 0; passedMs < 9000; passedMs += 100) {
        // Only one instance hears from the store.
        a.asOf = clock.now() - (passedMs % 2000);
        await clock.advance(100);
        assert.ok(passedMs < 1500 || (b.mayServeKeys() && c.mayServeKeys()), `after ${passedMs} ms`);
        assert.ok((b.asOf ?? 0) <= clock.now() && (b.asOf ?? 0) <= a.asOf, "no newer than the peer's view");
    }
    stop();
});

test("peers that do not hear from the store do not keep each other's views fresh", async () => {
    const clock = createManualClock(1000);
    const { a, b, c, stop } = startFleet(clock);
    a.asOf = 1000;
    await clock.advance(2000);
    await clock.advance(revokeSeconds * 900 - 2000);
    assert.deepEqual(
        [a, b, c].map(({ mayServeKeys }) => mayServeKeys()),
        [false, false, false],
    );
    stop();
});

test("a peer with a newer configuration confirms nothing, and its configuration is fetched", async () => {
    const clock = createManualClock(1000);
    const { a, b, c, stop } = startFleet(clock, { a: 4, b: 3, c: 4 });
    a.asOf = 1000;
    await clock.advance(2000);
    assert.deepEqual([b.asOf, b.mayServeKeys()], [undefined, false]);
    assert.ok(b.announced.includes(4));
    // The peer states its age when the call arrives, so the time of one way is lost.
    assert.equal(c.asOf, 1000 - 55);
    stop();
});
