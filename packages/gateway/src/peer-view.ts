/**
 * View of backend servers and evacuated zones obtained from peers. An instance serves requests based on it and keeps
 * refreshing it until it has read the store.
 */
import { ServerPhase } from "@waxwingdale/balancing";
import type { BackendTable, ServerRecord } from "@waxwingdale/balancing";
import { addressSchema, getErrorMessage } from "@waxwingdale/core";
import type {
    Clock,
    Logger,
    Member,
    MemberView,
    PeerTransport,
    Random,
    RpcRegistry,
} from "@waxwingdale/core";
import { evacuationsPrefix, serversPrefix } from "@waxwingdale/platform";
import * as v from "valibot";

export interface PeerViewOptions {
    clock: Clock;
    random: Random;
    logger: Logger;
    signal: AbortSignal;
    table: BackendTable;
    members: () => MemberView;
    transport: PeerTransport;
    rpc: RpcRegistry;
    /** Whether this instance has read a prefix of the store. */
    hasRead: (prefix: string) => boolean;
    /** Age in milliseconds of this instance's view of the store. */
    ageMs: () => number;
    /**
     * Era of the store that this instance's view belongs to; undefined while the view has more than the store, which has just
     * come back from an older copy.
     */
    era: () => number | undefined;
    /** Time in milliseconds after which a peer's view is requested again. */
    refreshMs: number;
    setEvacuated: (zone: string, isEvacuated: boolean) => void;
}

export interface PeerView {
    /** Queries peers until the store has been read. */
    run(): Promise<void>;
    /** Whether a peer has returned its view. */
    hasView(): boolean;
    /** Era of the latest view, as its peer has stated it. */
    era(): number | undefined;
    /** Marks a server as known from the store, no longer from peers only. */
    forgetServer(id: string): void;
    /** Marks an evacuated zone likewise. */
    forgetZone(zone: string): void;
    /** Removes what only peers have reported for a prefix, once the store has been read. */
    removeUnconfirmed(prefix: string): void;
}

/** JSON-RPC method that returns a peer's view. */
const viewMethod = "backends.view";
/** Time in milliseconds that the store has to respond after startup before a peer is queried. */
const firstQueryDelayMs = 700;
/** Delay in milliseconds before the next peer is queried; a peer that is starting as well has no view yet. */
const queryIntervalMs = 400;
/** Timeout of a query in milliseconds: several round trips between regions. */
const queryTimeoutMs = 1000;

const recordSchema = v.object({
    id: v.string(),
    startedAt: v.number(),
    service: v.string(),
    address: addressSchema,
    zone: v.string(),
    slots: v.number(),
    phase: v.enum(ServerPhase),
    coldRemainingMs: v.number(),
});
/** Result of `backends.view`; empty if the peer itself has not read the store yet. */
const viewSchema = v.object({
    servers: v.optional(v.array(recordSchema)),
    evacuatedZones: v.optional(v.array(v.string()), []),
    /** Age of the peer's view in milliseconds. */
    ageMs: v.optional(v.number(), 0),
    era: v.optional(v.number()),
});

/** Creates the view and registers the RPC method that returns this instance's own view to peers. */
export function createPeerView(options: PeerViewOptions): PeerView {
    const { clock, logger, table, signal, hasRead, setEvacuated } = options;
    /** Servers and zones that only peers have reported. */
    const servers = new Set<string>();
    const zones = new Set<string>();
    /** Clock time as of which the view is complete. */
    let viewAsOf: number | undefined;
    let viewEra: number | undefined;
    let lastPeer: string | undefined;

    const isComplete = () => hasRead(serversPrefix) && hasRead(evacuationsPrefix);

    const applyServers = (records: readonly ServerRecord[]) => {
        const reportedIds = new Set(records.map(({ id }) => id));
        for (const id of [...servers].filter(other => !reportedIds.has(other))) {
            servers.delete(id);
            table.remove(id);
        }
        for (const record of records) {
            if (servers.has(record.id) || table.find(record.id) === undefined) {
                servers.add(record.id);
                table.apply(record, false);
            }
        }
    };

    const applyZones = (evacuated: readonly string[]) => {
        for (const zone of [...zones].filter(other => !evacuated.includes(other))) {
            zones.delete(zone);
            setEvacuated(zone, false);
        }
        for (const zone of evacuated.filter(other => !zones.has(other))) {
            zones.add(zone);
            setEvacuated(zone, true);
        }
    };

    /** Applies a view if it is newer than the previous one. Returns whether it was applied. */
    const applyView = (result: unknown, requestedAt: number): boolean => {
        const view = v.parse(viewSchema, result);
        const asOf = requestedAt - view.ageMs;
        if (view.servers === undefined || asOf <= (viewAsOf ?? -Infinity)) {
            return false;
        }
        viewAsOf = asOf;
        viewEra = view.era;
        if (!hasRead(serversPrefix)) {
            applyServers(view.servers);
        }
        if (!hasRead(evacuationsPrefix)) {
            applyZones(view.evacuatedZones);
        }
        return true;
    };

    /** Picks a random peer that is ready, not the previous one if there are several. */
    const pickPeer = (): Member | undefined => {
        const view = options.members();
        const peers = view.members().filter(({ id, ready }) => ready && id !== view.self().id);
        const others = peers.length > 1 ? peers.filter(({ id }) => id !== lastPeer) : peers;
        const peer = others[Math.floor(options.random() * others.length)];
        lastPeer = peer?.id;
        return peer;
    };

    /** Queries one peer. Returns whether its view was newer. */
    const queryPeer = async (): Promise<boolean> => {
        const peer = pickPeer();
        if (peer === undefined) {
            return false;
        }
        const requestedAt = clock.now();
        try {
            const result = await options.transport.call(peer.peerAddress, viewMethod, {}, queryTimeoutMs);
            if (signal.aborted || !applyView(result, requestedAt)) {
                return false;
            }
            const ageMs = Math.round(clock.now() - viewAsOf!);
            logger.info("view-from-peer", { peer: peer.id, servers: servers.size, ageMs });
            return true;
        } catch (err) {
            logger.warn("view-from-peer-failed", { peer: peer.id, error: getErrorMessage(err) });
            return false;
        }
    };

    options.rpc.addMethod(viewMethod, () => {
        if (!isComplete()) {
            return {};
        }
        const now = clock.now();
        const records = table.all().map(({ record, isLeaving, coldUntil }): ServerRecord => ({
            ...record,
            phase: isLeaving ? ServerPhase.Draining : ServerPhase.Ready,
            coldRemainingMs: Math.max(0, coldUntil - now),
        }));
        return {
            servers: records,
            evacuatedZones: table.evacuatedZones(),
            ageMs: options.ageMs(),
            era: options.era(),
        };
    });

    return {
        run: async () => {
            await clock.sleep(firstQueryDelayMs, signal);
            while (!isComplete() && !signal.aborted) {
                const isNewer = await queryPeer();
                await clock.sleep(isNewer ? options.refreshMs : queryIntervalMs, signal);
            }
        },
        hasView: () => viewAsOf !== undefined,
        era: () => viewEra,
        forgetServer: id => void servers.delete(id),
        forgetZone: zone => void zones.delete(zone),
        removeUnconfirmed: prefix => {
            if (prefix === serversPrefix) {
                servers.forEach(id => table.remove(id));
            } else {
                zones.forEach(zone => setEvacuated(zone, false));
            }
        },
    };
}
