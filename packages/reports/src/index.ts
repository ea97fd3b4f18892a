/** Load and capacity reports of entries, and their collection by the planner. */
export * from "./entry-report.js";
export * from "./rate-window.js";
export * from "./report-collector.js";
export * from "./report-meter.js";
