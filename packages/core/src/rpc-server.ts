/** JSON-RPC 2.0 server for calls from peers. */
import { createHash, timingSafeEqual } from "node:crypto";
import { JSONRPCServer } from "json-rpc-2.0";
import type { JSONRPCRequest } from "json-rpc-2.0";
import type { Logger } from "./log.js";
import type { RpcRegistry } from "./peer.js";
import { getErrorMessage } from "./errors.js";

export interface RpcServer extends RpcRegistry {
    /** Handles the request in `body` from the peer `from` and returns the response body. */
    receive(body: string, from: string): Promise<string>;
}

/** Creates a server without methods. */
export function createRpcServer(logger: Logger): RpcServer {
    const server = new JSONRPCServer<{ from: string }>({ errorListener: () => undefined });
    return {
        addMethod: (name, handler) => {
            server.addMethod(name, async (params: unknown, { from }) => {
                try {
                    return (await handler(params, from)) ?? {};
                } catch (err) {
                    logger.warn("rpc-failed", { method: name, from, error: getErrorMessage(err) });
                    throw err;
                }
            });
        },
        receive: async (body, from) => {
            const res = await server.receive(JSON.parse(body) as JSONRPCRequest, { from });
            return JSON.stringify(res ?? {});
        },
    };
}

/** Checks an authorization header against the fleet key in constant time. */
export function isFleetKey(header: string | undefined, fleetKey: string): boolean {
    const digest = (text: string) => createHash("sha256").update(text).digest();
    return timingSafeEqual(digest(header ?? ""), digest(`Bearer ${fleetKey}`));
}
