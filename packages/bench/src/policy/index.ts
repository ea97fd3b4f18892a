/** Placeholder until the policy benchmark is written. */
import type { BenchOptions } from "../bench-options.js";

export function runPolicyBench(_options: BenchOptions): Promise<void> {
    return Promise.reject(new Error("the policy benchmark is not written yet"));
}
