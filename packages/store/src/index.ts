/** Clients of the platform's object store. */
export * from "./http-object-store.js";
export * from "./memory-object-store.js";
