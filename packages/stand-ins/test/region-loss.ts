/** Simulates the loss of a region under load and collects the results of its callers and of the other regions. */
import { Outcome } from "@waxwingdale/core";
import { fetchOperatorJson, readBackendState } from "@waxwingdale/stand-ins";
import type { BackendState, FleetEntry } from "@waxwingdale/stand-ins";
import { countRunsByKey, fleetKey, sendAtRate, sleep } from "./fleet-fixture.js";
import type { SendResult, TestRequest, TestFleet } from "./fleet-fixture.js";

export const shiftCap = 20;
export const regions = ["east", "north", "west"];
export const regionFleet = { regions, entriesPerRegion: 2, servers: 3, workMs: 20, shiftCap };
const lostRegion = "west";
const ratePerSecond = 240;
/** Seconds of load before the kill. */
const secondsBeforeKill = 1.5;

/** Record of a request at the entry that forwarded it. */
export interface RequestRecord {
    startedAt: string;
    home: string;
    region: string;
    regionReason?: string;
    outcome: Outcome;
}

export interface RegionLossResult {
    killedAt: number;
    /** Results of the lost region's callers after the kill. */
    lostRegionResults: SendResult[];
    /** Results of the other regions' callers after the kill. */
    otherRegionResults: SendResult[];
    /** Number of runs by key, on the remaining backend servers. */
    runs: Map<string, number>;
    states: BackendState[];
    /** Requests that ran outside their home region. */
    shifted: RequestRecord[];
}

/** Kills all processes of a region while callers of all regions send requests. */
export async function killRegion(fleet: TestFleet): Promise<RegionLossResult> {
    const isLost = ({ id }: { id: string }) => id.includes(lostRegion);
    const remainingEntries = fleet.entries.filter(entry => !isLost(entry));
    const backends = fleet.backends.filter(backend => !isLost(backend));
    // Callers use the entries of their home region, as a lookup returns them; callers of the lost region use any entry.
    const chooseEntry = (i: number, entries: FleetEntry[]) => {
        const localEntries = entries.filter(({ region }) => region === regions[i % 3]);
        const candidates = localEntries.length > 0 ? localEntries : entries;
        return candidates[Math.floor(i / 3) % candidates.length]!;
    };
    const createRequest = (i: number): TestRequest => ({
        home: i % 3,
        ...(i % 5 === 0 ? { method: "POST", path: "/certs", key: `region-${i}` } : { path: `/items/${i}` }),
    });
    const before = sendAtRate(
        i => chooseEntry(i, fleet.entries),
        ratePerSecond,
        secondsBeforeKill,
        createRequest,
    );
    await sleep(secondsBeforeKill * 1000);
    [...fleet.entries, ...fleet.backends]
        .filter(isLost)
        .forEach(({ process }) => process.child.kill("SIGKILL"));
    const killedAt = Date.now();
    // Callers of the lost region immediately use the next addresses of their lookup response.
    const offset = ratePerSecond * secondsBeforeKill;
    const results = await sendAtRate(
        i => chooseEntry(i, remainingEntries),
        ratePerSecond,
        15,
        i => createRequest(i + offset),
    );
    await before;
    const recordLists = await Promise.all(
        remainingEntries.map(({ operators }) =>
            fetchOperatorJson<RequestRecord[]>(operators, "/requests?limit=5000", fleetKey),
        ),
    );
    const states = await Promise.all(backends.map(readBackendState));
    return {
        killedAt,
        lostRegionResults: results.filter(({ home }) => regions[home] === lostRegion),
        otherRegionResults: results.filter(({ home }) => regions[home] !== lostRegion),
        runs: await countRunsByKey({ ...fleet, states: () => Promise.resolve(states) }),
        states,
        shifted: recordLists
            .flatMap(list => list ?? [])
            .filter(({ home, region, outcome }) => home !== region && outcome === Outcome.Ran),
    };
}

/** Returns the peak number of requests within one second for each pair of regions. */
export function findPeakRates(records: RequestRecord[]): Map<string, number> {
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

/** Formats the distinct outcomes with their reasons and home regions. */
export function formatResults(results: SendResult[]): string {
    return [...new Set(results.map(({ outcome, reason, home }) => `${home}/${outcome}/${reason}`))].join(" ");
}
