import assert from "node:assert/strict";
import { test } from "node:test";
import { StoreConflictError, StoreOutcomeUnknownError, createManualClock } from "@waxwingdale/core";
import { LeaseLostError, MemoryObjectStore, createFencedWriter } from "@waxwingdale/store";
import type { FencedOrder, Lease } from "@waxwingdale/store";

const key = "plan";

function createWriter(store: MemoryObjectStore, epoch: () => number | undefined) {
    const lease: Lease = { isHeld: () => epoch() !== undefined, epoch, run: () => Promise.resolve() };
    return createFencedWriter<FencedOrder>({ store, key, lease, getOrder: value => value as FencedOrder });
}

/** Delays the first write, whose response is lost, until `deliver` is called or another write arrives. */
class LateWriteStore extends MemoryObjectStore {
    deliver: (() => Promise<unknown>) | undefined;
    private lost = false;

    override async put(...args: Parameters<MemoryObjectStore["put"]>): Promise<number> {
        if (!this.lost) {
            this.lost = true;
            this.deliver = () => super.put(...args);
            throw new StoreOutcomeUnknownError("no response");
        }
        await this.deliver?.().catch(() => undefined);
        return super.put(...args);
    }
}

test("a former holder does not overwrite a later epoch", async () => {
    const store = new MemoryObjectStore(createManualClock());
    await store.put(key, { epoch: 5, step: 1 }, 0);
    await assert.rejects(
        createWriter(store, () => 4).write(order => order),
        LeaseLostError,
    );
    assert.equal(store.counters.writes, 1);
});

test("a lease that is lost while the value is created prevents the write", async () => {
    const store = new MemoryObjectStore(createManualClock());
    let epoch: number | undefined = 1;
    const write = createWriter(store, () => epoch).write(order => {
        epoch = undefined;
        return order;
    });
    await assert.rejects(write, LeaseLostError);
    assert.equal(store.counters.writes, 0);
});

test("a write whose response was lost takes effect once", async () => {
    const store = new MemoryObjectStore(createManualClock());
    const writer = createWriter(store, () => 2);
    store.faults.loseWriteAnswers = 1;
    assert.deepEqual(await writer.write(order => order), { epoch: 2, step: 1 });
    assert.deepEqual(await writer.write(order => order), { epoch: 2, step: 2 });
    assert.equal(store.counters.reads, 2, "one read at the start and one after the lost response");
});

test("a late write is not mistaken for the next one", async () => {
    const store = new LateWriteStore(createManualClock());
    const writer = createWriter(store, () => 1);
    const write = (text: string) => writer.write(order => ({ ...order, text }));
    await assert.rejects(write("first"), StoreOutcomeUnknownError);
    await assert.rejects(write("second"), StoreConflictError);
    assert.deepEqual((await store.get(key))?.value, { epoch: 1, step: 1, text: "first" });
    assert.deepEqual(await write("third"), { epoch: 1, step: 3, text: "third" });
});
