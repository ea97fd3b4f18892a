/** Guards against a request that crashes one backend server after the other because it is retried or repeated. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Outcome, ReasonCode } from "@waxwingdale/core";
import { countRunsByKey, sendRequest, sleep, useFleet } from "./fleet-fixture.js";
import type { SendResult, TestRequest } from "./fleet-fixture.js";

const testOptions = { timeout: 40_000 };
const slots = 3;
const crashLimit = 2;
const getFleet = useFleet({ regions: ["east", "west"], entriesPerRegion: 2, servers: 4 });

async function countCrashes(): Promise<number> {
    const states = await getFleet().states();
    return states.reduce((sum, state) => sum + (state as unknown as { crashes: number }).crashes, 0);
}

/** Sends other requests to the same route until stopped. */
function startBackgroundLoad(createRequest: (number: string) => TestRequest) {
    const { entries } = getFleet();
    const answers: (SendResult & { key?: string })[] = [];
    let stopped = false;
    const run = async (caller: number) => {
        for (let i = 0; !stopped; i++) {
            const testRequest = createRequest(`${caller}-${i}`);
            const result = await sendRequest(entries[(caller + i) % entries.length]!, testRequest);
            answers.push({ ...result, key: testRequest.key });
        }
    };
    const running = Array.from({ length: 16 }, (_, i) => run(i));
    return {
        answers,
        stop: async () => {
            stopped = true;
            await Promise.all(running);
        },
    };
}

/** Sends a request repeatedly, to one entry after the other. */
async function sendToEachEntry(testRequest: TestRequest): Promise<SendResult[]> {
    const { entries } = getFleet();
    const results: SendResult[] = [];
    for (let i = 0; i < 10; i++) {
        results.push(await sendRequest(entries[i % entries.length]!, testRequest));
        await sleep(300);
    }
    return results;
}

const formatResults = (results: SendResult[]) =>
    results.map(a => `${a.outcome}/${a.reason}/${a.requestId}`).join(" ");

test(
    "an idempotent request that crashes servers is rejected after two crashes; other requests of its route succeed",
    testOptions,
    async t => {
        const before = await countCrashes();
        const background = startBackgroundLoad(number => ({ path: `/items/${number}` }));
        await sleep(500);
        const results = await sendToEachEntry({ path: "/items/poison?crash=1" });
        await background.stop();
        t.diagnostic(formatResults(results));
        assert.equal((await countCrashes()) - before, crashLimit, formatResults(results));
        const last = results.at(-1)!;
        assert.deepEqual([last.outcome, last.reason], [Outcome.NotRun, ReasonCode.Quarantined]);
        const unsuccessful = background.answers.filter(({ outcome }) => outcome !== Outcome.Ran);
        assert.deepEqual(unsuccessful, [], formatResults(unsuccessful));
    },
);

test(
    "a non-idempotent request that crashes its server runs once; requests in flight are unknown, later ones succeed",
    testOptions,
    async t => {
        const before = await countCrashes();
        const background = startBackgroundLoad(number => ({
            method: "POST",
            path: "/certs",
            key: `other-${number}`,
        }));
        await sleep(500);
        const results = await sendToEachEntry({ method: "POST", path: "/certs?crash=1", key: "poison" });
        await background.stop();
        t.diagnostic(formatResults(results));
        assert.equal((await countCrashes()) - before, 1, formatResults(results));
        const runs = await countRunsByKey(getFleet());
        assert.equal(runs.get("poison"), 1);
        assert.ok(results.every(({ outcome }) => outcome !== Outcome.Ran));
        const unknown = background.answers.filter(({ outcome }) => outcome === Outcome.Unknown);
        assert.ok(unknown.length < slots, formatResults(unknown));
        for (const result of background.answers) {
            const count = runs.get(result.key!) ?? 0;
            assert.ok(count <= 1, `ran ${count} times: ${formatResults([result])}`);
            assert.ok(
                result.outcome !== Outcome.Ran || count === 1,
                `did not run: ${formatResults([result])}`,
            );
            assert.ok(result.outcome !== Outcome.NotRun || count === 0, `ran: ${formatResults([result])}`);
        }
        assert.ok(background.answers.slice(-20).every(({ outcome }) => outcome === Outcome.Ran));
    },
);
