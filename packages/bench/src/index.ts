/** Benchmarks; the binary `waxwingdale-bench` runs them. */
export * from "./bench-options.js";
