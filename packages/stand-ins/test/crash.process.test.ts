/** A request that crashes every backend server that runs it. Each test guards against a caller that takes the servers down one by one. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Outcome, ReasonCode } from "@waxwingdale/core";
import { countKeys, send, sleep, useFleet } from "./fleet-fixture.js";
import type { Answer, Sending } from "./fleet-fixture.js";

const limit = { timeout: 40_000 };
const slots = 3;
const crashLimit = 2;
const getFleet = useFleet({ regions: ["east", "west"], entriesPerRegion: 2, servers: 4 });

async function countCrashes(): Promise<number> {
    const states = await getFleet().states();
    return states.reduce((sum, state) => sum + (state as unknown as { crashes: number }).crashes, 0);
}

/** Other requests of the same caller and route that go on all the time. */
function startOthers(create: (number: string) => Sending) {
    const { entries } = getFleet();
    const answers: (Answer & { key?: string })[] = [];
    let stopped = false;
    const run = async (caller: number) => {
        for (let i = 0; !stopped; i++) {
            const wanted = create(`${caller}-${i}`);
            const answer = await send(entries[(caller + i) % entries.length]!, wanted);
            answers.push({ ...answer, key: wanted.key });
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

/** Sends a request at one entry after the other. */
async function repeatEverywhere(wanted: Sending): Promise<Answer[]> {
    const { entries } = getFleet();
    const answers: Answer[] = [];
    for (let i = 0; i < 10; i++) {
        answers.push(await send(entries[i % entries.length]!, wanted));
        await sleep(300);
    }
    return answers;
}

const show = (answers: Answer[]) => answers.map(a => `${a.outcome}/${a.reason}/${a.requestId}`).join(" ");

test(
    "an idempotent request that crashes servers is refused after two; others of its route are answered",
    limit,
    async t => {
        const before = await countCrashes();
        const others = startOthers(number => ({ path: `/items/${number}` }));
        await sleep(500);
        const answers = await repeatEverywhere({ path: "/items/poison?crash=1" });
        await others.stop();
        t.diagnostic(show(answers));
        assert.equal((await countCrashes()) - before, crashLimit, show(answers));
        const last = answers.at(-1)!;
        assert.deepEqual([last.outcome, last.reason], [Outcome.NotRun, ReasonCode.Quarantined]);
        const unanswered = others.answers.filter(({ outcome }) => outcome !== Outcome.Ran);
        assert.deepEqual(unanswered, [], show(unanswered));
    },
);

test(
    "a non-idempotent request that crashes its server runs once; others in flight are unknown, later ones go on",
    limit,
    async t => {
        const before = await countCrashes();
        const others = startOthers(number => ({ method: "POST", path: "/certs", key: `other-${number}` }));
        await sleep(500);
        const answers = await repeatEverywhere({ method: "POST", path: "/certs?crash=1", key: "poison" });
        await others.stop();
        t.diagnostic(show(answers));
        assert.equal((await countCrashes()) - before, 1, show(answers));
        const runs = await countKeys(getFleet());
        assert.equal(runs.get("poison"), 1);
        assert.ok(answers.every(({ outcome }) => outcome !== Outcome.Ran));
        const unknown = others.answers.filter(({ outcome }) => outcome === Outcome.Unknown);
        assert.ok(unknown.length < slots, show(unknown));
        for (const answer of others.answers) {
            const count = runs.get(answer.key!) ?? 0;
            assert.ok(count <= 1, `ran ${count} times: ${show([answer])}`);
            assert.ok(answer.outcome !== Outcome.Ran || count === 1, `did not run: ${show([answer])}`);
            assert.ok(answer.outcome !== Outcome.NotRun || count === 0, `ran: ${show([answer])}`);
        }
        assert.ok(others.answers.slice(-20).every(({ outcome }) => outcome === Outcome.Ran));
    },
);
