/** Gauges of an entry's components, read when the metrics are collected. */
import { tokens } from "./entry-tokens.js";
import { getNotReadyReason } from "./entry-state.js";
import type { Resolve } from "@waxwingdale/core";

export function addEntryGauges(resolve: Resolve): void {
    const metrics = resolve(tokens.metrics);
    metrics.addGauge("waxwingdale_in_flight", "Requests that are being carried", () =>
        resolve(tokens.carrier).inFlight(),
    );
    metrics.addGauge("waxwingdale_ready", "1 if the entry is ready", () =>
        getNotReadyReason(resolve) === undefined ? 1 : 0,
    );
    metrics.addGauge(
        "waxwingdale_generation",
        "Generation of the manifest in force",
        () => resolve(tokens.config).status().generation,
    );
    metrics.addGauge(
        "waxwingdale_instance_list_age_seconds",
        "Age of the list of backend servers",
        () => (resolve(tokens.backends).listAgeMs() ?? 0) / 1000,
    );
    metrics.addGauge(
        "waxwingdale_outcomes_waiting",
        "Outcomes of idempotency keys that the store does not have yet",
        () => resolve(tokens.claims).state().unacknowledged,
    );
    metrics.addLabeledGauge("waxwingdale_members", "Known entries by status", "status", () =>
        countBy(
            resolve(tokens.membership)
                .members()
                .map(({ status }) => status),
        ),
    );
    metrics.addLabeledGauge("waxwingdale_slots", "Slots of backend servers by state", "state", () =>
        countBy(
            resolve(tokens.broker)
                .state()
                .slots.map(({ use }) => use),
        ),
    );
}

function countBy(values: readonly string[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const value of values) {
        counts[value] = (counts[value] ?? 0) + 1;
    }
    return counts;
}
