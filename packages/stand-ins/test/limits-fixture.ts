/** One region of entries and backend servers whose slots are the limit. */
import assert from "node:assert/strict";
import type { Answer } from "./fleet-fixture.js";
import { useFleet } from "./fleet-fixture.js";

export const limit = { timeout: 40_000 };
export const servers = 4;
export const slots = 3;
export const workMs = 50;
/** Requests per second that the slots of the region carry. */
export const capacity = (servers * slots * 1000) / workMs;
export const getFleet = useFleet({ regions: ["east"], entriesPerRegion: 3, servers, workMs });

/** No server runs more than its slots, and none has to refuse for lack of slots. */
export async function assertWithinSlots(): Promise<void> {
    for (const state of await getFleet().states()) {
        const { id, peakBusy, refused } = state as typeof state & { refused: number };
        assert.ok(peakBusy <= slots, `${id} ran ${peakBusy} requests at once`);
        assert.equal(refused, 0, `${id} refused ${refused} requests`);
    }
}

export const pick = (i: number) => {
    const { entries } = getFleet();
    return entries[i % entries.length]!;
};

export const count = (answers: Answer[]) => {
    const counts: Record<string, number> = {};
    answers.forEach(({ outcome, reason }) => {
        const name = `${outcome}/${reason}`;
        counts[name] = (counts[name] ?? 0) + 1;
    });
    return JSON.stringify(counts);
};
