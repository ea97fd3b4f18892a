/** The backend servers of the local region: their addresses, and which of them are draining. */
export * from "./backend-directory.js";
export * from "./drain-marks.js";
export * from "./health-probe.js";
