/** Fetches a document from peers that announce a newer value in gossip. */
import { getErrorMessage, setBounded } from "@waxwingdale/core";
import type { Clock, Logger, PeerTransport, Random } from "@waxwingdale/core";
import { getBackoff } from "@waxwingdale/store";
import * as v from "valibot";
import { InvalidDocumentError } from "./document-errors.js";
import { compareOrders } from "./order.js";
import type { Order } from "./order.js";

/** JSON-RPC method by which peers fetch a document. */
export const fetchMethod = "config.fetch";

export interface PeerFetchOptions {
    /** Name of the document. */
    name: string;
    clock: Clock;
    random: Random;
    logger: Logger;
    transport: PeerTransport;
    /** Returns the order of the latest value that this process has. */
    getLatestOrder: () => Order | undefined;
    /** Handles the value of a peer. Throws if the value is unusable. */
    handleValue: (value: unknown, peerAddress: string) => void;
    /**
     * Timeout of a fetch in milliseconds.
     * @default 2000
     */
    timeoutMs?: number;
}

export interface PeerFetch {
    /** Records that a peer has announced a value of this order, unless the value is already known. */
    recordAnnouncement(peerAddress: string, order: Order): void;
    /** Fetches from one peer at a time until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

/** Backoff for a peer that did not respond. It is short, since the peer's digest shows that it can be reached. */
const unreachableBackoff = { minMs: 500, maxMs: 4000 };
/** Backoff for a peer that sent an unusable value. */
const invalidBackoff = { minMs: 500, maxMs: 30_000 };
/**
 * Consecutive unusable values after which all fetches back off. Otherwise, a value that no entry can use would be
 * fetched from every peer in turn.
 */
const maxConsecutiveInvalid = 3;
/** Maximum number of peers with a recorded announcement or failure. The oldest one is evicted first. */
const maxPeers = 1000;

const responseSchema = v.object({ value: v.optional(v.unknown()) });

interface Failure {
    count: number;
    retryAt: number;
}

export function createPeerFetch(options: PeerFetchOptions): PeerFetch {
    const { name, clock, random, logger, transport, getLatestOrder } = options;
    const announcements = new Map<string, Order>();
    const failures = new Map<string, Failure>();
    let consecutiveInvalid = 0;
    let wake: () => void = () => undefined;

    const isAhead = (order: Order) => compareOrders(order, getLatestOrder()) > 0;
    const getRetryAt = (peerAddress: string) => failures.get(peerAddress)?.retryAt ?? 0;

    /** Picks a peer with the highest announced order among those that are not in backoff. */
    const pickPeer = (): string | undefined => {
        let best: string[] = [];
        for (const [peerAddress, order] of [...announcements]) {
            if (!isAhead(order)) {
                announcements.delete(peerAddress);
            } else if (getRetryAt(peerAddress) <= clock.now()) {
                const comparison = compareOrders(
                    order,
                    best[0] === undefined ? undefined : announcements.get(best[0]),
                );
                best = comparison > 0 ? [peerAddress] : comparison === 0 ? [...best, peerAddress] : best;
            }
        }
        return best[Math.floor(random() * best.length)];
    };

    /** Waits for the next announcement, or until a failed peer may be retried. */
    const waitForWork = async (signal: AbortSignal) => {
        const controller = new AbortController();
        wake = () => controller.abort();
        signal.addEventListener("abort", wake, { once: true });
        const retryAt = Math.min(...[...announcements.keys()].map(getRetryAt));
        await clock.sleep(Math.min(retryAt - clock.now(), invalidBackoff.maxMs), controller.signal);
        signal.removeEventListener("abort", wake);
    };

    const recordFailure = (peerAddress: string, err: unknown) => {
        const count = (failures.get(peerAddress)?.count ?? 0) + 1;
        const isInvalid = err instanceof InvalidDocumentError;
        const backoff = isInvalid ? invalidBackoff : unreachableBackoff;
        const retryAt = clock.now() + getBackoff(count, backoff, random);
        consecutiveInvalid = isInvalid ? consecutiveInvalid + 1 : consecutiveInvalid;
        setBounded(failures, peerAddress, { count, retryAt }, maxPeers);
        logger.warn("document-fetch-failed", {
            document: name,
            peer: peerAddress,
            error: getErrorMessage(err),
        });
    };

    const fetchFrom = async (peerAddress: string) => {
        const announcedOrder = announcements.get(peerAddress)!;
        announcements.delete(peerAddress);
        try {
            const params = { name, after: getLatestOrder() ?? [] };
            const timeoutMs = options.timeoutMs ?? 2000;
            const res = await transport.call<unknown>(peerAddress, fetchMethod, params, timeoutMs);
            const parsed = v.safeParse(responseSchema, res);
            if (parsed.success && parsed.output.value !== undefined) {
                options.handleValue(parsed.output.value, peerAddress);
            }
            if (isAhead(announcedOrder)) {
                throw new InvalidDocumentError(
                    "the peer did not return a value of the order that it announced",
                );
            }
            failures.delete(peerAddress);
            consecutiveInvalid = 0;
        } catch (err) {
            recordFailure(peerAddress, err);
        }
    };

    return {
        recordAnnouncement: (peerAddress, order) => {
            if (isAhead(order)) {
                setBounded(announcements, peerAddress, order, maxPeers);
                wake();
            }
        },
        run: async signal => {
            while (!signal.aborted) {
                const peerAddress = pickPeer();
                if (peerAddress === undefined) {
                    await waitForWork(signal);
                    continue;
                }
                await fetchFrom(peerAddress);
                if (consecutiveInvalid >= maxConsecutiveInvalid) {
                    const count = consecutiveInvalid - maxConsecutiveInvalid + 1;
                    await clock.sleep(getBackoff(count, invalidBackoff, random), signal);
                }
            }
        },
    };
}
