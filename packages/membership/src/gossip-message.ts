/** Messages of the gossip protocol (JSON-RPC params and results) and their checks. */
import { WaxwingdaleError } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";
import { decodeRow } from "./member-row.js";
import type { MemberRow } from "./member-row.js";

/** Version of the messages. A peer with another one is alive but cannot exchange. */
export const gossipVersion = 1;
/** Rows that a message may hold; a longer list is cut, so a faulty peer cannot occupy the process. */
export const maxRowsAccepted = 512;

/** The message is not of this protocol version or is malformed. */
export class GossipFormatError extends WaxwingdaleError {
    constructor(message: string) {
        super("GossipFormatError", message);
    }
}

/** Params and result of `gossip.exchange`. */
export interface GossipMessage {
    v: number;
    from: MemberRow;
    /** Rows that changed not long ago. */
    rows: MemberRow[];
    /** Hash of the sender's view. Unequal hashes lead to `gossip.sync`. */
    hash: string;
    /** Digests of other packages, by name. */
    digests: Record<string, unknown>;
}

/** Params of `gossip.sync`: hashes of the sender's buckets, or rows that the receiver lacks. */
export interface SyncMessage {
    v: number;
    from: MemberRow;
    buckets: string;
    rows: MemberRow[];
}

/** Result of `gossip.sync`. */
export interface SyncResult {
    v: number;
    from: MemberRow;
    /** Indexes of the differing buckets whose rows are all in `rows`. */
    differing: number[];
    rows: MemberRow[];
    /** Whether `differing` holds all differing buckets. */
    complete: boolean;
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

/** The usable part of a message from the network. */
export interface ReceivedMessage {
    from: Member;
    rows: Member[];
    /** Rows that were left out because they are malformed. */
    rejectedRows: number;
    hash: string;
    digests: [name: string, digest: unknown][];
    buckets: string;
    differing: number[];
    complete: boolean;
}

/**
 * Reads a message of any of the kinds above.
 * @throws GossipFormatError
 */
export function parseMessage(value: unknown): ReceivedMessage {
    if (!isObject(value) || value.v !== gossipVersion) {
        throw new GossipFormatError(`the message is not of gossip version ${gossipVersion}`);
    }
    const from = decodeRow(value.from);
    if (from === undefined) {
        throw new GossipFormatError("the message's sender row is malformed");
    }
    const differing: unknown[] = Array.isArray(value.differing) ? value.differing : [];
    const encoded: unknown[] = Array.isArray(value.rows) ? value.rows.slice(0, maxRowsAccepted) : [];
    const rows = encoded.map(decodeRow).filter(row => row !== undefined);
    return {
        from,
        rows,
        rejectedRows: encoded.length - rows.length,
        hash: typeof value.hash === "string" ? value.hash : "",
        digests: isObject(value.digests) ? Object.entries(value.digests) : [],
        buckets: typeof value.buckets === "string" ? value.buckets : "",
        differing: differing.filter(index => typeof index === "number"),
        complete: value.complete === true,
    };
}

export function isObject(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && !!value && !Array.isArray(value);
}
