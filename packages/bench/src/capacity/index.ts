/** Placeholder until the capacity benchmark is written. */
import type { BenchOptions } from "../bench-options.js";

export function runCapacityBench(_options: BenchOptions): Promise<void> {
    return Promise.reject(new Error("the capacity benchmark is not written yet"));
}
