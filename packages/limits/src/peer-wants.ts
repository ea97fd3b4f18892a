/** Stores the wants of the region's peers, which describe the requests that are waiting there. */
import { classesByImportance } from "@waxwingdale/core";
import type { WantMessage } from "./messages.js";

export interface PeerWant {
    readonly peer: string;
    readonly seq: number;
    readonly receivedAt: number;
    /** In the order of `classesByImportance`. Times refer to this entry's clock. */
    readonly classes: { count: number; oldestAt: number; newestAt: number }[];
    /** Latest deadline of the waiting requests. */
    readonly needUntil: number;
    readonly needMs: number;
    readonly avoid: ReadonlySet<string>;
    readonly suspectsOnly: boolean;
}

export interface PeerQueueHead {
    want: PeerWant;
    /** Index in `classesByImportance`. */
    rank: number;
    since: number;
}

export interface PeerWants {
    /** Replaces the wants of a peer. Returns false if the message is a duplicate or older than the last one. */
    update(peer: string, msg: WantMessage, now: number): boolean;
    /** Returns the oldest request of the highest-priority class among the peers' wants that `canServe` accepts. */
    findHead(service: string, now: number, canServe: (want: PeerWant) => boolean): PeerQueueHead | undefined;
    /** Records that the request got a slot. */
    recordGrant(head: PeerQueueHead): void;
    hasWants(service: string, now: number): boolean;
    removeUnknownPeers(isKnown: (peer: string) => boolean): void;
    size(): number;
}

/** @param ttlMs time after which a want expires unless it is resent */
export function createPeerWants(ttlMs: number): PeerWants {
    const lastSeq = new Map<string, { run: string; seq: number }>();
    const byService = new Map<string, Map<string, PeerWant>>();

    const clearPeer = (peer: string) => {
        for (const wants of byService.values()) {
            wants.delete(peer);
        }
    };

    const replaceWants = (peer: string, msg: WantMessage, now: number) => {
        clearPeer(peer);
        for (const want of msg.wants) {
            const wants = byService.get(want.service) ?? new Map<string, PeerWant>();
            byService.set(want.service, wants);
            wants.set(peer, {
                peer,
                seq: msg.seq,
                receivedAt: now,
                classes: classesByImportance.map((_, rank) => ({
                    count: want.classes[rank]?.count ?? 0,
                    oldestAt: now - (want.classes[rank]?.oldestWaitMs ?? 0),
                    newestAt: now - (want.classes[rank]?.newestWaitMs ?? 0),
                })),
                needUntil: now + want.needMs,
                needMs: want.needMs,
                avoid: new Set(want.avoid),
                suspectsOnly: want.suspectsOnly,
            });
        }
    };

    const isBefore = (a: PeerQueueHead, b: PeerQueueHead | undefined) =>
        b === undefined || a.rank < b.rank || (a.rank === b.rank && a.since < b.since);

    return {
        update: (peer, msg, now) => {
            const last = lastSeq.get(peer);
            if (last && last.run === msg.run && msg.seq <= last.seq) {
                return false;
            }
            lastSeq.set(peer, { run: msg.run, seq: msg.seq });
            replaceWants(peer, msg, now);
            return true;
        },
        findHead: (service, now, canServe) => {
            let head: PeerQueueHead | undefined;
            for (const want of byService.get(service)?.values() ?? []) {
                if (now - want.receivedAt > ttlMs) {
                    continue;
                }
                const rank = want.classes.findIndex(({ count }) => count > 0);
                const candidate = rank < 0 ? undefined : { want, rank, since: want.classes[rank]!.oldestAt };
                if (candidate && isBefore(candidate, head) && canServe(want)) {
                    head = candidate;
                }
            }
            return head;
        },
        recordGrant: ({ want, rank }) => {
            const waiting = want.classes[rank]!;
            // Assumes that the arrival times between the oldest and the newest request are evenly spread.
            waiting.oldestAt += (waiting.newestAt - waiting.oldestAt) / Math.max(1, waiting.count - 1);
            waiting.count--;
        },
        hasWants: (service, now) => {
            for (const want of byService.get(service)?.values() ?? []) {
                if (now - want.receivedAt <= ttlMs && want.classes.some(({ count }) => count > 0)) {
                    return true;
                }
            }
            return false;
        },
        removeUnknownPeers: isKnown => {
            for (const peer of lastSeq.keys()) {
                if (!isKnown(peer)) {
                    lastSeq.delete(peer);
                    clearPeer(peer);
                }
            }
        },
        size: () => lastSeq.size,
    };
}
