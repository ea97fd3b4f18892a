/** Limits of the HTTP listeners of an entry instance. */

export const maxHeaderBytes = 16 * 1024;
/** Time in milliseconds that a sender has for its headers. */
export const headersTimeoutMs = 10_000;
/** Time in milliseconds that an idle keep-alive connection stays open. */
export const keepAliveTimeoutMs = 15_000;
/** Size in bytes of the largest JSON-RPC body. */
export const maxRpcBodyBytes = 4 * 1024 * 1024;
