/** Backend servers and evacuated zones from the store, or from a peer's view until the store has been read. */
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
}

/** Time in milliseconds that servers have to rewrite their expired entries once the store has recovered. */
const expiredEntryGraceMs = 2000;

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
                reason: "the entry does not match the documented schema",
            });
            table.remove(id);
            return;
        }
        table.apply(record, readPrefixes.has(serversPrefix));
    };

    const recordFirstList = (prefix: string) => {
        if (readPrefixes.has(prefix)) {
            return;
        }
        readPrefixes.add(prefix);
        logger.info("store-read", { prefix, servers: table.all().length });
        peerView.removeUnconfirmed(prefix);
    };

    const watch = (
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
            removalGraceMs: expiredEntryGraceMs,
            onObject: ({ key, value }) => onObject(nameOf(key), value),
            onDeleted: key => onDeleted(nameOf(key)),
            onListed: () => recordFirstList(prefix),
        });

    const watchEvacuations = () =>
        watch(
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
                watch(serversPrefix, applyServer, id => table.remove(id)),
                watchEvacuations(),
                peerView.run(),
            ]);
        },
        notReadyReason: () => (isComplete() || peerView.hasView() ? undefined : "no list of backend servers"),
    };
}
