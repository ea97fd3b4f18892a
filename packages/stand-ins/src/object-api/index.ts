/** Stand-in for the platform's object API. */
export * from "./object-api-faults.js";
export * from "./object-api-server.js";
