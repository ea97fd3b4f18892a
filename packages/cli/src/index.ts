/** Command-line interface for operators. */
export * from "./command-context.js";
export * from "./exit-code.js";
export * from "./run-cli.js";
