/** Guards against shifted traffic above the cap between the loss of a region and its detection. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { useFleet } from "./fleet-fixture.js";
import { findPeakRates, killRegion, regionFleet, shiftCap } from "./region-loss.js";

const getFleet = useFleet(regionFleet);

test(
    "SIGKILL of a region: its callers' requests in other regions stay within the cap in every second",
    { timeout: 60_000 },
    async t => {
        const { shifted, killedAt } = await killRegion(getFleet());
        const peaks = findPeakRates(shifted);
        const unplanned = shifted.filter(({ regionReason }) => regionReason === "home");
        const last = Math.max(...unplanned.map(({ startedAt }) => Date.parse(startedAt)));
        t.diagnostic(
            `${JSON.stringify([...peaks])}; ${unplanned.length} unplanned, the last after ${last - killedAt} ms`,
        );
        assert.ok(peaks.size > 0);
        for (const [pair, peak] of peaks) {
            assert.ok(peak <= shiftCap, `${pair}: ${peak} requests in one second, the cap is ${shiftCap}`);
        }
    },
);
