/** Latency and throughput of an entry, compared with direct requests to the same backend servers. */
import type { BenchOptions } from "../bench-options.js";
import { startBenchFleet } from "./bench-fleet.js";
import { cases } from "./cases.js";
import type { Check, Measurements } from "./cases.js";
import { startDriverPool } from "./driver-pool.js";

const driverCount = 2;

/** Runs all cases once in each round, so that a temporary load of the machine affects all of them. */
export async function runCarryBench(options: BenchOptions): Promise<void> {
    const chosen = cases.filter(({ name }) => options.only === undefined || name.includes(options.only));
    const fleet = await startBenchFleet();
    const driverPool = startDriverPool(driverCount);
    const rounds = new Map<string, Measurements[]>(chosen.map(({ name }) => [name, []]));
    try {
        for (const item of chosen) {
            await item.warmUp({ fleet, driverPool, seed: options.seed });
        }
        for (let round = 0; round < options.rounds; round++) {
            for (const item of chosen) {
                const measured = await item.measure({
                    fleet,
                    driverPool,
                    seed: options.seed + round,
                });
                rounds.get(item.name)!.push(measured);
                write(`round ${round + 1} ${item.name}: ${formatMeasurements(measured)}`);
            }
        }
    } finally {
        driverPool.stop();
        await fleet.stop();
    }
    write("");
    write(
        `${"case".padEnd(10)} ${"measure".padEnd(40)} ${"target".padEnd(14)} ${"measured".padEnd(28)} verdict`,
    );
    for (const { name, checks } of chosen) {
        checks.forEach(check => printCheck(name, check, rounds.get(name)!));
    }
}

function printCheck(name: string, check: Check, rounds: Measurements[]): void {
    const values = rounds.map(round => round[check.measure]!);
    const verdict = check.isMet === undefined ? "" : check.isMet(median(values)) ? "met" : "missed";
    write(
        `${name.padEnd(10)} ${check.measure.padEnd(40)} ${check.target.padEnd(14)} ${formatSpread(values).padEnd(28)} ${verdict}`,
    );
}

function median(values: readonly number[]): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length / 2)]!;
}

function formatSpread(values: readonly number[]): string {
    return `${format(median(values))} (${format(Math.min(...values))} to ${format(Math.max(...values))})`;
}

function formatMeasurements(measured: Measurements): string {
    return Object.entries(measured)
        .map(([key, value]) => `${key} ${format(value)}`)
        .join(", ");
}

function format(value: number): string {
    return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}

function write(line: string): void {
    process.stdout.write(`${line}\n`);
}
