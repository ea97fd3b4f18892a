/** Load driver: callers that send a deployment's mix of requests. */
export * from "./caller.js";
export * from "./run-load.js";
export * from "./workload.js";
