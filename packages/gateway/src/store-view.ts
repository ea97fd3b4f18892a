/** What the store says of backend servers and evacuated zones; a peer's view serves until the store has been read. */
import { ServerPhase } from "@waxwingdale/balancing";
import type { BackendTable, ServerRecord } from "@waxwingdale/balancing";
import { getErrorMessage } from "@waxwingdale/core";
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
import * as v from "valibot";
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
    missing(): string | undefined;
}

/** JSON-RPC method by which a peer hands out its view. */
const viewMethod = "backends.view";
/** Time in milliseconds that the store has after a start before a peer is asked. */
const storeHeadStartMs = 700;
/** Time in milliseconds between two peers that are asked; a peer that starts as well has no view yet. */
const askIntervalMs = 400;
/** Time in milliseconds that a peer has to answer, several round trips between regions. */
const askTimeoutMs = 1000;

/** Time in milliseconds after the return of the store in which servers write entries again that lapsed meanwhile. */
const lapsedEntriesMs = 2000;

const recordSchema = v.object({
    id: v.string(),
    startedAt: v.number(),
    service: v.string(),
    address: v.string(),
    zone: v.string(),
    slots: v.number(),
    phase: v.enum(ServerPhase),
    coldRemainingMs: v.number(),
});
/** Result of `backends.view`; empty while the peer itself has not read the store. */
const viewSchema = v.object({
    servers: v.optional(v.array(recordSchema)),
    evacuatedZones: v.optional(v.array(v.string())),
});

export function createStoreView(options: StoreViewOptions): StoreView {
    const { clock, logger, table, signal } = options;
    const readPrefixes = new Set<string>();
    /** Names that only a peer has told of; the first list of the store decides about them. */
    const fromPeer = { servers: new Set<string>(), zones: new Set<string>() };
    let hasPeerView = false;

    const setEvacuated = (zone: string, isEvacuated: boolean) => {
        logger.info("zone-evacuation", { zone, isEvacuated });
        table.setEvacuated(zone, isEvacuated);
    };

    const applyServer = (id: string, value: unknown) => {
        fromPeer.servers.delete(id);
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
        if (prefix === serversPrefix) {
            fromPeer.servers.forEach(id => table.remove(id));
        } else {
            fromPeer.zones.forEach(zone => setEvacuated(zone, false));
        }
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
            absentGraceMs: lapsedEntriesMs,
            onObject: ({ key, value }) => onObject(nameOf(key), value),
            onDeleted: key => onDeleted(nameOf(key)),
            onListed: () => finishList(prefix),
        });

    const followEvacuations = () =>
        follow(
            evacuationsPrefix,
            zone => {
                fromPeer.zones.delete(zone);
                setEvacuated(zone, true);
            },
            zone => setEvacuated(zone, false),
        );

    const isComplete = () => readPrefixes.size === 2;

    const takePeerView = (result: unknown): boolean => {
        const { servers, evacuatedZones } = v.parse(viewSchema, result);
        if (servers === undefined || isComplete()) {
            return false;
        }
        for (const record of servers) {
            if (table.find(record.id) === undefined) {
                fromPeer.servers.add(record.id);
                table.apply(record, false);
            }
        }
        for (const zone of evacuatedZones ?? []) {
            fromPeer.zones.add(zone);
            setEvacuated(zone, true);
        }
        return true;
    };

    const askPeer = async () => {
        const view = options.members();
        const others = view.members().filter(({ id, ready }) => ready && id !== view.self().id);
        const peer = others[Math.floor(options.random() * others.length)];
        if (peer === undefined) {
            return;
        }
        try {
            hasPeerView = takePeerView(
                await options.transport.call(peer.peerAddress, viewMethod, {}, askTimeoutMs),
            );
            if (hasPeerView) {
                logger.info("view-from-peer", { peer: peer.id, servers: fromPeer.servers.size });
            }
        } catch (err) {
            logger.warn("view-from-peer-failed", { peer: peer.id, error: getErrorMessage(err) });
        }
    };

    /** A store that is away must not keep an instance from serving by what its peers know. */
    const askPeers = async () => {
        await clock.sleep(storeHeadStartMs, signal);
        while (!isComplete() && !hasPeerView && !signal.aborted) {
            await askPeer();
            await clock.sleep(askIntervalMs, signal);
        }
    };

    options.rpc.addMethod(viewMethod, () => {
        if (!isComplete()) {
            return {};
        }
        const now = clock.now();
        const toRecord = ({
            record,
            isLeaving,
            coldUntil,
        }: ReturnType<BackendTable["all"]>[number]): ServerRecord => ({
            ...record,
            phase: isLeaving ? ServerPhase.Draining : ServerPhase.Ready,
            coldRemainingMs: Math.max(0, coldUntil - now),
        });
        return { servers: table.all().map(toRecord), evacuatedZones: table.evacuatedZones() };
    });

    return {
        run: async () => {
            await Promise.all([
                follow(serversPrefix, applyServer, id => table.remove(id)),
                followEvacuations(),
                askPeers(),
            ]);
        },
        missing: () => (isComplete() || hasPeerView ? undefined : "no list of backend servers"),
    };
}
