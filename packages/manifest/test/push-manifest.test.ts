import assert from "node:assert/strict";
import { test } from "node:test";
import { createManualClock } from "@waxwingdale/core";
import {
    FormatNotSupportedError,
    ManifestInvalidError,
    PushConflictError,
    PushOutcomeUnknownError,
    PushRejectedError,
    PushUnavailableError,
    manifestKey,
    pushManifest,
} from "@waxwingdale/manifest";
import type { AcceptedManifest } from "@waxwingdale/manifest";
import { MemoryObjectStore } from "@waxwingdale/store";
import fc from "fast-check";
import { Fault, FaultyStore } from "./faulty-store.js";
import { readExample } from "./fixtures.js";

const manifest = readExample();
const createStore = () => new MemoryObjectStore(createManualClock());
const readActive = async (store: MemoryObjectStore) =>
    (await store.get(manifestKey))?.value as AcceptedManifest | undefined;

test("each push increases the generation by one", async () => {
    const store = createStore();
    assert.equal((await pushManifest(store, manifest, undefined, "a")).generation, 1);
    assert.equal((await pushManifest(store, manifest, 1, "b")).generation, 2);
    assert.equal((await readActive(store))?.pushId, "b");
});

// Guards against an operator overwriting a manifest that they have not seen.
test("a missing or wrong base is a conflict that reports the active generation", async () => {
    const store = createStore();
    await pushManifest(store, manifest, undefined, "a");
    await pushManifest(store, manifest, 1, "b");
    for (const base of [undefined, 1, 3]) {
        await assert.rejects(
            pushManifest(store, manifest, base, "c"),
            err =>
                err instanceof PushConflictError &&
                err.currentGeneration === 2 &&
                /--base 2/.test(err.message),
        );
    }
    assert.equal((await readActive(store))?.pushId, "b");
});

test("a retried push is accepted once", async () => {
    const store = createStore();
    await pushManifest(store, manifest, undefined, "a");
    assert.equal((await pushManifest(store, manifest, undefined, "a")).generation, 1);
    assert.equal((await readActive(store))?.generation, 1);
    const other = { ...manifest, deployment: "other" };
    await assert.rejects(pushManifest(store, other, undefined, "a"), PushConflictError);
});

// Guards against a manifest that some entries cannot apply.
test("a format version that a live entry does not support is rejected", async () => {
    const store = createStore();
    await store.put("entries/new", { id: "new", formats: [1, 2], state: "live" }, 0);
    await store.put("entries/gone", { id: "gone", formats: [0], state: "leaving" }, 0);
    await pushManifest(store, manifest, undefined, "a");
    await store.put("entries/old", { id: "old", formats: [0], state: "live" }, 0);
    await store.put("entries/malformed", { id: "malformed" }, 0);
    await assert.rejects(
        pushManifest(store, manifest, 1, "b"),
        err => err instanceof FormatNotSupportedError && err.entries.join() === "malformed,old",
    );
});

test("a manifest with errors is rejected", async () => {
    const bad = { ...manifest, storeRegion: "x" };
    await assert.rejects(pushManifest(createStore(), bad, undefined, "a"), ManifestInvalidError);
});

test("an object under the manifest's key that is not a manifest is not overwritten", async () => {
    const store = createStore();
    await store.put(manifestKey, { note: "x" }, 0);
    await assert.rejects(pushManifest(store, manifest, undefined, "a"), PushRejectedError);
});

test("a push that is replaced before it is read back has an unknown outcome", async () => {
    const store = createStore();
    const faulty = new FaultyStore(store, [Fault.None, Fault.None, Fault.ResponseLost], async () => {
        if ((await readActive(store))?.pushId === "a") {
            await pushManifest(store, manifest, 1, "b");
        }
    });
    await assert.rejects(pushManifest(faulty, manifest, undefined, "a"), PushOutcomeUnknownError);
});

test("a push has an unknown outcome if the store stays down after a lost response", async () => {
    const faults = [Fault.None, Fault.None, Fault.ResponseLost, ...Array<Fault>(9).fill(Fault.Unavailable)];
    const faulty = new FaultyStore(createStore(), faults);
    await assert.rejects(pushManifest(faulty, manifest, undefined, "a"), PushOutcomeUnknownError);
});

enum Result {
    Accepted = "accepted",
    Conflict = "conflict",
    Unavailable = "unavailable",
    Unknown = "unknown",
}

async function push(store: FaultyStore, base: number | undefined, pushId: string): Promise<Result> {
    try {
        await pushManifest(store, manifest, base, pushId);
        return Result.Accepted;
    } catch (err) {
        if (err instanceof PushConflictError) {
            return Result.Conflict;
        }
        if (err instanceof PushUnavailableError) {
            return Result.Unavailable;
        }
        assert.ok(err instanceof PushOutcomeUnknownError, String(err));
        return Result.Unknown;
    }
}

/** Runs concurrent pushes with the same base; the scheduler chooses the order of their calls. */
async function pushConcurrently(
    scheduler: fc.Scheduler,
    hasBase: boolean,
    faults: Fault[][],
): Promise<{ results: Result[]; inForce: AcceptedManifest | undefined }> {
    const store = createStore();
    const base = hasBase ? 1 : undefined;
    if (hasBase) {
        await pushManifest(store, manifest, undefined, "first");
    }
    const stores = faults.map(
        (row, i) =>
            new FaultyStore(store, [...row], () => scheduler.schedule(Promise.resolve(), `call ${i}`)),
    );
    const results = await scheduler.waitFor(Promise.all(stores.map((row, i) => push(row, base, String(i)))));
    for (const row of stores) {
        await row.deliverDelayedWrite();
    }
    return { results, inForce: await readActive(store) };
}

const lostWrites = fc.array(
    fc.constantFrom(Fault.None, Fault.ResponseLost, Fault.RequestLost, Fault.Delayed),
    {
        maxLength: 2,
    },
);

// Guards against two operators who both get a success although only one of the manifests is active.
test("exactly one of two concurrent pushes is accepted", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.scheduler(),
            fc.boolean(),
            lostWrites,
            lostWrites,
            async (scheduler, hasBase, a, b) => {
                // The entries and the manifest are read before the first write.
                const reads = [Fault.None, Fault.None];
                const faults = [a, b].map(row => [...reads, ...row.flatMap(fault => [fault, Fault.None])]);
                const { results, inForce } = await pushConcurrently(scheduler, hasBase, faults);
                assert.deepEqual([...results].sort(), [Result.Accepted, Result.Conflict]);
                assert.equal(inForce?.pushId, String(results.indexOf(Result.Accepted)));
                assert.equal(inForce?.generation, hasBase ? 2 : 1);
            },
        ),
        { numRuns: 300 },
    );
});

// Guards against the error "nothing was written" for a push that is active.
test("a known outcome is correct under any faults", async () => {
    const anyFaults = fc.array(fc.constantFrom(...Object.values(Fault)), { maxLength: 12 });
    await fc.assert(
        fc.asyncProperty(
            fc.scheduler(),
            fc.boolean(),
            anyFaults,
            anyFaults,
            async (scheduler, hasBase, a, b) => {
                const { results, inForce } = await pushConcurrently(scheduler, hasBase, [a, b]);
                results.forEach((result, i) => {
                    if (result !== Result.Unknown) {
                        assert.equal(inForce?.pushId === String(i), result === Result.Accepted);
                    }
                });
            },
        ),
        { numRuns: 500 },
    );
});
