/** A document that is persisted in the store and replicated between peers. The order of its value only increases. */
import { getErrorMessage, setBounded } from "@waxwingdale/core";
import type { Clock, Logger, ObjectStore, PeerTransport, Random } from "@waxwingdale/core";
import { watchPrefix } from "@waxwingdale/store";
import type { WatchSettings } from "@waxwingdale/store";
import * as v from "valibot";
import type { DocumentExchange } from "./document-exchange.js";
import { InvalidDocumentError, UnsupportedDocumentError } from "./document-errors.js";
import { compareOrders, orderSchema } from "./order.js";
import type { Order } from "./order.js";
import { createPeerFetch } from "./peer-fetch.js";

/** Where a value came from. */
export enum DocumentSource {
    Store = "store",
    Peer = "peer",
    /** Written to the store by this process. */
    Local = "local",
}

export interface ReplicatedDocumentOptions<Value> {
    /** Name in digests and in fetches from peers. */
    name: string;
    /** Key of the object in the store. */
    key: string;
    store: ObjectStore;
    transport: PeerTransport;
    exchange: DocumentExchange;
    clock: Clock;
    random: Random;
    logger: Logger;
    /** Returns the order of a stored value. Throws if it has none. */
    getOrder: (value: unknown) => Order;
    /**
     * Converts a stored value to the form in which it is applied.
     * @throws UnsupportedDocumentError if this release cannot apply the value; any other error means that it is invalid
     */
    parse: (value: unknown) => Value;
    /** Timing and status callbacks of the store watch. */
    watch?: WatchSettings;
}

/** A value that is newer than the active one, but that this process cannot apply. */
export interface UnsupportedValue {
    /** Undefined if the order is unreadable as well. */
    order: Order | undefined;
    reason: string;
}

export interface DocumentStatus {
    /** Order of the active value; undefined before the first one. */
    order: Order | undefined;
    source: DocumentSource | undefined;
    unsupported: UnsupportedValue | undefined;
}

export interface ReplicatedDocument<Value> {
    /** Returns the active value, or undefined before the first one. */
    current(): Value | undefined;
    status(): DocumentStatus;
    /** Calls `listener` after each change of the active value. Returns a function that removes the listener. */
    onChange(listener: (value: Value) => void): () => void;
    /** Applies a value that this process has written to the store, without waiting for the watch. */
    applyLocal(value: unknown): void;
    /** Fetches the value from a peer that has announced this order, unless this process has it already. */
    handlePeerOrder(peerAddress: string, order: Order): void;
    /** Applies updates from the store and from peers until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

/** Number of unsupported values that are remembered, so that each is logged once. */
const maxLoggedOrders = 100;

interface ActiveValue<Value> {
    order: Order;
    value: Value;
    source: DocumentSource;
}

interface LatestValue {
    order: Order;
    value: unknown;
}

/** Creates a document without a value and adds it to the exchange. */
export function createReplicatedDocument<Value>(
    options: ReplicatedDocumentOptions<Value>,
): ReplicatedDocument<Value> {
    const { name, key, store, clock, random, logger } = options;
    const listeners = new Set<(value: Value) => void>();
    let applied: ActiveValue<Value> | undefined;
    /** Latest value in its stored format. A value that this process cannot apply is still served to peers that can. */
    let latest: LatestValue | undefined;
    let unsupported: UnsupportedValue | undefined;
    /** Orders of unsupported values that have been logged. */
    const loggedOrders = new Map<string, true>();

    const getLatestOrder = () => latest?.order;

    const readOrder = (value: unknown): Order => {
        try {
            return v.parse(orderSchema, options.getOrder(value));
        } catch (err) {
            throw new InvalidDocumentError(`a value of document ${name} has no readable order`, {
                cause: err,
            });
        }
    };

    const recordLatest = (order: Order, value: unknown) => {
        if (compareOrders(order, latest?.order) > 0) {
            latest = { order, value };
        }
    };

    const notifyListeners = (value: Value) => {
        for (const listener of [...listeners]) {
            try {
                listener(value);
            } catch (err) {
                logger.error("document-listener-failed", { document: name, error: getErrorMessage(err) });
            }
        }
    };

    const apply = (order: Order, value: Value, source: DocumentSource) => {
        applied = { order, value, source };
        if (compareOrders(order, unsupported?.order) >= 0) {
            unsupported = undefined;
        }
        logger.info("document-applied", { document: name, order: order.join("."), source });
        notifyListeners(value);
    };

    /** Applies a value that is newer than the active one and ignores any other. */
    const applyIfNewer = (raw: unknown, source: DocumentSource) => {
        const order = readOrder(raw);
        if (compareOrders(order, applied?.order) <= 0) {
            return;
        }
        let value: Value;
        try {
            value = options.parse(raw);
        } catch (err) {
            // A value in the store was accepted, so it is not discarded even if this release finds it invalid.
            if (source !== DocumentSource.Store && !(err instanceof UnsupportedDocumentError)) {
                throw new InvalidDocumentError(`a value of document ${name} is invalid`, { cause: err });
            }
            recordLatest(order, raw);
            reportUnsupported({ order, reason: getErrorMessage(err) });
            return;
        }
        recordLatest(order, raw);
        apply(order, value, source);
    };

    /** A value without a readable order is logged each time, as the store delivers each version only once. */
    const reportUnsupported = (next: UnsupportedValue) => {
        if (unsupported === undefined || compareOrders(next.order, unsupported.order) > 0) {
            unsupported = next;
        }
        const order = next.order?.join(".");
        if (order === undefined || !loggedOrders.has(order)) {
            if (order !== undefined) {
                setBounded(loggedOrders, order, true, maxLoggedOrders);
            }
            logger.error("document-unsupported", {
                document: name,
                order,
                inForce: applied?.order.join("."),
                reason: next.reason,
            });
        }
    };

    const handleStoreValue = (raw: unknown) => {
        try {
            applyIfNewer(raw, DocumentSource.Store);
        } catch (err) {
            reportUnsupported({ order: undefined, reason: getErrorMessage(err) });
        }
    };

    const peerFetch = createPeerFetch({
        name,
        clock,
        random,
        logger,
        transport: options.transport,
        getLatestOrder,
        handleValue: raw => applyIfNewer(raw, DocumentSource.Peer),
    });

    const watchStore = (signal: AbortSignal) =>
        watchPrefix({
            ...options.watch,
            store,
            prefix: key,
            clock,
            random,
            logger,
            signal,
            onObject: object => {
                if (object.key === key) {
                    handleStoreValue(object.value);
                }
            },
        });

    options.exchange.add({
        name,
        getLatestOrder,
        getLatestValue: () => latest?.value,
        handlePeerOrder: (peerAddress, order) => peerFetch.recordAnnouncement(peerAddress, order),
    });

    return {
        current: () => applied?.value,
        status: () => ({ order: applied?.order, source: applied?.source, unsupported }),
        onChange: listener => {
            listeners.add(listener);
            return () => void listeners.delete(listener);
        },
        applyLocal: raw => applyIfNewer(raw, DocumentSource.Local),
        handlePeerOrder: (peerAddress, order) => peerFetch.recordAnnouncement(peerAddress, order),
        run: async signal => {
            await Promise.all([watchStore(signal), peerFetch.run(signal)]);
        },
    };
}
