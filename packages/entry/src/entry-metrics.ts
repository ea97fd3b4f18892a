/** Prometheus metrics of an entry. */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from "prom-client";
import type { CarrierMetrics } from "@waxwingdale/carrier";
import { addGauge } from "@waxwingdale/core";
import type { Outcome, ReasonCode, RequestClass } from "@waxwingdale/core";

/** Upper bounds of the latency buckets, in seconds. */
const latencyBuckets = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30];

export interface EntryMetrics extends CarrierMetrics {
    registry: Registry;
    recordLookup(): void;
    /** Adds a gauge whose value is read when the metrics are collected. */
    addGauge(name: string, help: string, read: () => number): void;
    /** Adds a gauge with one label. Its values, by label value, are read when the metrics are collected. */
    addLabeledGauge(name: string, help: string, label: string, read: () => Record<string, number>): void;
}

export function createEntryMetrics(): EntryMetrics {
    const registry = new Registry();
    collectDefaultMetrics({ register: registry });
    const requests = new Counter({
        name: "waxwingdale_requests_total",
        help: "Requests by service, class, outcome and reason",
        labelNames: ["service", "class", "outcome", "reason"],
        registers: [registry],
    });
    const latency = new Histogram({
        name: "waxwingdale_request_seconds",
        help: "Time from the head of a request to the end of its answer",
        labelNames: ["service", "class"],
        buckets: latencyBuckets,
        registers: [registry],
    });
    const retries = new Counter({
        name: "waxwingdale_retries_total",
        help: "Retries by service",
        labelNames: ["service"],
        registers: [registry],
    });
    const lookups = new Counter({
        name: "waxwingdale_lookups_total",
        help: "Look-ups answered",
        registers: [registry],
    });
    return {
        registry,
        recordRequest: (
            service: string,
            requestClass: RequestClass,
            outcome: Outcome,
            reason: ReasonCode | undefined,
            ms: number,
        ) => {
            requests.inc({ service, class: requestClass, outcome, reason: reason ?? "" });
            latency.observe({ service, class: requestClass }, ms / 1000);
        },
        recordRetry: service => retries.inc({ service }),
        recordLookup: () => lookups.inc(),
        addGauge: (name, help, read) => addGauge(registry, name, help, read),
        addLabeledGauge: (name, help, label, read) => {
            new Gauge({
                name,
                help,
                labelNames: [label],
                registers: [registry],
                collect() {
                    this.reset();
                    for (const [value, count] of Object.entries(read())) {
                        this.set({ [label]: value }, count);
                    }
                },
            });
        },
    };
}
