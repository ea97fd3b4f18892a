import assert from "node:assert/strict";
import { test } from "node:test";
import type { BackendState } from "@waxwingdale/balancing";
import { createManualClock } from "@waxwingdale/core";
import { createCrashSuspects } from "@waxwingdale/relay";
import { createCrashWatch } from "../src/crash-watch.js";
import { ServerVerdict } from "../src/server-examiner.js";
import type { ServerExaminer } from "../src/server-examiner.js";

const identity = { request: "a", caller: () => "a.1" };
const examinationMs = 250;

function setUp(verdict: ServerVerdict) {
    const clock = createManualClock();
    const suspects = createCrashSuspects(clock);
    let current = verdict;
    const examine = async () => {
        await clock.sleep(examinationMs);
        return current;
    };
    const examiner: ServerExaminer = {
        examineLoss: examine,
        examineSilence: examine,
        examineDelay: examine,
        isResponding: async () => true,
    };
    const createWatch = () =>
        createCrashWatch({
            requestId: "r",
            clock,
            suspects,
            examiner,
            observer: { onExamined: () => undefined, onCleared: () => undefined },
            identify: () => identity,
            beginTrial: async () => suspects.beginTrial(identity),
        });
    const createAttempt = (id: string) => ({
        server: { record: { id } } as BackendState,
        sentAt: clock.now(),
    });
    const setVerdict = (next: ServerVerdict) => {
        current = next;
    };
    return { clock, suspects, createWatch, createAttempt, setVerdict };
}

/** Guards against a harmless request that is rejected, since it goes to silent servers until the first is missed. */
test("a silent server counts only for requests that were sent when the one before was known", async () => {
    const { clock, suspects, createWatch, createAttempt } = setUp(ServerVerdict.Silent);
    for (const server of ["i-1", "i-2", "i-3"]) {
        const attempt = createAttempt(server);
        const watch = createWatch();
        clock.setTimer(100, () => watch.recordDelay(attempt));
        await clock.advance(110);
    }
    await clock.advance(examinationMs + 100);
    assert.equal(suspects.countCrashes(identity).ofCaller, 1);
    const later = createAttempt("i-4");
    createWatch().recordDelay(later);
    await clock.advance(examinationMs);
    assert.equal(suspects.countCrashes(identity).ofCaller, 2);
});

for (const { endsAtMs, isLeaving } of [
    { endsAtMs: 2000, isLeaving: false },
    { endsAtMs: 5000, isLeaving: false },
    { endsAtMs: 2000, isLeaving: true },
]) {
    // Guards against a request that is never recognized, since its servers end long after its deadline (BUDGET).
    test(`a server that ends ${endsAtMs} ms after the attempt ${isLeaving ? "as announced does not count" : "counts"}`, async () => {
        const setup = setUp(ServerVerdict.Alive);
        const { clock, suspects, createWatch, createAttempt } = setup;
        const attempt = createAttempt("i-1");
        createWatch().recordAbandoned(attempt);
        await clock.advance(endsAtMs);
        attempt.server.isLeaving = isLeaving;
        setup.setVerdict(ServerVerdict.Gone);
        await clock.advance(7000);
        assert.equal(suspects.countCrashes(identity).ofCaller, isLeaving ? 0 : 1);
    });
}

/** Ends the attempt of a request on trial, after two crashes. Its server is found as the verdict says. */
async function abandonTrial(verdict: ServerVerdict) {
    const { clock, suspects, createWatch, createAttempt } = setUp(verdict);
    for (const server of ["i-1", "i-2"]) {
        const sentAt = clock.now();
        await clock.advance(1);
        suspects.recordCrash(identity, { serverId: server, sentAt, lostAt: clock.now() });
    }
    const watch = createWatch();
    assert.equal(await watch.beginTrial(), true);
    watch.recordAbandoned(createAttempt("i-3"));
    watch.end(true);
    return { clock, suspects };
}

test("a trial whose server lives on after the deadline is over, and not before", async () => {
    const { clock, suspects } = await abandonTrial(ServerVerdict.Alive);
    await clock.advance(5000);
    assert.ok(suspects.rejectedMs(identity) > 0);
    await clock.advance(2000);
    assert.equal(suspects.rejectedMs(identity), 0);
});

// Guards against a trial that is taken back although nobody knows what became of its server.
test("a trial whose server can't be examined stays open", async () => {
    const { clock, suspects } = await abandonTrial(ServerVerdict.Unknown);
    await clock.advance(10_000);
    assert.ok(suspects.rejectedMs(identity) > 0);
});
