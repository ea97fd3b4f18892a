/** Placeholder until the carry benchmark is written. */
import type { BenchOptions } from "../bench-options.js";

export function runCarryBench(_options: BenchOptions): Promise<void> {
    return Promise.reject(new Error("the carry benchmark is not written yet"));
}
