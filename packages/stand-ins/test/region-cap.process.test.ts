/** A region dies under load. The test guards against traffic above the cap before the death of the region is known. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { useFleet } from "./fleet-fixture.js";
import { findPeakRates, loseRegion, regionFleet, shiftCap } from "./region-loss.js";

const getFleet = useFleet(regionFleet);

test(
    "SIGKILL of a region: its callers' requests stay under the cap in every second",
    { timeout: 60_000 },
    async t => {
        const { shifted, killedAt } = await loseRegion(getFleet());
        const peaks = findPeakRates(shifted);
        const unplanned = shifted.filter(({ regionReason }) => regionReason === "home");
        const last = Math.max(...unplanned.map(({ startedAt }) => Date.parse(startedAt)));
        t.diagnostic(
            `${JSON.stringify([...peaks])}; ${unplanned.length} unmetered until ${last - killedAt} ms`,
        );
        assert.ok(peaks.size > 0);
        for (const [pair, peak] of peaks) {
            assert.ok(peak <= shiftCap, `${pair}: ${peak} requests in a second, the cap is ${shiftCap}`);
        }
    },
);
