/** Gauges whose value is read at collection time. */
import { Gauge } from "prom-client";
import type { Registry } from "prom-client";

/** Registers a gauge that calls `read` for its value at each collection. */
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
