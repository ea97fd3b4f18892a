/** Non-idempotent requests while entries and the store fail. Each test guards against a doubled or a wrongly denied run. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Outcome, ReasonCode } from "@waxwingdale/core";
import { send, sleep, until, useFleet } from "./fleet-fixture.js";
import { checkAtMostOnce, startWrites } from "./write-load.js";

const limit = { timeout: 40_000 };
const getFleet = useFleet({ regions: ["east", "west"], entriesPerRegion: 3, servers: 4 });

test("store answers lost after the write took effect: keys run once and are answered", limit, async t => {
    const fleet = getFleet();
    const load = startWrites(fleet.entries, 2);
    for (let i = 0; i < 5; i++) {
        await fleet.setStoreFaults({ loseWriteAnswers: 4 });
        await sleep(500);
    }
    await fleet.setStoreFaults({});
    await sleep(500);
    await load.stop();
    const totals = await checkAtMostOnce(fleet, load);
    t.diagnostic(JSON.stringify(Object.fromEntries(totals)));
    assert.ok((totals.get(Outcome.Ran) ?? 0) > 0);
});

test("store slow by 300 ms: keys run once", limit, async t => {
    const fleet = getFleet();
    await fleet.setStoreFaults({ slow: 300 });
    const load = startWrites(fleet.entries, 2, 16);
    await sleep(3000);
    await load.stop();
    await fleet.setStoreFaults({});
    const totals = await checkAtMostOnce(fleet, load);
    t.diagnostic(JSON.stringify(Object.fromEntries(totals)));
    assert.ok((totals.get(Outcome.Ran) ?? 0) > 0);
});

test("store down for 5 s: new keys are not run, look-ups go on, then writes work", limit, async t => {
    const fleet = getFleet();
    const load = startWrites(fleet.entries, 2);
    await sleep(1000);
    await fleet.setStoreFaults({ down: true });
    const downAt = Date.now();
    let reads = 0;
    while (Date.now() < downAt + 5000) {
        const number = reads++;
        const answer = await send(fleet.entries[number % fleet.entries.length]!, {
            path: `/items/${number}`,
            home: number % 2,
        });
        assert.equal(answer.outcome, Outcome.Ran, `${answer.reason} ${answer.requestId}`);
    }
    const upAt = Date.now();
    await fleet.setStoreFaults({});
    await until("writes work again", 10_000, async () => {
        const answers = await Promise.all(
            fleet.entries.map((entry, i) =>
                send(entry, { method: "POST", path: "/certs", key: `after-${Date.now()}-${i}` }),
            ),
        );
        return answers.every(({ outcome }) => outcome === Outcome.Ran);
    });
    await load.stop();
    const totals = await checkAtMostOnce(fleet, load);
    t.diagnostic(JSON.stringify(Object.fromEntries(totals)));
    const during = load.histories
        .filter(({ answers }) => answers.length > 0 && answers.every(({ sentAt }) => sentAt > downAt))
        .flatMap(({ answers }) => answers.filter(({ endedAt }) => endedAt < upAt));
    assert.ok(during.length > 0);
    for (const { outcome, reason, retryAfter, requestId } of during) {
        assert.deepEqual(
            { outcome, reason },
            { outcome: Outcome.NotRun, reason: ReasonCode.ClaimsUnavailable },
            requestId,
        );
        assert.ok(Number(retryAfter) > 0);
    }
});

test("SIGSTOP of an entry for 8 s under load: nothing runs twice after it resumes", limit, async t => {
    const fleet = getFleet();
    const load = startWrites(fleet.entries, 2);
    const paused = fleet.entries.find(({ region }) => region === "east")!;
    await sleep(1000);
    paused.process.child.kill("SIGSTOP");
    await sleep(8000);
    paused.process.child.kill("SIGCONT");
    await sleep(3000);
    await load.stop();
    const totals = await checkAtMostOnce(fleet, load);
    t.diagnostic(JSON.stringify(Object.fromEntries(totals)));
    assert.ok((totals.get(Outcome.Ran) ?? 0) > 0);
    await until("the entry is ready again", 15_000, async () => (await fleet.status(paused))?.ready === true);
});

test("SIGKILL of an entry under load: keys repeated elsewhere run at most once", limit, async t => {
    const fleet = getFleet();
    const load = startWrites(fleet.entries, 2);
    await sleep(1000);
    const killed = fleet.entries.find(({ region }) => region === "east")!;
    killed.process.child.kill("SIGKILL");
    await sleep(7000);
    await load.stop();
    const totals = await checkAtMostOnce(fleet, load);
    t.diagnostic(JSON.stringify(Object.fromEntries(totals)));
    const interrupted = load.histories.filter(
        ({ answers }) =>
            answers.some(({ broken, outcome }) => broken && outcome === Outcome.Unknown) &&
            answers.length > 1,
    );
    t.diagnostic(`${interrupted.length} keys were interrupted and repeated`);
    assert.ok(interrupted.length > 0, "no request was in flight at the kill");
});
