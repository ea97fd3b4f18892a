/** Shares the links between regions between the entries of a region, and paces bulk traffic on them. */
import type {
    Clock,
    LinkShaper as LinkShaperContract,
    Logger,
    MemberView,
    PeerTransport,
    RpcRegistry,
} from "@waxwingdale/core";
import * as v from "valibot";
import { createLinkBucket } from "./link-bucket.js";
import type { LinkBucket } from "./link-bucket.js";
import { createLinkShares } from "./link-shares.js";

/** A link from the own region. */
export interface Link {
    to: string;
    megabitsPerSecond: number;
    /** Share of the link kept free of bulk traffic. */
    reservedShare: number;
}

export interface LinkShaperConfig {
    /**
     * Interval at which entries tell each other their demand.
     * @default 250
     */
    exchangeIntervalMs: number;
    /**
     * Time for which a part of a share is lent.
     * @default 1000
     */
    leaseMs: number;
    /**
     * Time that the lender waits after the end of a lease. Longer than `exchangeMs`, at which the borrower notices.
     * @default 300
     */
    leaseMarginMs: number;
    /**
     * Time in which an unused share fills the bucket. Bounds bursts.
     * @default 20
     */
    burstMs: number;
    /**
     * Time after which the share of a vanished entry is used by the others.
     * @default 5000
     */
    takeoverDelayMs: number;
}

export const defaultLinkShaperConfig: Readonly<LinkShaperConfig> = {
    exchangeIntervalMs: 250,
    leaseMs: 1000,
    leaseMarginMs: 300,
    burstMs: 20,
    takeoverDelayMs: 5000,
};

export interface LinkShaperOptions {
    view: MemberView;
    transport: PeerTransport;
    rpc: RpcRegistry;
    /** Current links from the own region. */
    links: () => readonly Link[];
    clock: Clock;
    logger: Logger;
    /** @default defaultLinkShaperConfig */
    cfg?: Partial<LinkShaperConfig>;
}

export interface LinkShaperState {
    to: string;
    /** Rate that this entry may use now. */
    megabitsPerSecond: number;
    /** Part of the capacity, from 0 to 1. */
    share: number;
    waitingBytes: number;
    sentBytes: number;
}

export interface LinkShaper extends LinkShaperContract {
    state(): LinkShaperState[];
    close(): void;
}

const shareSchema = v.object({
    run: v.number(),
    seq: v.number(),
    /** Parts of the capacity that the sender lacks. */
    wanted: v.array(v.object({ to: v.string(), amount: v.pipe(v.number(), v.minValue(0)) })),
});
type ShareMessage = v.InferOutput<typeof shareSchema>;

interface ShareResponse {
    /** The answering entry counts the sender in its own share. */
    isCounted: boolean;
    lent: { to: string; amount: number }[];
}

/**
 * Largest part of a body that a sender should ask for at once. Parts of several entries meet on the link, and a
 * look-up waits behind each of them.
 */
export const maxLinkChunkBytes = 16_384;

/** Converts megabits per second to bytes per millisecond. */
const toBytesPerMs = (megabits: number) => (megabits * 1e6) / 8 / 1000;
/** An entry keeps this many times its own demand when it lends. */
const ownDemandFactor = 1.25;
/** Least time between two calculations of the shares that requests cause. */
const minRefreshIntervalMs = 50;

/** @throws the abort reason from `take` when its signal aborts */
export function createLinkShaper(options: LinkShaperOptions): LinkShaper {
    const { view, transport, clock, logger } = options;
    const cfg: LinkShaperConfig = { ...defaultLinkShaperConfig, ...options.cfg };
    const shares = createLinkShares({ ...cfg, view, clock });
    const buckets = new Map<string, LinkBucket>();
    /** Demand on each link as a part of its capacity. */
    const demands = new Map<string, number>();
    const lastSeen = new Map<string, { run: number; seq: number }>();
    const run = clock.wallTime();
    let seq = 0;
    let lastExchangeAt = clock.now();
    let lastAppliedAt = clock.now();
    let isClosed = false;

    const findLink = (to: string) => options.links().find(link => link.to === to);

    const bucketOf = (link: Link) => {
        let bucket = buckets.get(link.to);
        if (!bucket) {
            bucket = createLinkBucket({ clock, reservedShare: link.reservedShare, burstMs: cfg.burstMs });
            buckets.set(link.to, bucket);
        }
        return bucket;
    };

    const applyShares = () => {
        checkPause();
        lastAppliedAt = clock.now();
        shares.refresh();
        for (const link of options.links()) {
            bucketOf(link).setRate(shares.share(link.to) * toBytesPerMs(link.megabitsPerSecond));
        }
    };

    /** Peers may use the share of an entry that stood still for long. */
    const checkPause = () => {
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
            demands.set(link.to, bucketOf(link).takeDemand() / capacity);
        }
    };

    const listWanted = () =>
        options
            .links()
            .map(({ to }) => ({ to, amount: (demands.get(to) ?? 0) - shares.share(to) }))
            .filter(({ amount }) => amount > 0);

    const ask = async (peer: string, address: string, msg: ShareMessage, sentAt: number, start: number) => {
        try {
            const answer = await transport.call<ShareResponse>(address, "links.share", msg, cfg.leaseMs);
            if (answer.isCounted) {
                shares.confirm(peer, start);
            }
            for (const { to, amount } of answer.lent) {
                shares.borrow(to, amount, sentAt + cfg.leaseMs);
            }
            applyShares();
        } catch {
            // The next exchange asks again; a part that was lent in vain goes back at the end of its lease.
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
        const wanted = listWanted().map(({ to, amount }) => ({
            to,
            amount: amount / Math.max(1, peers.length),
        }));
        const msg = { run, seq: ++seq, wanted };
        for (const { id, peerAddress } of peers) {
            void ask(id, peerAddress, msg, now, shares.start());
        }
        clock.setTimer(cfg.exchangeIntervalMs, exchange);
    };

    options.rpc.addMethod("links.share", (params, from): ShareResponse => {
        applyShares();
        const msg = v.parse(shareSchema, params);
        const last = lastSeen.get(from);
        const isRepeated = last !== undefined && last.run === msg.run && msg.seq <= last.seq;
        const lent: ShareResponse["lent"] = [];
        if (!isRepeated) {
            lastSeen.set(from, { run: msg.run, seq: msg.seq });
            for (const { to, amount } of msg.wanted) {
                const given = shares.lend(to, amount, ownDemandFactor * (demands.get(to) ?? 0));
                if (given > 0) {
                    lent.push({ to, amount: given });
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
            return bucketOf(link).take(requestClass, bytes, signal);
        },
        state: () =>
            options.links().map(link => ({
                to: link.to,
                share: shares.share(link.to),
                megabitsPerSecond: shares.share(link.to) * link.megabitsPerSecond,
                waitingBytes: bucketOf(link).waitingBytes(),
                sentBytes: bucketOf(link).sentBytes(),
            })),
        close: () => {
            isClosed = true;
            stopListening();
        },
    };
}
