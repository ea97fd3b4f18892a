/** Options of the HTTP server that accepts callers' connections. */
import type { ServerOptions } from "node:http";

/**
 * Bytes of responses and unread bodies on a connection up to which it is read. A connection that is not being read hides
 * that its caller has disconnected. With Node's default of 16 KiB, a few pipelined responses that wait behind an
 * earlier one are enough for that.
 */
const readUntilBytes = 4 * 1024 * 1024;

export const callerServerOptions: ServerOptions = {
    noDelay: true,
    highWaterMark: readUntilBytes,
    /** The relay ends requests at their own deadlines. */
    requestTimeout: 0,
};
