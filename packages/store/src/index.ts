/** Clients of the platform's object store, and the leases, fenced writes and watches built on it. */
export * from "./backoff.js";
export * from "./fenced-writer.js";
export * from "./http-object-store.js";
export * from "./lease.js";
export * from "./memory-object-store.js";
export * from "./own-object.js";
export type { RefreshOptions } from "./refresh-schedule.js";
export * from "./relayed-store.js";
export * from "./watch-prefix.js";
