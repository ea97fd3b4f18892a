/** Contracts between an entry instance and its peers. */

export enum MemberStatus {
    Live = "live",
    /** Does not answer; has until the suspicion time ends to refute. */
    Suspect = "suspect",
    /** Planned stop: serves what it has, gets no new work. */
    Leaving = "leaving",
    Dead = "dead",
}

/** What an entry instance knows of another one. */
export interface Member {
    id: string;
    /** Grows at each change of the own row and each refutation. */
    incarnation: number;
    /**
     * Grows at each start, and when the process finds that others declared it dead. What it held of shared resources
     * before is then lost, while a change of `incarnation` alone does not matter to its holdings.
     */
    session: number;
    status: MemberStatus;
    region: string;
    zone: string;
    /** Address and port for callers. */
    callerAddress: string;
    /** Address and port for peers. */
    peerAddress: string;
    /** False while the entry cannot serve, for example before it has a manifest. */
    ready: boolean;
    /** Requests a second that the instance can carry; undefined when it does not say. */
    capacity?: number;
}

/** Result of a JSON-RPC method: a JSON value. */
export type RpcHandler = (params: unknown, from: string) => unknown;

/** Registers JSON-RPC methods that peers may call. */
export interface RpcRegistry {
    addMethod(name: string, handler: RpcHandler): void;
}

/** Calls JSON-RPC methods of peers. */
export interface PeerTransport {
    /**
     * Calls a method of the peer at `peerAddress` and returns its result.
     * @throws PeerUnreachableError, PeerTimeoutError, PeerRejectedError
     */
    call<Result>(peerAddress: string, method: string, params: unknown, timeoutMs: number): Promise<Result>;
}

/** The part of membership that other packages use. */
export interface MemberView {
    /** Own row. */
    self(): Member;
    /** All known members, own row included. */
    members(): readonly Member[];
    /** Live (or suspect) members of a region, own row included, in id order. */
    liveInRegion(region: string): readonly Member[];
    find(id: string): Member | undefined;
    /** Calls `listener` after each change of any row. Returns a function that removes it. */
    onChange(listener: () => void): () => void;
}
