/** Documents that are persisted in the store and replicated between peers, including the accepted manifest. */
export * from "./accepted-config.js";
export * from "./document-errors.js";
export * from "./document-exchange.js";
export * from "./order.js";
export * from "./replicated-document.js";
