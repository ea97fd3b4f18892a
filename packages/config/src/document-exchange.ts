/** Exchange of documents between peers: digests in gossip, and values on request. */
import type { Logger, RpcRegistry } from "@waxwingdale/core";
import * as v from "valibot";
import { compareOrders, orderSchema } from "./order.js";
import type { Order } from "./order.js";
import { fetchMethod } from "./peer-fetch.js";

/** A document that is exchanged with peers. */
export interface ExchangedDocument {
    name: string;
    /** Returns the order of the latest value that this process can serve. */
    getLatestOrder(): Order | undefined;
    /** Returns the latest value in its stored format. */
    getLatestValue(): unknown;
    handlePeerOrder(peerAddress: string, order: Order): void;
}

/** Order of each document, by name. */
export type DocumentDigest = Record<string, number[]>;

export interface DocumentExchange {
    add(document: ExchangedDocument): void;
    /** Returns the digest to send in each gossip exchange. */
    getDigest(): DocumentDigest;
    /** Handles the digest of a peer, and fetches the values that are newer there. */
    handlePeerDigest(peerAddress: string, digest: unknown): void;
}

export interface DocumentExchangeOptions {
    registry: RpcRegistry;
    logger: Logger;
}

const digestSchema = v.record(v.string(), v.unknown());
const paramsSchema = v.object({ name: v.string(), after: v.optional(v.array(v.number()), []) });

/** Creates the document exchange of a process and registers its JSON-RPC method. */
export function createDocumentExchange(options: DocumentExchangeOptions): DocumentExchange {
    const { registry, logger } = options;
    const documents = new Map<string, ExchangedDocument>();

    registry.addMethod(fetchMethod, params => {
        const { name, after } = v.parse(paramsSchema, params);
        const document = documents.get(name);
        const isNewer = document !== undefined && compareOrders(document.getLatestOrder(), after) > 0;
        return isNewer ? { value: document.getLatestValue() } : {};
    });

    return {
        add: document => {
            documents.set(document.name, document);
        },
        getDigest: () => {
            const digest: DocumentDigest = {};
            for (const document of documents.values()) {
                const order = document.getLatestOrder();
                if (order !== undefined) {
                    digest[document.name] = [...order];
                }
            }
            return digest;
        },
        handlePeerDigest: (peerAddress, digest) => {
            const parsed = v.safeParse(digestSchema, digest);
            for (const [name, order] of Object.entries(parsed.success ? parsed.output : {})) {
                const parsedOrder = v.safeParse(orderSchema, order);
                if (parsedOrder.success) {
                    documents.get(name)?.handlePeerOrder(peerAddress, parsedOrder.output);
                } else {
                    logger.warn("document-digest-invalid", { peer: peerAddress, document: name });
                }
            }
            if (!parsed.success) {
                logger.warn("document-digest-invalid", { peer: peerAddress });
            }
        },
    };
}
