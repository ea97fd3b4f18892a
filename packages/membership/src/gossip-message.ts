/** Messages of the gossip protocol (JSON-RPC params and results) and their validation. */
import { WaxwingdaleError } from "@waxwingdale/core";
import type { Member } from "@waxwingdale/core";
import { decodeRow } from "./member-row.js";
import type { MemberRow } from "./member-row.js";

/** Protocol version. A peer with another version counts as alive but cannot exchange rows. */
export const gossipVersion = 1;
/** Maximum number of rows read from a message. The rest is ignored, so that a faulty peer cannot block the process. */
export const maxRowsAccepted = 512;

/** The message has another protocol version or is malformed. */
export class GossipFormatError extends WaxwingdaleError {
    constructor(message: string) {
        super("GossipFormatError", message);
    }
}

/** Params and result of `gossip.exchange`. */
export interface GossipMessage {
    v: number;
    from: MemberRow;
    /** Recently changed rows. */
    rows: MemberRow[];
    /** Hash of the sender's view. A mismatch triggers `gossip.sync`. */
    hash: string;
    /** Digests of extensions, by name. */
    digests: Record<string, unknown>;
}

/** Params of `gossip.sync`: the sender's bucket hashes, or rows that the receiver lacks. */
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
    /** Indexes of differing buckets whose rows are all included in `rows`. */
    differing: number[];
    rows: MemberRow[];
    /** Whether `differing` lists all differing buckets. */
    complete: boolean;
}

/** Params of `gossip.probe`: asks a peer to probe a member that the sender cannot reach. */
export interface ProbeMessage {
    peerAddress: string;
}

/** Result of `gossip.probe`. */
export interface ProbeResult {
    reachable: boolean;
}

/** Adds a digest to each gossip exchange. */
export interface GossipExtension {
    /** Returns a small JSON value, since it is part of every exchange. */
    digest(): unknown;
    /** Handles a peer's digest. */
    merge(digest: unknown, peerAddress: string): void;
}

/** The valid parts of a received message. */
export interface ReceivedMessage {
    from: Member;
    rows: Member[];
    /** Number of rows that were dropped because they are malformed. */
    rejectedRows: number;
    hash: string;
    digests: [name: string, digest: unknown][];
    buckets: string;
    differing: number[];
    complete: boolean;
}

/**
 * Parses any of the above messages.
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
