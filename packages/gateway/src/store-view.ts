/** What the store says of backend servers and evacuated zones; a peer's view serves until the store has been read. */
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
    /** What is not known yet, neither from the store nor from a peer, or undefined. */
    notReadyReason(): string | undefined;
}

/** Time in milliseconds after the return of the store in which servers write entries again that lapsed meanwhile. */
const lapsedEntriesMs = 2000;

export function createStoreView(options: StoreViewOptions): StoreView {
    const { clock, logger, table, signal } = options;
    const readPrefixes = new Set<string>();

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
        refreshMs: options.watches.timings(serversPrefix).waitMs,
        setEvacuated,
    });

    const applyServer = (id: string, value: unknown) => {
        peerView.forgetServer(id);
        const record = decodeServer(id, value);
        if (record === undefined) {
            logger.warn("server-rejected", {
                server: id,
                reason: "the entry does not have the documented shape",
            });
            table.remove(id);
            return;
        }
        table.apply(record, readPrefixes.has(serversPrefix));
    };

    const finishList = (prefix: string) => {
        if (readPrefixes.has(prefix)) {
            return;
        }
        readPrefixes.add(prefix);
        logger.info("store-read", { prefix, servers: table.all().length });
        peerView.removeUnconfirmed(prefix);
    };

    const follow = (
        prefix: string,
        onObject: (name: string, value: unknown) => void,
        onDeleted: (name: string) => void,
    ) =>
        watchPrefix({
            ...options.watches.watch(prefix),
            store: options.store,
            prefix,
            clock,
            random: options.random,
            logger,
            signal,
            removalGraceMs: lapsedEntriesMs,
            onObject: ({ key, value }) => onObject(nameOf(key), value),
            onDeleted: key => onDeleted(nameOf(key)),
            onListed: () => finishList(prefix),
        });

    const followEvacuations = () =>
        follow(
            evacuationsPrefix,
            zone => {
                peerView.forgetZone(zone);
                setEvacuated(zone, true);
            },
            zone => setEvacuated(zone, false),
        );

    const isComplete = () => readPrefixes.size === 2;

    return {
        run: async () => {
            await Promise.all([
                follow(serversPrefix, applyServer, id => table.remove(id)),
                followEvacuations(),
                peerView.run(),
            ]);
        },
        notReadyReason: () => (isComplete() || peerView.hasView() ? undefined : "no list of backend servers"),
    };
}
