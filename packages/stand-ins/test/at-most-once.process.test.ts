/**
 * Guards against a non-idempotent request that runs twice, or that runs although it is reported as not run, while
 * entries or the store fail.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Outcome, ReasonCode } from "@waxwingdale/core";
import { sendRequest, sleep, waitUntil, useFleet } from "./fleet-fixture.js";
import { assertAtMostOnce, startWriteLoad } from "./write-load.js";

const testOptions = { timeout: 40_000 };
const getFleet = useFleet({ regions: ["east", "west"], entriesPerRegion: 3, servers: 4 });

test(
    "store responses lost after the write took effect: keys run once and get a response",
    testOptions,
    async t => {
        const fleet = getFleet();
        const load = startWriteLoad(fleet.entries, 2);
        for (let i = 0; i < 5; i++) {
            await fleet.setStoreFaults({ loseWriteAnswers: 4 });
            await sleep(500);
        }
        await fleet.setStoreFaults({});
        await sleep(500);
        await load.stop();
        const totals = await assertAtMostOnce(fleet, load);
        t.diagnostic(JSON.stringify(Object.fromEntries(totals)));
        assert.ok((totals.get(Outcome.Ran) ?? 0) > 0);
    },
);

test("store delayed by 300 ms: keys run once", testOptions, async t => {
    const fleet = getFleet();
    await fleet.setStoreFaults({ slow: 300 });
    const load = startWriteLoad(fleet.entries, 2, 16);
    await sleep(3000);
    await load.stop();
    await fleet.setStoreFaults({});
    const totals = await assertAtMostOnce(fleet, load);
    t.diagnostic(JSON.stringify(Object.fromEntries(totals)));
    assert.ok((totals.get(Outcome.Ran) ?? 0) > 0);
});

test(
    "store down for 5 s: new keys are not run, lookups continue, and writes recover afterwards",
    testOptions,
    async t => {
        const fleet = getFleet();
        const load = startWriteLoad(fleet.entries, 2);
        await sleep(1000);
        await fleet.setStoreFaults({ down: true });
        const downAt = Date.now();
        let lookupCount = 0;
        while (Date.now() < downAt + 5000) {
            const number = lookupCount++;
            const result = await sendRequest(fleet.entries[number % fleet.entries.length]!, {
                path: `/items/${number}`,
                home: number % 2,
            });
            assert.equal(result.outcome, Outcome.Ran, `${result.reason} ${result.requestId}`);
        }
        const upAt = Date.now();
        await fleet.setStoreFaults({});
        await waitUntil("writes recover", 10_000, async () => {
            const results = await Promise.all(
                fleet.entries.map((entry, i) =>
                    sendRequest(entry, { method: "POST", path: "/certs", key: `after-${Date.now()}-${i}` }),
                ),
            );
            return results.every(({ outcome }) => outcome === Outcome.Ran);
        });
        await load.stop();
        const totals = await assertAtMostOnce(fleet, load);
        t.diagnostic(JSON.stringify(Object.fromEntries(totals)));
        const resultsDuringOutage = load.histories
            .filter(({ answers }) => answers.length > 0 && answers.every(({ sentAt }) => sentAt > downAt))
            .flatMap(({ answers }) => answers.filter(({ endedAt }) => endedAt < upAt));
        assert.ok(resultsDuringOutage.length > 0);
        for (const { outcome, reason, retryAfter, requestId } of resultsDuringOutage) {
            assert.deepEqual(
                { outcome, reason },
                { outcome: Outcome.NotRun, reason: ReasonCode.ClaimsUnavailable },
                requestId,
            );
            assert.ok(Number(retryAfter) > 0);
        }
    },
);

test("SIGSTOP of an entry for 8 s under load: no key runs twice after it resumes", testOptions, async t => {
    const fleet = getFleet();
    const load = startWriteLoad(fleet.entries, 2);
    const paused = fleet.entries.find(({ region }) => region === "east")!;
    await sleep(1000);
    paused.process.child.kill("SIGSTOP");
    await sleep(8000);
    paused.process.child.kill("SIGCONT");
    await sleep(3000);
    await load.stop();
    const totals = await assertAtMostOnce(fleet, load);
    t.diagnostic(JSON.stringify(Object.fromEntries(totals)));
    assert.ok((totals.get(Outcome.Ran) ?? 0) > 0);
    await waitUntil(
        "the entry is ready again",
        15_000,
        async () => (await fleet.status(paused))?.ready === true,
    );
});

test(
    "SIGKILL of an entry under load: keys repeated at other entries run at most once",
    testOptions,
    async t => {
        const fleet = getFleet();
        const load = startWriteLoad(fleet.entries, 2);
        await sleep(1000);
        const killed = fleet.entries.find(({ region }) => region === "east")!;
        killed.process.child.kill("SIGKILL");
        await sleep(7000);
        await load.stop();
        const totals = await assertAtMostOnce(fleet, load);
        t.diagnostic(JSON.stringify(Object.fromEntries(totals)));
        const interrupted = load.histories.filter(
            ({ answers }) =>
                answers.some(({ broken, outcome }) => broken && outcome === Outcome.Unknown) &&
                answers.length > 1,
        );
        t.diagnostic(`${interrupted.length} keys were interrupted and repeated`);
        assert.ok(interrupted.length > 0, "no request was in flight at the kill");
    },
);
