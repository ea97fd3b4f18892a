/** The limiter: slots of backend servers, admission, links between regions, and retries. */
export * from "./broker-counters.js";
export * from "./limits-config.js";
export * from "./link-shaper.js";
export * from "./retry-budget.js";
export * from "./slot-broker.js";
