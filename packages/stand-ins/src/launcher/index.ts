/** Launches fleets of separate processes for the demo, the benchmarks and process-level tests. */
export * from "./child-process.js";
export * from "./launch-fleet.js";
export * from "./run-checks.js";
