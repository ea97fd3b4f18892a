/** Fleet of one region in which the slots of the backend servers are the bottleneck. */
import assert from "node:assert/strict";
import type { SendResult } from "./fleet-fixture.js";
import { useFleet } from "./fleet-fixture.js";

export const testOptions = { timeout: 40_000 };
export const servers = 4;
export const slots = 3;
export const workMs = 50;
/** Requests per second that the slots of the region can serve. */
export const capacityPerSecond = (servers * slots * 1000) / workMs;
export const getFleet = useFleet({ regions: ["east"], entriesPerRegion: 3, servers, workMs });

/** Asserts that no server exceeded its slots or had to reject a request. */
export async function assertWithinSlots(): Promise<void> {
    for (const state of await getFleet().states()) {
        const { id, peakBusy, refused } = state as typeof state & { refused: number };
        assert.ok(peakBusy <= slots, `${id} ran ${peakBusy} concurrent requests`);
        assert.equal(refused, 0, `${id} rejected ${refused} requests`);
    }
}

export const pickEntry = (i: number) => {
    const { entries } = getFleet();
    return entries[i % entries.length]!;
};

export const formatOutcomes = (results: SendResult[]) => {
    const counts: Record<string, number> = {};
    results.forEach(({ outcome, reason }) => {
        const name = `${outcome}/${reason}`;
        counts[name] = (counts[name] ?? 0) + 1;
    });
    return JSON.stringify(counts);
};
