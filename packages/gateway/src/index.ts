/** The gateway daemon. */
export * from "./config-check.js";
export * from "./instance-directory.js";
export * from "./run-gateway.js";
export * from "./settings-source.js";
export * from "./settings.js";
export * from "./store-view.js";
export * from "./traffic-document.js";
