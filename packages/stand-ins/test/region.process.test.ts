/** Guards against requests that run twice and against overload of the remaining regions after the loss of a region. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Outcome, ReasonCode, SteeringReason } from "@waxwingdale/core";
import { useFleet } from "./fleet-fixture.js";
import type { SendResult } from "./fleet-fixture.js";
import { findPeakRates, formatResults, killRegion, regionFleet, shiftCap } from "./region-loss.js";

const slots = 3;
const getFleet = useFleet(regionFleet);

test(
    "SIGKILL of a region: its callers are served elsewhere, planned shifts stay within the cap, others are unaffected",
    { timeout: 60_000 },
    async t => {
        const { killedAt, lostRegionResults, otherRegionResults, runs, states, shifted } =
            await killRegion(getFleet());
        t.diagnostic(
            `other regions: ${formatResults(otherRegionResults)}; lost region: ${formatResults(lostRegionResults)}`,
        );
        assert.ok([...runs.values()].every(count => count === 1));
        assert.ok(
            otherRegionResults.every(({ outcome }) => outcome === Outcome.Ran),
            formatResults(otherRegionResults),
        );
        const ran = lostRegionResults.filter(({ outcome }) => outcome === Outcome.Ran);
        t.diagnostic(`${ran.length} of ${lostRegionResults.length} requests of the lost region succeeded`);
        assert.ok(ran.some(({ sentAt }) => sentAt < killedAt + 12_000));
        assert.ok(lostRegionResults.slice(-200).some(({ outcome }) => outcome === Outcome.Ran));
        const failed = lostRegionResults.filter(({ outcome }) => outcome !== Outcome.Ran);
        // A request that had just been sent to a process of the region when it was killed may have run.
        const isInterrupted = ({ outcome, reason, sentAt }: SendResult) =>
            outcome === Outcome.Unknown &&
            reason === (ReasonCode.BackendConnectionLost as string) &&
            sentAt < killedAt + 1000;
        assert.ok(
            failed
                .filter(result => !isInterrupted(result))
                .every(({ outcome, retryAfter }) => outcome === Outcome.NotRun && Number(retryAfter) > 0),
            formatResults(failed),
        );
        const planned = shifted.filter(({ regionReason }) => regionReason === SteeringReason.Plan);
        const peaks = findPeakRates(planned);
        t.diagnostic(JSON.stringify([...peaks]));
        assert.ok(peaks.size > 0, "the plan shifted no request");
        for (const [pair, peak] of peaks) {
            assert.ok(peak <= shiftCap, `${pair}: ${peak} requests in one second, the cap is ${shiftCap}`);
        }
        for (const { id, peakBusy } of states) {
            assert.ok(peakBusy <= slots, `${id} ran ${peakBusy} concurrent requests`);
        }
    },
);
