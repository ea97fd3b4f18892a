/** Traces of running entries: their format, their recorder, and their replay against the stated rules. */
export * from "./check-trace.js";
export * from "./parse-trace.js";
export * from "./trace-event.js";
export * from "./trace-recorder.js";
export * from "./violation.js";
