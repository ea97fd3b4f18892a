/** Load driver: simulated callers that send the request mix of a deployment. */
export * from "./caller.js";
export * from "./run-load.js";
export * from "./workload.js";
