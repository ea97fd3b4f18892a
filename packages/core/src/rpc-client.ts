/** JSON-RPC 2.0 client for calls to peers over HTTP keep-alive connections. */
import { JSONRPCErrorException } from "json-rpc-2.0";
import type { JSONRPCResponse } from "json-rpc-2.0";
import { WaxwingdaleError, getErrorCode } from "./errors.js";
import type { ErrorOptions } from "./errors.js";
import { connectTimeoutCode, createHttpClient } from "./http-client.js";
import { maxRpcBodyBytes } from "./http-limits.js";
import type { Logger } from "./log.js";
import type { PeerTransport } from "./peer.js";

/** The peer refused the connection or is unreachable. The call had no effect. */
export class PeerUnreachableError extends WaxwingdaleError {
    constructor(message: string, options?: ErrorOptions) {
        super("PeerUnreachableError", message, options);
    }
}

/** The peer did not respond to the call in time or the connection broke. The call may have taken effect. */
export class PeerTimeoutError extends WaxwingdaleError {
    constructor(message: string, options?: ErrorOptions) {
        super("PeerTimeoutError", message, options);
    }
}

/** The peer responded with an error. */
export class PeerRejectedError extends WaxwingdaleError {
    constructor(
        message: string,
        readonly code: number,
        options?: ErrorOptions,
    ) {
        super("PeerRejectedError", message, options);
    }
}

export interface RpcClientOptions {
    /** Id of the calling entry instance. */
    id: string;
    fleetKey: string;
    /**
     * Maximum number of connections to each peer, opened on demand. A claim occupies one for a round trip to another
     * region plus a commit.
     * @default 32
     */
    connections?: number;
    logger?: Logger;
}

export interface RpcClient extends PeerTransport {
    close(): void;
}

const defaultConnections = 32;
const connectTimeoutMs = 1000;
const okStatus = 200;

const unreachableCodes = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", connectTimeoutCode]);

/** Creates a client for the RPC endpoints of peers. */
export function createRpcClient(options: RpcClientOptions): RpcClient {
    const client = createHttpClient({
        connections: options.connections ?? defaultConnections,
        connectTimeoutMs,
        maxResponseBytes: maxRpcBodyBytes,
        logger: options.logger,
    });
    const headers = {
        authorization: `Bearer ${options.fleetKey}`,
        "content-type": "application/json",
        "waxwingdale-peer": options.id,
    };
    let nextId = 1;

    const send = async (peerAddress: string, method: string, params: unknown, timeoutMs: number) => {
        const id = nextId++;
        const body = JSON.stringify({ jsonrpc: "2.0", id, method, params });
        let response: JSONRPCResponse | undefined;
        try {
            const { status } = await client.call({
                method: "POST",
                address: peerAddress,
                path: "/rpc",
                headers,
                body,
                timeoutMs,
                findMismatch: res => {
                    response = res.status === okStatus ? parseResponse(res.text) : undefined;
                    return res.status !== okStatus || response?.id === id ? undefined : "it has another id";
                },
            });
            return { status, response };
        } catch (err) {
            const message = `cannot call ${method} of peer ${peerAddress}`;
            if (unreachableCodes.has(getErrorCode(err) ?? "")) {
                throw new PeerUnreachableError(message, { cause: err });
            }
            throw new PeerTimeoutError(message, { cause: err });
        }
    };

    return {
        call: async <Result>(peerAddress: string, method: string, params: unknown, timeoutMs: number) => {
            const { status, response } = await send(peerAddress, method, params, timeoutMs);
            if (status !== okStatus) {
                throw new PeerRejectedError(
                    `peer ${peerAddress} answered ${method} with status ${status}`,
                    status,
                );
            }
            if (response?.error) {
                const { message, code } = response.error;
                const cause = new JSONRPCErrorException(message, code);
                throw new PeerRejectedError(`peer ${peerAddress} rejected ${method}`, code, { cause });
            }
            return response?.result as Result;
        },
        close: () => client.close(),
    };
}

/** Returns undefined for text that is no JSON. */
function parseResponse(text: string): JSONRPCResponse | undefined {
    try {
        return (JSON.parse(text) as JSONRPCResponse | null) ?? undefined;
    } catch {
        return undefined;
    }
}
