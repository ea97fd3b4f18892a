/** Limits for the HTTP listeners of an entry instance. */

export const maxHeaderBytes = 16 * 1024;
/** Time limit in milliseconds for receiving the headers of a request. */
export const headersTimeoutMs = 10_000;
/** Idle timeout of keep-alive connections in milliseconds. */
export const keepAliveTimeoutMs = 15_000;
/** Maximum size of a JSON-RPC body in bytes. */
export const maxRpcBodyBytes = 4 * 1024 * 1024;
