/** Stand-ins of the systems that surround an entry instance. No product package imports them. */
export * from "./object-api/index.js";
