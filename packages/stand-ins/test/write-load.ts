/** Load of non-idempotent requests that are repeated with the same key at other entries, and a check of the results. */
import assert from "node:assert/strict";
import { Outcome } from "@waxwingdale/core";
import type { FleetEntry } from "@waxwingdale/stand-ins";
import { countRunsByKey, sendRequest, sleep } from "./fleet-fixture.js";
import type { SendResult, TestFleet } from "./fleet-fixture.js";

export interface KeyHistory {
    key: string;
    /** Whether the key is sent only once, so that its first result is final. */
    sentOnce: boolean;
    answers: SendResult[];
}

export interface WriteLoad {
    histories: KeyHistory[];
    /** Stops sending new keys and resolves once all requests have completed. */
    stop(): Promise<void>;
}

/** Milliseconds after which a caller repeats its key at another entry while the first attempt is still active. */
const repeatDelayMs = 2000;
const maxRepeats = 12;
let loadCount = 0;

/** Starts callers in every region; each sends one key after the other. */
export function startWriteLoad(entries: FleetEntry[], regions: number, callers = 80): WriteLoad {
    const load = loadCount++;
    const histories: KeyHistory[] = [];
    const attempts: Promise<unknown>[] = [];
    let stopped = false;

    const attempt = async (history: KeyHistory, number: number, home: number) => {
        const entry = entries[number % entries.length]!;
        const path = "/certs?workMs=30";
        const sent = sendRequest(entry, { method: "POST", path, key: history.key, home }).then(result => {
            history.answers.push(result);
            return result;
        });
        attempts.push(sent);
        return Promise.race([sent, sleep(repeatDelayMs).then(() => undefined)]);
    };

    const runCaller = async (caller: number) => {
        for (let count = 0; !stopped; count++) {
            const sentOnce = count % 4 === 0;
            const history: KeyHistory = { key: `load${load}-${caller}-${count}`, sentOnce, answers: [] };
            histories.push(history);
            const first = caller + count;
            for (let i = 0; i < (sentOnce ? 1 : maxRepeats); i++) {
                const result = await attempt(history, first + i, caller % regions);
                if (result?.outcome === Outcome.Ran) {
                    // Repeats the completed key at another entry.
                    await attempt(history, first + i + 1, caller % regions);
                    break;
                }
                await sleep(result?.broken === false ? 200 : 20);
            }
        }
    };

    const running = Array.from({ length: callers }, (_, i) => runCaller(i));
    return {
        histories,
        stop: async () => {
            stopped = true;
            await Promise.all(running);
            await Promise.all(attempts);
        },
    };
}

/** Asserts that the results of all keys match the runs on the backend servers, and counts the results by outcome. */
export async function assertAtMostOnce(
    fleet: TestFleet,
    { histories }: WriteLoad,
): Promise<Map<Outcome, number>> {
    const runs = await countRunsByKey(fleet);
    const totals = new Map<Outcome, number>();
    for (const { key, answers } of histories) {
        const count = runs.get(key) ?? 0;
        const description = `${key}: ${answers.map(a => `${a.outcome}/${a.reason}/${a.requestId}`).join(", ")}`;
        assert.ok(count <= 1, `ran ${count} times: ${description}`);
        const ran = answers.filter(({ outcome }) => outcome === Outcome.Ran);
        answers.forEach(({ outcome }) => totals.set(outcome, (totals.get(outcome) ?? 0) + 1));
        if (ran.length > 0) {
            assert.equal(count, 1, `succeeded but did not run: ${description}`);
            assert.equal(new Set(ran.map(({ body }) => body)).size, 1, `responses differ: ${description}`);
            assert.equal(ran[0]!.status, 200, description);
        }
        if (answers.every(({ outcome }) => outcome === Outcome.NotRun)) {
            assert.equal(count, 0, `reported as not run but ran: ${description}`);
        }
    }
    return totals;
}
