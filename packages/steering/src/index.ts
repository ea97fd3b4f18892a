/** Traffic steering between regions, and the lookup of entry instances for callers. */
export * from "./direct-access.js";
export * from "./ipv4.js";
export * from "./lookup-directory.js";
export * from "./client-block-table.js";
export * from "./parse-plan.js";
export * from "./plan-traffic.js";
export * from "./plan-types.js";
export * from "./planner.js";
export * from "./predict-drain.js";
export * from "./regional-capacity.js";
export * from "./traffic-steering.js";
