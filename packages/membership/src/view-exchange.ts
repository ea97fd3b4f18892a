/** Exchanges recently changed rows between peers, and syncs the buckets in which their views differ. */
import { MemberStatus, getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, Member, PeerTransport, Random } from "@waxwingdale/core";
import type { IsolationDetector } from "./isolation-detector.js";
import { gossipVersion, parseMessage } from "./gossip-message.js";
import type {
    GossipExtension,
    GossipMessage,
    ReceivedMessage,
    SyncMessage,
    SyncResult,
} from "./gossip-message.js";
import { RowOrigin } from "./local-view.js";
import type { LocalView } from "./local-view.js";
import { encodeRow } from "./member-row.js";
import { findDifferingBuckets } from "./member-table.js";
import type { MemberTable } from "./member-table.js";
import type { MembershipLimits } from "./membership-limits.js";
import { shuffle } from "./peer-order.js";
import type { RowBudget } from "./row-budget.js";
import type { Rumors } from "./rumors.js";

/** Rows in a sync response even if the budget is used up, so that a new member always makes progress. */
const minSyncRows = 8;
/** Milliseconds between syncs while changes are spreading, because views differ then even if no message is lost. */
const busySyncIntervalMs = 3000;

export interface ViewExchange {
    /**
     * Exchanges rows with the peer at an address and returns the peer's row.
     * @throws PeerUnreachableError, PeerTimeoutError, PeerRejectedError, GossipFormatError
     */
    exchange(peerAddress: string): Promise<Member>;
    handleExchange(params: unknown): GossipMessage;
    handleSync(params: unknown): SyncResult;
    addExtension(name: string, extension: GossipExtension): void;
}

export interface ViewExchangeOptions {
    view: LocalView;
    table: MemberTable;
    rumors: Rumors;
    budget: RowBudget;
    isolationDetector: IsolationDetector;
    transport: PeerTransport;
    clock: Clock;
    random: Random;
    logger: Logger;
    limits: MembershipLimits;
}

export function createViewExchange(options: ViewExchangeOptions): ViewExchange {
    const { view, table, rumors, budget, isolationDetector, transport, clock, random, logger, limits } =
        options;
    const extensions = new Map<string, GossipExtension>();
    let nextSyncAt = 0;
    /** While most rows of sync responses are unknown, this member syncs in every exchange. */
    let isJoining = true;
    /** Prevents concurrent syncs: a new member calls several seeds at once, which would all send the same rows. */
    let isSyncing = false;

    const takeRows = (first: Member[]): Member[] => {
        const allowed = budget.take(Math.min(limits.rowsPerExchange, first.length + rumors.size()), 1);
        const rows = first.slice(0, allowed);
        return [...rows, ...rumors.take(allowed - rows.length)];
    };

    const collectDigests = () => {
        const digests: Record<string, unknown> = {};
        for (const [name, extension] of extensions) {
            try {
                digests[name] = extension.digest();
            } catch (err) {
                logger.error("gossip-digest-failed", { extension: name, error: getErrorMessage(err) });
            }
        }
        return digests;
    };

    const createMessage = (rows: Member[]): GossipMessage => ({
        v: gossipVersion,
        from: encodeRow(view.self()),
        rows: rows.map(encodeRow),
        hash: table.viewHash(),
        digests: collectDigests(),
    });

    const createSync = (buckets: string, rows: Member[]): SyncMessage => ({
        v: gossipVersion,
        from: encodeRow(view.self()),
        buckets,
        rows: rows.map(encodeRow),
    });

    const mergeDigest = (name: string, digest: unknown, peerAddress: string) => {
        try {
            extensions.get(name)?.merge(digest, peerAddress);
        } catch (err) {
            logger.warn("gossip-digest-rejected", {
                extension: name,
                peer: peerAddress,
                error: getErrorMessage(err),
            });
        }
    };

    const receive = (
        value: unknown,
        origin: RowOrigin,
    ): { message: ReceivedMessage; corrections: Member[] } => {
        const message = parseMessage(value);
        if (message.rejectedRows > 0) {
            logger.warn("gossip-rows-rejected", { peer: message.from.id, rows: message.rejectedRows });
        }
        isolationDetector.recordSuccess(message.from.id);
        const corrections = view.merge(message.from, message.rows, origin);
        for (const [name, digest] of message.digests) {
            mergeDigest(name, digest, message.from.peerAddress);
        }
        return { message, corrections };
    };

    const call = (peerAddress: string, method: string, params: unknown) =>
        transport.call<unknown>(peerAddress, method, params, limits.callTimeoutMs);

    const callSync = async (peerAddress: string, params: SyncMessage) =>
        receive(await call(peerAddress, "gossip.sync", params), RowOrigin.Sync);

    const confirmIfViewsMatch = (message: ReceivedMessage) => {
        if (message.hash === table.viewHash()) {
            isJoining = false;
            rumors.confirm();
        }
    };

    const isSyncDue = (reply: ReceivedMessage) => {
        const isQuiet = rumors.size() === 0 && reply.rows.length === 0;
        return (
            !isSyncing &&
            reply.hash !== table.viewHash() &&
            (isJoining || isQuiet || clock.now() >= nextSyncAt)
        );
    };

    const sync = async (peerAddress: string, known: Member[]) => {
        nextSyncAt = clock.now() + busySyncIntervalMs;
        const reply = await call(peerAddress, "gossip.sync", createSync(table.bucketHashes(), []));
        const knownBefore = table.all().length;
        const { message, corrections } = receive(reply, RowOrigin.Sync);
        const received = new Set(message.rows.map(({ id }) => id));
        const missing = getBucketRows(message.differing).filter(({ id }) => !received.has(id));
        // While other members join, their rows always differ, so a complete sync may never occur.
        if (message.complete || table.all().length - knownBefore < message.rows.length / 4) {
            isJoining = false;
        }
        const newer = [...known, ...corrections, ...missing];
        const count = budget.take(Math.min(limits.rowsPerSync, newer.length), minSyncRows);
        if (count > 0) {
            await callSync(peerAddress, createSync("", newer.slice(0, count)));
        }
    };

    /** Selects whole buckets, so that the peer can tell which of its rows are missing here. */
    const selectBuckets = (hashes: string, count: number) => {
        const all = hashes === "" ? [] : shuffle(findDifferingBuckets(hashes, table.bucketHashes()), random);
        const differing: number[] = [];
        const rows: Member[] = [];
        for (const bucket of all) {
            const next = getBucketRows([bucket]);
            if (rows.length > 0 && rows.length + next.length > count) {
                break;
            }
            differing.push(bucket);
            rows.push(...next);
        }
        return { differing, rows, complete: differing.length === all.length };
    };

    const getBucketRows = (buckets: number[]) =>
        buckets
            .flatMap(bucket => table.inBucket(bucket))
            .filter(({ status }) => status !== MemberStatus.Dead);

    return {
        exchange: async peerAddress => {
            const sent = createMessage(takeRows([]));
            const { message, corrections } = receive(
                await call(peerAddress, "gossip.exchange", sent),
                RowOrigin.Exchange,
            );
            if (isSyncDue(message)) {
                isSyncing = true;
                await sync(peerAddress, corrections).finally(() => (isSyncing = false));
            } else if (corrections.length > 0) {
                const count = budget.take(Math.min(limits.rowsPerExchange, corrections.length), 1);
                await callSync(peerAddress, createSync("", corrections.slice(0, count)));
            }
            confirmIfViewsMatch(message);
            return message.from;
        },
        handleExchange: params => {
            const { message, corrections } = receive(params, RowOrigin.Exchange);
            confirmIfViewsMatch(message);
            return createMessage(takeRows(corrections));
        },
        handleSync: params => {
            const { message, corrections } = receive(params, RowOrigin.Sync);
            const wanted = message.buckets === "" ? corrections.length : limits.rowsPerSync;
            const count = budget.take(wanted, minSyncRows);
            const { differing, rows, complete } = selectBuckets(message.buckets, count);
            return {
                v: gossipVersion,
                from: encodeRow(view.self()),
                differing,
                rows: [...corrections.slice(0, count), ...rows].map(encodeRow),
                complete,
            };
        },
        addExtension: (name, extension) => void extensions.set(name, extension),
    };
}
