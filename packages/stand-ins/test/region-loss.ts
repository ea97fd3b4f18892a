/** The loss of a region under load, and what its callers and the other regions saw. */
import { Outcome } from "@waxwingdale/core";
import { askOperator, readBackendState } from "@waxwingdale/stand-ins";
import type { BackendState, FleetEntry } from "@waxwingdale/stand-ins";
import { countKeys, fleetKey, sendAtRate, sleep } from "./fleet-fixture.js";
import type { Answer, Sending, TestFleet } from "./fleet-fixture.js";

export const shiftCap = 20;
export const regions = ["east", "north", "west"];
export const regionFleet = { regions, entriesPerRegion: 2, servers: 3, workMs: 20, shiftCap };
const lost = "west";
const ratePerSecond = 240;
/** Time in seconds until the kill. */
const secondsBefore = 1.5;

/** One request as the entry that carried it recorded it. */
export interface ShownRecord {
    startedAt: string;
    home: string;
    region: string;
    regionReason?: string;
    outcome: Outcome;
}

export interface RegionLoss {
    killedAt: number;
    /** Answers to the callers of the lost region after the kill. */
    fromLost: Answer[];
    /** Answers to the callers of the other regions after the kill. */
    others: Answer[];
    runs: Map<string, number>;
    states: BackendState[];
    /** Requests that ran in another region than their home region. */
    shifted: ShownRecord[];
}

/** Kills all processes of a region while callers of all regions send. */
export async function loseRegion(fleet: TestFleet): Promise<RegionLoss> {
    const isLost = ({ id }: { id: string }) => id.includes(lost);
    const left = fleet.entries.filter(entry => !isLost(entry));
    const backends = fleet.backends.filter(backend => !isLost(backend));
    // Callers use the entries of their home region, as the look-up tells them; the lost region's callers use any.
    const choose = (i: number, entries: FleetEntry[]) => {
        const near = entries.filter(({ region }) => region === regions[i % 3]);
        const usable = near.length > 0 ? near : entries;
        return usable[Math.floor(i / 3) % usable.length]!;
    };
    const create = (i: number): Sending => ({
        home: i % 3,
        ...(i % 5 === 0 ? { method: "POST", path: "/certs", key: `region-${i}` } : { path: `/items/${i}` }),
    });
    const before = sendAtRate(i => choose(i, fleet.entries), ratePerSecond, secondsBefore, create);
    await sleep(secondsBefore * 1000);
    [...fleet.entries, ...fleet.backends]
        .filter(isLost)
        .forEach(({ process }) => process.child.kill("SIGKILL"));
    const killedAt = Date.now();
    // Callers of the lost region use the next addresses of their look-up answers at once.
    const offset = ratePerSecond * secondsBefore;
    const later = await sendAtRate(
        i => choose(i, left),
        ratePerSecond,
        15,
        i => create(i + offset),
    );
    await before;
    const lists = await Promise.all(
        left.map(({ operators }) => askOperator<ShownRecord[]>(operators, "/requests?limit=5000", fleetKey)),
    );
    const states = await Promise.all(backends.map(readBackendState));
    return {
        killedAt,
        fromLost: later.filter(({ home }) => regions[home] === lost),
        others: later.filter(({ home }) => regions[home] !== lost),
        runs: await countKeys({ ...fleet, states: () => Promise.resolve(states) }),
        states,
        shifted: lists
            .flatMap(list => list ?? [])
            .filter(({ home, region, outcome }) => home !== region && outcome === Outcome.Ran),
    };
}

/** Highest number of requests of each pair of regions in any window of one second. */
export function findPeakRates(records: ShownRecord[]): Map<string, number> {
    const pairs = new Map<string, number[]>();
    for (const { home, region, startedAt } of records) {
        const pair = `${home} to ${region}`;
        pairs.set(pair, [...(pairs.get(pair) ?? []), Date.parse(startedAt)]);
    }
    return new Map([...pairs].map(([pair, times]) => [pair, findPeakRate(times.sort((a, b) => a - b))]));
}

function findPeakRate(sorted: number[]): number {
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

/** Results of answers, each kind once. */
export function listResults(answers: Answer[]): string {
    return [...new Set(answers.map(({ outcome, reason, home }) => `${home}/${outcome}/${reason}`))].join(" ");
}
