/** Messages of the gossip protocol (JSON-RPC params and results). */
import type { Member } from "@waxwingdale/core";

/** Params and result of `gossip.exchange`. */
export interface GossipMessage {
    from: Member;
    /** Rows that changed not long ago. */
    rows: Member[];
    /** Hash of the sender's whole view. Unequal hashes after a merge lead to an exchange of all rows. */
    viewHash: string;
    /** The sender wants all rows in the answer. */
    wantAll: boolean;
    /** Digests of other packages, by name. */
    digests: Record<string, unknown>;
}

/** Params of `gossip.probe`: asks a third entry to call a member that the sender cannot reach. */
export interface ProbeMessage {
    peerAddress: string;
}

/** Result of `gossip.probe`. */
export interface ProbeResult {
    reachable: boolean;
}

/** A package that adds a digest to each gossip exchange. */
export interface GossipExtension {
    /** Small JSON value; it is part of every exchange. */
    digest(): unknown;
    /** Handles a peer's digest. */
    merge(digest: unknown, peerAddress: string): void;
}

/** Returns whether a value from the network is a usable member row. */
export function isMember(value: unknown): value is Member {
    const row = value as Partial<Member> | undefined;
    return (
        typeof row?.id === "string" &&
        typeof row.incarnation === "number" &&
        typeof row.status === "string" &&
        typeof row.region === "string" &&
        typeof row.zone === "string" &&
        typeof row.callerAddress === "string" &&
        typeof row.peerAddress === "string" &&
        typeof row.ready === "boolean"
    );
}
