/** Benchmarks, run by the binary `waxwingdale-bench`. */
export * from "./bench-options.js";
