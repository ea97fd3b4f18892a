/** Divides the links between regions among the entries of a region, and paces bulk traffic on them. */
import type {
    Clock,
    LinkShaper as BaseLinkShaper,
    Logger,
    MemberView,
    PeerTransport,
    RpcRegistry,
} from "@waxwingdale/core";
import * as v from "valibot";
import { createLinkBucket } from "./link-bucket.js";
import type { LinkBucket } from "./link-bucket.js";
import { createLinkShares } from "./link-shares.js";

/** A link from the local region to another one. */
export interface Link {
    to: string;
    megabitsPerSecond: number;
    /** Fraction of the link that bulk traffic cannot use. */
    reservedShare: number;
}

export interface LinkShaperConfig {
    /**
     * Interval at which entries exchange their demand.
     * @default 250
     */
    exchangeIntervalMs: number;
    /**
     * Time for which part of a share is lent.
     * @default 1000
     */
    loanMs: number;
    /**
     * Time that the lender waits after a loan has ended. Must exceed `exchangeIntervalMs`, the interval at which the
     * borrower notices the end.
     * @default 300
     */
    loanMarginMs: number;
    /**
     * Time in which an unused share fills the bucket. Bounds bursts.
     * @default 20
     */
    burstMs: number;
    /**
     * Time after which the other entries use the share of a failed entry.
     * @default 5000
     */
    takeoverDelayMs: number;
}

export const defaultLinkShaperConfig: Readonly<LinkShaperConfig> = {
    exchangeIntervalMs: 250,
    loanMs: 1000,
    loanMarginMs: 300,
    burstMs: 20,
    takeoverDelayMs: 5000,
};

export interface LinkShaperOptions {
    view: MemberView;
    transport: PeerTransport;
    rpc: RpcRegistry;
    /** Current links from the local region. */
    links: () => readonly Link[];
    clock: Clock;
    logger: Logger;
    /** @default defaultLinkShaperConfig */
    cfg?: Partial<LinkShaperConfig>;
}

export interface LinkShaperState {
    to: string;
    /** Rate that this entry may currently use. */
    megabitsPerSecond: number;
    /** Fraction of the link's capacity, from 0 to 1. */
    share: number;
    waitingBytes: number;
    sentBytes: number;
}

export interface LinkShaper extends BaseLinkShaper {
    state(): LinkShaperState[];
    close(): void;
}

const shareSchema = v.object({
    run: v.number(),
    seq: v.number(),
    /** Fractions of the capacity that the sender needs in addition to its share. */
    wanted: v.array(v.object({ to: v.string(), amount: v.pipe(v.number(), v.minValue(0)) })),
});
type ShareMessage = v.InferOutput<typeof shareSchema>;

interface ShareResponse {
    /** Whether the responder reserves a share for the sender. */
    isCounted: boolean;
    lent: { to: string; amount: number }[];
}

/**
 * Largest chunk of a body that a sender should request at a time. Chunks from several entries queue up on the link,
 * and a lookup waits behind each of them.
 */
export const maxLinkChunkBytes = 16_384;

/** Converts megabits per second to bytes per millisecond. */
const toBytesPerMs = (megabits: number) => (megabits * 1e6) / 8 / 1000;
/** When an entry lends, it keeps its own demand times this factor. */
const ownDemandFactor = 1.25;
/** Minimum time between two recalculations of the shares that are triggered by requests. */
const minRefreshIntervalMs = 50;

/** @throws the abort reason, from `take`, if its signal is aborted */
export function createLinkShaper(options: LinkShaperOptions): LinkShaper {
    const { view, transport, clock, logger } = options;
    const cfg: LinkShaperConfig = { ...defaultLinkShaperConfig, ...options.cfg };
    const shares = createLinkShares({ ...cfg, view, clock });
    const buckets = new Map<string, LinkBucket>();
    /** Demand on each link as a fraction of its capacity. */
    const demands = new Map<string, number>();
    const lastReceived = new Map<string, { run: number; seq: number }>();
    const run = clock.wallTime();
    let seq = 0;
    let lastExchangeAt = clock.now();
    let lastAppliedAt = clock.now();
    let isClosed = false;

    const findLink = (to: string) => options.links().find(link => link.to === to);

    const getBucket = (link: Link) => {
        let bucket = buckets.get(link.to);
        if (!bucket) {
            bucket = createLinkBucket({ clock, reservedShare: link.reservedShare, burstMs: cfg.burstMs });
            buckets.set(link.to, bucket);
        }
        return bucket;
    };

    const applyShares = () => {
        detectPause();
        lastAppliedAt = clock.now();
        shares.refresh();
        for (const link of options.links()) {
            getBucket(link).setRate(shares.share(link.to) * toBytesPerMs(link.megabitsPerSecond));
        }
    };

    /** Detects pauses of the process long enough for peers to have taken over this entry's share. */
    const detectPause = () => {
        const gapMs = clock.now() - lastExchangeAt;
        if (gapMs > cfg.takeoverDelayMs) {
            lastExchangeAt = clock.now();
            logger.warn("links-paused", { gapMs: Math.round(gapMs) });
            shares.reset();
        }
    };

    const measureDemand = (elapsedMs: number) => {
        for (const link of options.links()) {
            const capacity = toBytesPerMs(link.megabitsPerSecond) * Math.max(1, elapsedMs);
            demands.set(link.to, getBucket(link).takeDemand() / capacity);
        }
    };

    const listMissingShares = () =>
        options
            .links()
            .map(({ to }) => ({ to, amount: (demands.get(to) ?? 0) - shares.share(to) }))
            .filter(({ amount }) => amount > 0);

    const exchangeWith = async (
        peer: string,
        address: string,
        msg: ShareMessage,
        sentAt: number,
        epoch: number,
    ) => {
        try {
            const response = await transport.call<ShareResponse>(address, "links.share", msg, cfg.loanMs);
            if (response.isCounted) {
                shares.confirm(peer, epoch);
            }
            for (const { to, amount } of response.lent) {
                shares.borrow(to, amount, sentAt + cfg.loanMs);
            }
            applyShares();
        } catch {
            // The next exchange tries again. If the response was lost, the lent share reverts when the loan ends.
        }
    };

    const exchange = () => {
        if (isClosed) {
            return;
        }
        applyShares();
        const now = clock.now();
        measureDemand(now - lastExchangeAt);
        lastExchangeAt = now;
        const self = view.self();
        const peers = view.liveInRegion(self.region).filter(({ id }) => id !== self.id);
        const wanted = listMissingShares().map(({ to, amount }) => ({
            to,
            amount: amount / Math.max(1, peers.length),
        }));
        const msg = { run, seq: ++seq, wanted };
        for (const { id, peerAddress } of peers) {
            void exchangeWith(id, peerAddress, msg, now, shares.epoch());
        }
        clock.setTimer(cfg.exchangeIntervalMs, exchange);
    };

    options.rpc.addMethod("links.share", (params, from): ShareResponse => {
        applyShares();
        const msg = v.parse(shareSchema, params);
        const last = lastReceived.get(from);
        const isDuplicate = last !== undefined && last.run === msg.run && msg.seq <= last.seq;
        const lent: ShareResponse["lent"] = [];
        if (!isDuplicate) {
            lastReceived.set(from, { run: msg.run, seq: msg.seq });
            for (const { to, amount } of msg.wanted) {
                const lentAmount = shares.lend(to, amount, ownDemandFactor * (demands.get(to) ?? 0));
                if (lentAmount > 0) {
                    lent.push({ to, amount: lentAmount });
                }
            }
            applyShares();
        }
        return { isCounted: shares.hasReservedShareFor(from), lent };
    });

    const stopListening = view.onChange(applyShares);
    exchange();

    return {
        take: (toRegion, requestClass, bytes, signal) => {
            const link = toRegion === view.self().region ? undefined : findLink(toRegion);
            if (!link) {
                return Promise.resolve();
            }
            if (signal?.aborted) {
                return Promise.reject(signal.reason as Error);
            }
            if (clock.now() - lastAppliedAt >= minRefreshIntervalMs) {
                applyShares();
            }
            return getBucket(link).take(requestClass, bytes, signal);
        },
        state: () =>
            options.links().map(link => ({
                to: link.to,
                share: shares.share(link.to),
                megabitsPerSecond: shares.share(link.to) * link.megabitsPerSecond,
                waitingBytes: getBucket(link).waitingBytes(),
                sentBytes: getBucket(link).sentBytes(),
            })),
        close: () => {
            isClosed = true;
            stopListening();
        },
    };
}
