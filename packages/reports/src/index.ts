/** What entries measure for the planner, and how the planner's entry collects it. */
export * from "./entry-report.js";
export * from "./rate-window.js";
export * from "./report-collector.js";
export * from "./report-meter.js";
