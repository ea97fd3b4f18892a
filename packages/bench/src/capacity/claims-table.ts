/** Result table of the claims measurement. */
import type { BenchOptions } from "../bench-options.js";
import type { CapacityFigure, CapacityTable } from "./capacity-table.js";
import { measureClaims } from "./claims.js";
import type { ClaimsMeasurement } from "./claims.js";

/** Number of shards in the example manifests. */
const shards = 8;
/** Shorter than the default, to keep several rounds within a minute. */
const seconds = 2;

interface Column {
    name: string;
    unit: string;
    read: (measured: ClaimsMeasurement) => number;
}

const columns: Column[] = [
    { name: "granted", unit: "1/s", read: measured => measured.grantedPerSecond },
    { name: "rejected", unit: "claims", read: measured => measured.refused },
    { name: "store writes", unit: "1/s", read: measured => measured.writesPerSecond },
    { name: "median latency", unit: "ms", read: measured => measured.latencyMs.median },
    { name: "p99 latency", unit: "ms", read: measured => measured.latencyMs.p99 },
    { name: "CPU time", unit: "µs/claim", read: measured => measured.cpuMicrosecondsPerClaim },
    { name: "record size in the head object", unit: "bytes", read: measured => measured.headBytesPerRecord },
];

/** Measures claims at increasing rates. */
export async function measureClaimRates({ rounds, seed }: BenchOptions): Promise<CapacityTable> {
    const results: ClaimsMeasurement[][] = [];
    for (let round = 0; round < rounds; round++) {
        results.push(await measureClaims({ seconds, shards, seed: seed + round }));
    }
    const rows = results[0]!.map(({ offeredPerSecond }, i) => ({
        size: String(offeredPerSecond),
        figures: columns.map(({ name, unit, read }): CapacityFigure => ({
            name,
            unit,
            samples: results.map(rates => read(rates[i]!)),
        })),
    }));
    return { title: "Claims: one owner, store with 3 ms delay", sizeName: "claims per second", rows };
}
