/** Backend server slots, admission control, link shaping between regions, and retry budgets. */
export * from "./broker-counters.js";
export * from "./limits-config.js";
export * from "./link-shaper.js";
export * from "./retry-budget.js";
export * from "./slot-broker.js";
