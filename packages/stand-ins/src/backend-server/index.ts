/** Stand-in backend server. */
export * from "./backend-behavior.js";
export * from "./pattern.js";
export * from "./run-record.js";
export * from "./start-backend-server.js";
