/** Stand-ins for the systems around an entry instance, and the load driver. No production package imports them. */
export * from "./backend-server/index.js";
export * from "./launcher/index.js";
export * from "./load/index.js";
export * from "./object-api/index.js";
