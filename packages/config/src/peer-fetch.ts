/** Fetches one document from the peers that gossip says are ahead. */
import { getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, PeerTransport, Random } from "@waxwingdale/core";
import { getBackoff } from "@waxwingdale/store";
import * as v from "valibot";
import { InvalidDocumentError } from "./document-errors.js";
import { compareOrders } from "./order.js";
import type { Order } from "./order.js";

/** JSON-RPC method by which a peer hands out a document. */
export const fetchMethod = "config.fetch";

export interface PeerFetchOptions {
    /** Name of the document. */
    name: string;
    clock: Clock;
    random: Random;
    logger: Logger;
    transport: PeerTransport;
    /** Returns the order of the newest value that this process has. */
    getHeldOrder: () => Order | undefined;
    /** Takes a peer's value. Throws when the value is not usable. */
    take: (value: unknown, peerAddress: string) => void;
    /**
     * Longest time for one fetch, in milliseconds.
     * @default 2000
     */
    timeoutMs?: number;
}

export interface PeerFetch {
    /** Notes that a peer has a value of this order. */
    note(peerAddress: string, order: Order): void;
    /** Fetches from one peer after the other until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

/** Waiting time before a peer that did not answer is asked again. Short, since a digest shows that it can be reached. */
const unreachableBackoff = { minMs: 500, maxMs: 4000 };
/** Waiting time before a peer that sent an unusable value is asked again. */
const invalidBackoff = { minMs: 500, maxMs: 30_000 };
/**
 * Unusable values in a row after which all fetches wait. A value that no entry can use would otherwise be fetched from
 * every peer in turn.
 */
const maxInvalidInARow = 3;
/** Peers remembered with a claim or a failure; beyond it the oldest is forgotten. */
const maxPeers = 1000;

const responseSchema = v.object({ value: v.optional(v.unknown()) });

interface Failure {
    count: number;
    retryAt: number;
}

export function createPeerFetch(options: PeerFetchOptions): PeerFetch {
    const { name, clock, random, logger, transport, getHeldOrder } = options;
    const claims = new Map<string, Order>();
    const failures = new Map<string, Failure>();
    let invalidInARow = 0;
    let wake: () => void = () => undefined;

    const isAhead = (order: Order) => compareOrders(order, getHeldOrder()) > 0;
    const retryTime = (peerAddress: string) => failures.get(peerAddress)?.retryAt ?? 0;

    /** Picks a peer with the greatest order among those that may be asked now. */
    const pickPeer = (): string | undefined => {
        let best: string[] = [];
        for (const [peerAddress, order] of [...claims]) {
            if (!isAhead(order)) {
                claims.delete(peerAddress);
            } else if (retryTime(peerAddress) <= clock.now()) {
                const comparison = compareOrders(
                    order,
                    best[0] === undefined ? undefined : claims.get(best[0]),
                );
                best = comparison > 0 ? [peerAddress] : comparison === 0 ? [...best, peerAddress] : best;
            }
        }
        return best[Math.floor(random() * best.length)];
    };

    /** Waits for the next note or for the time at which a peer that failed may be asked again. */
    const waitForWork = async (signal: AbortSignal) => {
        const controller = new AbortController();
        wake = () => controller.abort();
        signal.addEventListener("abort", wake, { once: true });
        const retryAt = Math.min(...[...claims.keys()].map(retryTime));
        await clock.sleep(Math.min(retryAt - clock.now(), invalidBackoff.maxMs), controller.signal);
        signal.removeEventListener("abort", wake);
    };

    const noteFailure = (peerAddress: string, err: unknown) => {
        const count = (failures.get(peerAddress)?.count ?? 0) + 1;
        const invalid = err instanceof InvalidDocumentError;
        const backoff = invalid ? invalidBackoff : unreachableBackoff;
        const retryAt = clock.now() + getBackoff(count, backoff, random);
        invalidInARow = invalid ? invalidInARow + 1 : invalidInARow;
        setBounded(failures, peerAddress, { count, retryAt });
        logger.warn("document-fetch-failed", {
            document: name,
            peer: peerAddress,
            error: getErrorMessage(err),
        });
    };

    const fetchFrom = async (peerAddress: string) => {
        const claimed = claims.get(peerAddress)!;
        claims.delete(peerAddress);
        try {
            const params = { name, after: getHeldOrder() ?? [] };
            const timeoutMs = options.timeoutMs ?? 2000;
            const res = await transport.call<unknown>(peerAddress, fetchMethod, params, timeoutMs);
            const parsed = v.safeParse(responseSchema, res);
            if (parsed.success && parsed.output.value !== undefined) {
                options.take(parsed.output.value, peerAddress);
            }
            if (isAhead(claimed)) {
                throw new InvalidDocumentError("the peer has no value of the order that it announced");
            }
            failures.delete(peerAddress);
            invalidInARow = 0;
        } catch (err) {
            noteFailure(peerAddress, err);
        }
    };

    return {
        note: (peerAddress, order) => {
            if (isAhead(order)) {
                setBounded(claims, peerAddress, order);
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
                if (invalidInARow >= maxInvalidInARow) {
                    const count = invalidInARow - maxInvalidInARow + 1;
                    await clock.sleep(getBackoff(count, invalidBackoff, random), signal);
                }
            }
        },
    };
}

function setBounded<Value>(map: Map<string, Value>, key: string, value: Value): void {
    map.delete(key);
    map.set(key, value);
    if (map.size > maxPeers) {
        map.delete(map.keys().next().value!);
    }
}
