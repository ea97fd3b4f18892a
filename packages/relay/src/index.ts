/** Carries requests between callers and backend servers over HTTP/1.1. */
export * from "./answer-parser.js";
export * from "./caller-answer.js";
export * from "./carry-request.js";
export * from "./forwarded-headers.js";
export * from "./idle-limit.js";
export * from "./relay.js";
export * from "./request-outcome.js";
export * from "./start-gate.js";
export * from "./upstream-connection.js";
export * from "./upstream-pool.js";
export * from "./wire-protocol.js";
