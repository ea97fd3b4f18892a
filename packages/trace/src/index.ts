/** Records traces of running entries and checks them against the rules that the entries must follow. */
export * from "./check-trace.js";
export * from "./parse-trace.js";
export * from "./trace-event.js";
export * from "./trace-recorder.js";
export * from "./violation.js";
