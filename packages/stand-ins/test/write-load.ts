/** Callers of the non-idempotent route that repeat their keys at other entries, and the check of what they were told. */
import assert from "node:assert/strict";
import { Outcome } from "@waxwingdale/core";
import type { FleetEntry } from "@waxwingdale/stand-ins";
import { countKeys, send, sleep } from "./fleet-fixture.js";
import type { Answer, TestFleet } from "./fleet-fixture.js";

export interface KeyHistory {
    key: string;
    /** The caller sends the key once only, so its first answer is final. */
    once: boolean;
    answers: Answer[];
}

export interface WriteLoad {
    histories: KeyHistory[];
    /** Starts no new keys and resolves when every answer is in. */
    stop(): Promise<void>;
}

/** Time in milliseconds after which a caller repeats its key elsewhere while the first attempt goes on. */
const impatienceMs = 2000;
const maxRepeats = 12;
let loads = 0;

/** Starts callers of every region; each sends one key after the other. */
export function startWrites(entries: FleetEntry[], regions: number, callers = 80): WriteLoad {
    const load = loads++;
    const histories: KeyHistory[] = [];
    const attempts: Promise<unknown>[] = [];
    let stopped = false;

    const attempt = async (history: KeyHistory, number: number, home: number) => {
        const entry = entries[number % entries.length]!;
        const path = "/certs?workMs=30";
        const sent = send(entry, { method: "POST", path, key: history.key, home }).then(answer => {
            history.answers.push(answer);
            return answer;
        });
        attempts.push(sent);
        return Promise.race([sent, sleep(impatienceMs).then(() => undefined)]);
    };

    const runCaller = async (caller: number) => {
        for (let count = 0; !stopped; count++) {
            const once = count % 4 === 0;
            const history: KeyHistory = { key: `load${load}-${caller}-${count}`, once, answers: [] };
            histories.push(history);
            const first = caller + count;
            for (let i = 0; i < (once ? 1 : maxRepeats); i++) {
                const answer = await attempt(history, first + i, caller % regions);
                if (answer?.outcome === Outcome.Ran) {
                    // The repeat of a finished key goes to another entry.
                    await attempt(history, first + i + 1, caller % regions);
                    break;
                }
                await sleep(answer?.broken === false ? 200 : 20);
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

/** Compares the answers of all keys with the runs on the backend servers. */
export async function checkAtMostOnce(
    fleet: TestFleet,
    { histories }: WriteLoad,
): Promise<Map<Outcome, number>> {
    const runs = await countKeys(fleet);
    const totals = new Map<Outcome, number>();
    for (const { key, answers } of histories) {
        const count = runs.get(key) ?? 0;
        const shown = `${key}: ${answers.map(a => `${a.outcome}/${a.reason}/${a.requestId}`).join(", ")}`;
        assert.ok(count <= 1, `ran ${count} times: ${shown}`);
        const ran = answers.filter(({ outcome }) => outcome === Outcome.Ran);
        answers.forEach(({ outcome }) => totals.set(outcome, (totals.get(outcome) ?? 0) + 1));
        if (ran.length > 0) {
            assert.equal(count, 1, `answered and did not run: ${shown}`);
            assert.equal(new Set(ran.map(({ body }) => body)).size, 1, `answers differ: ${shown}`);
            assert.equal(ran[0]!.status, 200, shown);
        }
        if (answers.every(({ outcome }) => outcome === Outcome.NotRun)) {
            assert.equal(count, 0, `told not run and ran: ${shown}`);
        }
    }
    return totals;
}
