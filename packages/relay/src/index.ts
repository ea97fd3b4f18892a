/** HTTP/1.1 reverse proxy between callers and backend servers. */
export * from "./accept-delay.js";
export * from "./body-limits.js";
export * from "./body-memory.js";
export * from "./caller-response.js";
export * from "./caller-server-options.js";
export * from "./head-reader.js";
export * from "./invalid-response-error.js";
export * from "./crash-suspects.js";
export * from "./crash-watch.js";
export * from "./request-identity.js";
export * from "./response-matcher.js";
export * from "./response-end.js";
export * from "./response-parser.js";
export * from "./server-examiner.js";

export * from "./forward-request.js";
export * from "./forwarding-options.js";
export * from "./end-to-end-headers.js";
export * from "./idle-limit.js";
export * from "./relay.js";
export * from "./request-outcome.js";
export * from "./startup-gate.js";
export * from "./upstream-connection.js";
export * from "./upstream-pool.js";
export * from "./wire-protocol.js";
export * from "./workspace-access.js";
