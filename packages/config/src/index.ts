/** Documents that last in the store and spread between peers, and the accepted manifest among them. */
export * from "./accepted-config.js";
export * from "./document-errors.js";
export * from "./document-exchange.js";
export * from "./order.js";
export * from "./replicated-document.js";
