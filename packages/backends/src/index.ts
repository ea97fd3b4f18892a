/** The backend servers of the own region: where they are, and which ones get no new requests. */
export * from "./backend-directory.js";
export * from "./drain-marks.js";
export * from "./health-probe.js";
