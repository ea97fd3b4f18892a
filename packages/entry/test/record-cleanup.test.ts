import assert from "node:assert/strict";
import { test } from "node:test";
import type { TestContext } from "node:test";
import { MemberStatus, createManualClock, createSilentLogger } from "@waxwingdale/core";
import type { Member, MemberView } from "@waxwingdale/core";
import { MemoryObjectStore } from "@waxwingdale/store";
import { recordRetentionMs, runRecordCleanup } from "../src/record-cleanup.js";

async function startCleanup(t: TestContext) {
    const clock = createManualClock();
    const store = new MemoryObjectStore(clock);
    const stopped = new AbortController();
    const members = new Map<string, MemberStatus>();
    const state = { active: true };
    const view = {
        find: (id: string) => {
            const status = members.get(id);
            return status && ({ id, status } as Member);
        },
    } as unknown as MemberView;
    const logger = createSilentLogger();
    await store.put("entries/e1", { id: "e1", state: "live" }, 0);
    void runRecordCleanup({ store, view, clock, logger, isActive: () => state.active }, stopped.signal);
    t.after(() => stopped.abort());
    return { clock, store, members, state };
}

// Guards against a crashed entry that blocks a manifest in a newer format indefinitely.
test("the record of a crashed entry is removed after the retention time", async t => {
    const { clock, store, members } = await startCleanup(t);
    members.set("e1", MemberStatus.Dead);
    await clock.advance(recordRetentionMs - 60_000);
    assert.notEqual(await store.get("entries/e1"), undefined);
    await clock.advance(120_000);
    assert.equal(await store.get("entries/e1"), undefined);
});

test("the record of a live entry is kept", async t => {
    const { clock, store, members } = await startCleanup(t);
    members.set("e1", MemberStatus.Live);
    await clock.advance(3 * recordRetentionMs);
    assert.notEqual(await store.get("entries/e1"), undefined);
});

// Guards against removals by an entry that has just become active and does not know the fleet yet.
test("the retention time restarts when the cleanup becomes active and when the record changes", async t => {
    const { clock, store, state } = await startCleanup(t);
    await clock.advance(recordRetentionMs - 60_000);
    state.active = false;
    await clock.advance(60_000);
    state.active = true;
    const { version } = (await store.get("entries/e1"))!;
    await clock.advance(recordRetentionMs - 60_000);
    await store.put("entries/e1", { id: "e1", state: "live", restarted: true }, version);
    await clock.advance(recordRetentionMs - 60_000);
    assert.notEqual(await store.get("entries/e1"), undefined);
});
