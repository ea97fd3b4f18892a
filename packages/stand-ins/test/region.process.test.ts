/** A region dies under load. Each test guards against a doubled request or an overload of the regions that are left. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Outcome } from "@waxwingdale/core";
import { askOperator, readBackendState } from "@waxwingdale/stand-ins";
import type { FleetEntry } from "@waxwingdale/stand-ins";
import { countKeys, fleetKey, sendAtRate, sleep, useFleet } from "./fleet-fixture.js";
import type { Answer, Sending } from "./fleet-fixture.js";

const shiftCap = 20;
const slots = 3;
const regions = ["east", "north", "west"];
const dead = "west";
const getFleet = useFleet({ regions, entriesPerRegion: 2, servers: 3, workMs: 20, shiftCap });

interface ShownRecord {
    startedAt: string;
    home: string;
    region: string;
    outcome: Outcome;
}

/** Highest number of times in any window of one second. */
function findPeakRate(times: number[]): number {
    const sorted = [...times].sort((a, b) => a - b);
    let first = 0;
    let peak = 0;
    sorted.forEach((time, i) => {
        while (sorted[first]! <= time - 1000) {
            first++;
        }
        peak = Math.max(peak, i - first + 1);
    });
    return peak;
}

const show = (answers: Answer[]) =>
    [...new Set(answers.map(({ outcome, reason, home }) => `${home}/${outcome}/${reason}`))].join(" ");

test(
    "SIGKILL of a region: its callers get answers elsewhere under the cap, other regions go on",
    { timeout: 60_000 },
    async t => {
        const fleet = getFleet();
        const left = fleet.entries.filter(({ region }) => region !== dead);
        // Callers use the entries of their home region, as the look-up tells them; the dead region's callers use any.
        const choose = (i: number, entries: FleetEntry[]) => {
            const near = entries.filter(({ region }) => region === regions[i % 3]);
            const usable = near.length > 0 ? near : entries;
            return usable[Math.floor(i / 3) % usable.length]!;
        };
        const create = (i: number): Sending => ({
            home: i % 3,
            ...(i % 5 === 0
                ? { method: "POST", path: "/certs", key: `region-${i}` }
                : { path: `/items/${i}` }),
        });
        const load = sendAtRate(i => choose(i, fleet.entries), 240, 3, create);
        const killed = [...fleet.entries, ...fleet.backends].filter(({ id }) => id.includes(dead));
        await sleep(1500);
        killed.forEach(({ process }) => process.child.kill("SIGKILL"));
        const killedAt = Date.now();
        const first = await load;
        // Every caller looks up again within the life of a look-up answer, so the dead addresses get no more requests.
        const later = await sendAtRate(
            i => choose(i, left),
            240,
            15,
            i => create(i + 99_999),
        );
        const runs = await countKeys({ ...fleet, states: () => readLeft() });
        for (const count of runs.values()) {
            assert.equal(count, 1);
        }
        const fromDead = later.filter(({ home }) => home === 2);
        const others = later.filter(({ home }) => home !== 2);
        t.diagnostic(
            `other regions: ${show(others)}; the dead one: ${show(fromDead)}; at the kill: ${show(first)}`,
        );
        const shifted = fromDead.filter(({ outcome }) => outcome === Outcome.Ran);
        t.diagnostic(`${shifted.length} of ${fromDead.length} requests of the dead region were answered`);
        assert.ok(
            others.every(({ outcome }) => outcome === Outcome.Ran),
            show(others),
        );
        assert.ok(
            shifted.some(({ sentAt }) => sentAt < killedAt + 12_000),
            show(fromDead),
        );
        assert.ok(
            fromDead.slice(-200).some(({ outcome }) => outcome === Outcome.Ran),
            show(fromDead),
        );
        assert.ok(fromDead.every(({ broken }) => !broken));
        await assertUnderCap(t);
        for (const { id, peakBusy } of await readLeft()) {
            assert.ok(peakBusy <= slots, `${id} ran ${peakBusy} requests at once`);
        }
    },
);

async function readLeft() {
    return Promise.all(
        getFleet()
            .backends.filter(({ id }) => !id.includes(dead))
            .map(readBackendState),
    );
}

/** Counts the shifted requests of each pair of regions in every second, as the entries recorded them. */
async function assertUnderCap(t: { diagnostic(text: string): void }): Promise<void> {
    const left = getFleet().entries.filter(({ region }) => region !== dead);
    const lists = await Promise.all(
        left.map(({ operators }) => askOperator<ShownRecord[]>(operators, "/requests?limit=5000", fleetKey)),
    );
    const pairs = new Map<string, number[]>();
    for (const { home, region, outcome, startedAt } of lists.flatMap(list => list!)) {
        if (home !== region && outcome === Outcome.Ran) {
            const pair = `${home} to ${region}`;
            pairs.set(pair, [...(pairs.get(pair) ?? []), Date.parse(startedAt)]);
        }
    }
    for (const [pair, times] of pairs) {
        const peak = findPeakRate(times);
        t.diagnostic(`${pair}: ${times.length} requests, at most ${peak} in a second`);
        assert.ok(peak <= shiftCap, `${pair}: ${peak} requests in a second, the cap is ${shiftCap}`);
    }
}
