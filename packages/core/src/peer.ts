/** Membership and RPC interfaces between entry instances. */

export enum MemberStatus {
    Live = "live",
    /** Does not respond; declared dead unless it refutes within the suspicion timeout. */
    Suspect = "suspect",
    /** Graceful shutdown: completes its current requests and receives no new ones. */
    Leaving = "leaving",
    Dead = "dead",
}

/** An entry instance in the membership list. */
export interface Member {
    id: string;
    /** Incremented by the member itself with each change of its row and each refutation. */
    incarnation: number;
    /**
     * Incremented at each start, and when the process learns that it was declared dead. Shared resources held in an
     * earlier session are lost; a change of `incarnation` alone does not affect them.
     */
    session: number;
    status: MemberStatus;
    region: string;
    zone: string;
    /** Address and port for callers. */
    callerAddress: string;
    /** Address and port for peers. */
    peerAddress: string;
    /** False while the entry cannot serve requests, for example before it has loaded a manifest. */
    ready: boolean;
    /** Requests per second that the instance can handle; undefined if unknown. */
    capacity?: number;
}

/** Result of a JSON-RPC method: a JSON value. */
export type RpcHandler = (params: unknown, from: string) => unknown;

/** Registry of JSON-RPC methods that peers can call. */
export interface RpcRegistry {
    addMethod(name: string, handler: RpcHandler): void;
}

/** Client for the JSON-RPC methods of peers. */
export interface PeerTransport {
    /**
     * Calls a method of the peer at `peerAddress`.
     * @throws PeerUnreachableError, PeerTimeoutError, PeerRejectedError
     */
    call<Result>(peerAddress: string, method: string, params: unknown, timeoutMs: number): Promise<Result>;
}

/** Read-only view of the membership list. */
export interface MemberView {
    /** The local member's row. */
    self(): Member;
    /** All known members, including this instance. */
    members(): readonly Member[];
    /** Live and suspect members of a region, including this instance, sorted by id. */
    liveInRegion(region: string): readonly Member[];
    find(id: string): Member | undefined;
    /** Calls `listener` after each change of any row. Returns a function that unsubscribes it. */
    onChange(listener: () => void): () => void;
}
