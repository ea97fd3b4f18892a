/** Forwards requests from callers to backend servers and to entries of other regions. */
export * from "./carrier.js";
export * from "./carrier-options.js";
export * from "./connection-pools.js";
export * from "./request-record.js";
export * from "./route-table.js";
