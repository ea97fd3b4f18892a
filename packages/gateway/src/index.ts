/** The gateway daemon. */
export * from "./config-in-force.js";
export * from "./instance-directory.js";
export * from "./run-gateway.js";
export * from "./settings.js";
