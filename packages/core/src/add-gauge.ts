/** Gauges whose value is read when the metrics are collected. */
import { Gauge } from "prom-client";
import type { Registry } from "prom-client";

/** Adds a gauge to a registry. */
export function addGauge(registry: Registry, name: string, help: string, read: () => number): void {
    new Gauge({
        name,
        help,
        registers: [registry],
        collect() {
            this.set(read());
        },
    });
}
