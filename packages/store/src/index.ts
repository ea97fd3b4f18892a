/** Clients of the platform's object store. */
export * from "./memory-object-store.js";
