/** Backend servers and evacuated zones from the store, or from a peer's view until the store has been read. */
import { EntryOrigin } from "@waxwingdale/balancing";
import type { BackendTable } from "@waxwingdale/balancing";
import type {
    Clock,
    Logger,
    MemberView,
    ObjectStore,
    PeerTransport,
    Random,
    RpcRegistry,
} from "@waxwingdale/core";
import { decodeServer, evacuationsPrefix, nameOf, serversPrefix } from "@waxwingdale/platform";
import { watchPrefix } from "@waxwingdale/store";
import { createPeerView } from "./peer-view.js";
import type { StoreWatches } from "./store-watches.js";

export interface StoreViewOptions {
    store: ObjectStore;
    watches: StoreWatches;
    clock: Clock;
    random: Random;
    logger: Logger;
    signal: AbortSignal;
    table: BackendTable;
    members: () => MemberView;
    transport: PeerTransport;
    rpc: RpcRegistry;
}

export interface StoreView {
    run(): Promise<void>;
    /** Returns why the view cannot be used yet, or undefined once the store or a peer has provided it. */
    notReadyReason(): string | undefined;
    /** Whether the store, or this view of it, may lack entries that servers have written lately. */
    mayLackEntries(): boolean;
}

/** Time in milliseconds that servers have to rewrite their expired entries once the store has recovered. */
const expiredEntryGraceMs = 2000;
/** A server has that time after each of them: the store's return, and this instance's list. */
const settleMs = 2 * expiredEntryGraceMs;
/**
 * Part of the bound within which removals have to take effect, after which a removal of many entries is confirmed. The rest is
 * for the watch before it and the lists.
 */
const massRemovalFraction = 0.4;
/** Time in milliseconds after the store's return from an older copy in which what it has lost may still matter. */
const lossRelevantMs = 10_000;

export function createStoreView(options: StoreViewOptions): StoreView {
    const { store, clock, logger, table, signal } = options;
    const readPrefixes = new Set<string>();
    /** Clock time at which the store was seen to have come back from an older copy. */
    let returnedAt = -Infinity;
    /** Whether something may be known that the store lacks. */
    const isSettling = () => clock.now() < returnedAt + settleMs;
    /** Whether entries come from the first list after the store's return. */
    let isReadingCopy = false;
    store.onEraChange(() => {
        isReadingCopy = readPrefixes.has(serversPrefix);
        returnedAt = clock.now();
    });

    const setEvacuated = (zone: string, isEvacuated: boolean) => {
        logger.info("zone-evacuation", { zone, isEvacuated });
        table.setEvacuated(zone, isEvacuated);
    };

    const peerView = createPeerView({
        ...options,
        hasRead: prefix => readPrefixes.has(prefix),
        ageMs: () => {
            const ages = options.watches.ages();
            return Math.max(ages.get(serversPrefix) ?? 0, ages.get(evacuationsPrefix) ?? 0);
        },
        era: () => (isSettling() ? undefined : store.era()),
        refreshMs: options.watches.timings(serversPrefix).waitMs,
        setEvacuated,
    });

    const getOrigin = (): EntryOrigin => {
        if (isReadingCopy) {
            return EntryOrigin.OlderCopy;
        }
        return isSettling() ? EntryOrigin.Rewritten : EntryOrigin.Written;
    };

    const applyServer = (id: string, value: unknown) => {
        peerView.forgetServer(id);
        const record = decodeServer(id, value);
        if (record === undefined) {
            logger.warn("server-rejected", {
                server: id,
                reason: "the entry does not match the documented schema",
            });
            table.remove(id);
            return;
        }
        table.apply(record, readPrefixes.has(serversPrefix), getOrigin());
    };

    const recordList = (prefix: string) => {
        isReadingCopy &&= prefix !== serversPrefix;
        if (readPrefixes.has(prefix)) {
            return;
        }
        readPrefixes.add(prefix);
        logger.info("store-read", { prefix, servers: table.all().length });
        if (peerView.era() === store.era()) {
            peerView.removeUnconfirmed(prefix);
        } else {
            void removeUnconfirmedLater(prefix);
        }
    };

    /** The store may have come back from an older copy, which lacks what peers know and what is written again in a moment. */
    const removeUnconfirmedLater = async (prefix: string) => {
        await clock.sleep(expiredEntryGraceMs, signal);
        if (!signal.aborted) {
            peerView.removeUnconfirmed(prefix);
        }
    };

    const watch = (
        prefix: string,
        onObject: (name: string, value: unknown) => void,
        onDeleted: (name: string) => void,
        holdsReappearing: boolean,
    ) =>
        watchPrefix({
            ...options.watches.watch(prefix),
            store,
            prefix,
            clock,
            random: options.random,
            logger,
            signal,
            removalGraceMs: expiredEntryGraceMs,
            massRemovalGraceMs: Math.min(
                expiredEntryGraceMs,
                massRemovalFraction * options.watches.timings(prefix).boundMs,
            ),
            holdsReappearing,
            onObject: ({ key, value }) => onObject(nameOf(key), value),
            onDeleted: key => onDeleted(nameOf(key)),
            onListed: () => recordList(prefix),
        });

    const watchEvacuations = () =>
        watch(
            evacuationsPrefix,
            zone => {
                peerView.forgetZone(zone);
                setEvacuated(zone, true);
            },
            zone => setEvacuated(zone, false),
            // An evacuation that an older copy has again may have been ordered again.
            false,
        );

    const isComplete = () => readPrefixes.size === 2;

    return {
        run: async () => {
            await Promise.all([
                watch(serversPrefix, applyServer, id => table.remove(id), true),
                watchEvacuations(),
                peerView.run(),
            ]);
        },
        mayLackEntries: () =>
            clock.now() < returnedAt + lossRelevantMs ||
            (options.watches.ages().get(serversPrefix) ?? 0) > options.watches.timings(serversPrefix).boundMs,
        notReadyReason: () => (isComplete() || peerView.hasView() ? undefined : "no list of backend servers"),
    };
}
