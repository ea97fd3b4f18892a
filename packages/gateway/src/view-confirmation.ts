/**
 * Lets peers confirm that the configuration of this instance is the latest one, while the store does not: the store may
 * reject single instances, also one that has just started.
 */
import { compareOrders, orderSchema } from "@waxwingdale/config";
import type { DocumentExchange, Order } from "@waxwingdale/config";
import { MemberStatus, getErrorMessage } from "@waxwingdale/core";
import type {
    ElapsedClock,
    Logger,
    Member,
    MemberView,
    PeerTransport,
    Random,
    RpcRegistry,
} from "@waxwingdale/core";
import * as v from "valibot";

export interface ViewConfirmationOptions {
    exchange: DocumentExchange;
    /** Name of the confirmed document. */
    documentName: string;
    members: () => MemberView;
    transport: PeerTransport;
    rpc: RpcRegistry;
    /** Clock of the view, which counts suspensions. */
    clock: ElapsedClock;
    random: Random;
    logger: Logger;
    signal: AbortSignal;
    /** Clock time up to which this instance's view is complete. */
    asOf: () => number | undefined;
    /** Whether the view is so old that peers are asked. */
    isNeeded: () => boolean;
    /** Called with the clock time up to which the view is complete according to a peer. */
    onConfirmed: (asOf: number) => void;
}

export interface ViewConfirmation {
    /** Asks peers while it is needed, until the signal aborts. */
    run(): Promise<void>;
}

/** JSON-RPC method that returns the order of an instance's latest value and the age of its view. */
const ageMethod = "config.age";
/** Interval in milliseconds at which it is checked whether a confirmation is needed, and of the calls. */
const intervalMs = 300;
/** Timeout of a call in milliseconds: several round trips between regions. */
const timeoutMs = 800;
/** Result of `config.age`; the age is absent if the view is incomplete. */
const resultSchema = v.object({
    order: v.optional(orderSchema),
    ageMs: v.optional(v.pipe(v.number(), v.minValue(0))),
});

/** Creates the confirmation and registers the RPC method that confirms the views of peers. */
export function createViewConfirmation(options: ViewConfirmationOptions): ViewConfirmation {
    const { exchange, documentName, transport, clock, random, logger, signal } = options;

    let lastPeer: string | undefined;

    const getOrder = (): Order | undefined => exchange.getDigest()[documentName];

    options.rpc.addMethod(ageMethod, () => {
        const now = clock.now();
        const asOf = options.asOf();
        const isKnown = asOf !== undefined && asOf >= clock.resumedAt();
        return { order: getOrder(), ageMs: isKnown ? Math.max(0, now - asOf) : undefined };
    });

    /** Picks a random live peer, not the previous one if there are several. */
    const pickPeer = (): Member | undefined => {
        const view = options.members();
        const peers = view
            .members()
            .filter(({ id, status }) => id !== view.self().id && status === MemberStatus.Live);
        const others = peers.length > 1 ? peers.filter(({ id }) => id !== lastPeer) : peers;
        const peer = others[Math.floor(random() * others.length)];
        lastPeer = peer?.id;
        return peer;
    };

    const askPeer = async ({ id, peerAddress }: Member) => {
        const sentAt = clock.now();
        try {
            const response = await transport.call<unknown>(peerAddress, ageMethod, {}, timeoutMs);
            const { order, ageMs } = v.parse(resultSchema, response);
            if (compareOrders(order, getOrder()) > 0) {
                exchange.handlePeerDigest(peerAddress, { [documentName]: order });
            } else if (ageMs !== undefined && order !== undefined) {
                options.onConfirmed(sentAt - ageMs);
            }
        } catch (err) {
            logger.warn("view-confirmation-failed", { peer: id, error: getErrorMessage(err) });
        }
    };

    return {
        run: async () => {
            while (!signal.aborted) {
                const peer = options.isNeeded() ? pickPeer() : undefined;
                if (peer !== undefined) {
                    await askPeer(peer);
                }
                await clock.sleep(intervalMs, signal);
            }
        },
    };
}
