/** The manifest: its types, parsing and checks. */
export * from "./types.js";
