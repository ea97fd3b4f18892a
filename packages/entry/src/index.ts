/** The entry daemon. */
export * from "./run-entry.js";
export * from "./settings.js";
