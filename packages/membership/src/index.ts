/** Gossip membership: which instances are live, leaving or dead. */
export * from "./gossip-message.js";
export * from "./member-row.js";
export * from "./member-table.js";
export * from "./membership-limits.js";
export * from "./membership.js";
export * from "./witness.js";
