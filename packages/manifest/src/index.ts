/** Types, parsing, checks, comparison and activation of manifests. */
export * from "./types.js";
export * from "./accepted-manifest.js";
export * from "./check-manifest.js";
export * from "./diff-manifests.js";
export * from "./drains.js";
export * from "./ipv4-block.js";
export * from "./iso-time.js";
export * from "./json-path.js";
export * from "./json-schema.js";
export * from "./manifest-change.js";
export * from "./manifest-schema.js";
export * from "./manifest-source.js";
export * from "./parse-manifest.js";
export * from "./problem.js";
export * from "./push-error.js";
export * from "./push-manifest.js";
