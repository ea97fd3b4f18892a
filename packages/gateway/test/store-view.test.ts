import assert from "node:assert/strict";
import { test } from "node:test";
import { createBackendTable } from "@waxwingdale/balancing";
import {
    StoreUnavailableError,
    createManualClock,
    createRandom,
    createSilentLogger,
} from "@waxwingdale/core";
import type { MemberView } from "@waxwingdale/core";
import { MemoryObjectStore } from "@waxwingdale/store";
import { createStoreView } from "../src/store-view.js";
import { createStoreWatches } from "../src/store-watches.js";
import { createMember } from "./fixtures.js";

/** Bound in milliseconds from the acknowledgement of an evacuation to the last request to its zone. */
const evacuationMs = 5000;
/** Time in milliseconds that a call to the store may take beyond the wait of a watch. */
const callTimeoutMs = 1500;

/** A store whose waiting watches get no answer any more, while new calls work. */
class SilentWatchStore extends MemoryObjectStore {
    isSilent = false;

    override async watch(...args: Parameters<MemoryObjectStore["watch"]>) {
        const [, , waitMs] = args;
        const result = await super.watch(...args);
        if (this.isSilent) {
            await this.clock.sleep(waitMs + callTimeoutMs);
            throw new StoreUnavailableError("no answer");
        }
        return result;
    }
}

// Guards against an instance that hears of an evacuation too late, because the connection of its watch has gone silent.
test("an evacuation is known in time when the watch goes silent before it", async () => {
    const clock = createManualClock(1000);
    const store = new SilentWatchStore(clock);
    const logger = createSilentLogger();
    const controller = new AbortController();
    const self = createMember("a", "n-a", "north");
    const members: MemberView = {
        self: () => self,
        members: () => [self],
        liveInRegion: () => [self],
        find: () => self,
        onChange: () => () => undefined,
    };
    const table = createBackendTable({
        clock,
        logger,
        regionOf: () => "north",
        coldRequestsPerSecond: () => 20,
        self: "a",
        coldSenders: () => [],
        onGone: () => undefined,
    });
    const view = createStoreView({
        store,
        watches: createStoreWatches({
            bounds: { configApplySeconds: 3, drainSeconds: 3, evacuateSeconds: evacuationMs / 1000 },
            clock,
            logger,
        }),
        clock,
        random: createRandom(1),
        logger,
        signal: controller.signal,
        table,
        members: () => members,
        transport: { call: () => Promise.reject(new Error("no peer")) },
        rpc: { addMethod: () => undefined },
    });
    const running = view.run();
    await clock.advance(3000);
    store.isSilent = true;
    await clock.advance(10);
    await store.put("evacuations/n-b", {}, 0);
    await clock.advance(evacuationMs - 100);
    assert.deepEqual(table.evacuatedZones(), ["n-b"]);
    controller.abort();
    await clock.advance(10_000);
    await running;
});
