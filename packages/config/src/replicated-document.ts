/** A document that lasts in one store object and spreads between peers. Its order in force only grows. */
import { getErrorMessage } from "@waxwingdale/core";
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
    /** Reads the order of a stored value; throws when the value has none. */
    getOrder: (value: unknown) => Order;
    /**
     * Turns a stored value into the form in which it is applied.
     * @throws UnsupportedDocumentError when this release cannot apply the value; any other error means an invalid value
     */
    parse: (value: unknown) => Value;
    /** Times of the watch, and what is called when the store is lost or answers again. */
    watch?: WatchSettings;
}

/** A value of greater order than the one in force that this process cannot apply. */
export interface UnsupportedValue {
    /** Undefined when even the order is not readable. */
    order: Order | undefined;
    reason: string;
}

export interface DocumentStatus {
    /** Order in force; undefined before the first value. */
    order: Order | undefined;
    source: DocumentSource | undefined;
    unsupported: UnsupportedValue | undefined;
}

export interface ReplicatedDocument<Value> {
    /** The value in force; undefined before the first one. */
    current(): Value | undefined;
    status(): DocumentStatus;
    /** Calls `listener` after each change of the value in force. Returns a function that removes it. */
    onChange(listener: (value: Value) => void): () => void;
    /** Takes a value that this process has itself written to the store, without waiting for the watch. */
    applyLocal(value: unknown): void;
    /** Notes that a peer has a value of this order. */
    handlePeerOrder(peerAddress: string, order: Order): void;
    /** Follows the store and the peers until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

interface Applied<Value> {
    order: Order;
    value: Value;
    source: DocumentSource;
}

interface Held {
    order: Order;
    value: unknown;
}

/** Creates a document without a value and adds it to the exchange. */
export function createReplicatedDocument<Value>(
    options: ReplicatedDocumentOptions<Value>,
): ReplicatedDocument<Value> {
    const { name, key, store, clock, random, logger } = options;
    const listeners = new Set<(value: Value) => void>();
    let applied: Applied<Value> | undefined;
    /** The newest value as read. An entry hands out a value that it cannot apply itself to peers that can. */
    let held: Held | undefined;
    let unsupported: UnsupportedValue | undefined;

    const getHeldOrder = () => held?.order;

    const readOrder = (value: unknown): Order => {
        try {
            return v.parse(orderSchema, options.getOrder(value));
        } catch (err) {
            throw new InvalidDocumentError(`a value of document ${name} has no readable order`, {
                cause: err,
            });
        }
    };

    const hold = (order: Order, value: unknown) => {
        if (compareOrders(order, held?.order) > 0) {
            held = { order, value };
        }
    };

    const notify = (value: Value) => {
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
        notify(value);
    };

    /** Applies a value of greater order than the one in force and ignores any other. */
    const offer = (raw: unknown, source: DocumentSource) => {
        const order = readOrder(raw);
        if (compareOrders(order, applied?.order) <= 0) {
            return;
        }
        let value: Value;
        try {
            value = options.parse(raw);
        } catch (err) {
            // What the store holds was accepted, so it counts even if this release finds it invalid.
            if (source !== DocumentSource.Store && !(err instanceof UnsupportedDocumentError)) {
                throw new InvalidDocumentError(`a value of document ${name} is not valid`, { cause: err });
            }
            hold(order, raw);
            reportUnsupported({ order, reason: getErrorMessage(err) });
            return;
        }
        hold(order, raw);
        apply(order, value, source);
    };

    const reportUnsupported = (next: UnsupportedValue) => {
        if (unsupported === undefined || compareOrders(next.order, unsupported.order) > 0) {
            unsupported = next;
            logger.error("document-unsupported", {
                document: name,
                order: next.order?.join("."),
                inForce: applied?.order.join("."),
                reason: next.reason,
            });
        }
    };

    const takeFromStore = (raw: unknown) => {
        try {
            offer(raw, DocumentSource.Store);
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
        getHeldOrder,
        take: raw => offer(raw, DocumentSource.Peer),
    });

    const followStore = (signal: AbortSignal) =>
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
                    takeFromStore(object.value);
                }
            },
        });

    options.exchange.add({
        name,
        getLatestOrder: getHeldOrder,
        getLatestValue: () => held?.value,
        handlePeerOrder: (peerAddress, order) => peerFetch.note(peerAddress, order),
    });

    return {
        current: () => applied?.value,
        status: () => ({ order: applied?.order, source: applied?.source, unsupported }),
        onChange: listener => {
            listeners.add(listener);
            return () => void listeners.delete(listener);
        },
        applyLocal: raw => offer(raw, DocumentSource.Local),
        handlePeerOrder: (peerAddress, order) => peerFetch.note(peerAddress, order),
        run: async signal => {
            await Promise.all([followStore(signal), peerFetch.run(signal)]);
        },
    };
}
