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
    const examine = async () => {
        await clock.sleep(examinationMs);
        return verdict;
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
    return { clock, suspects, createWatch, createAttempt };
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
