/**
 * What peers know of backend servers and evacuated zones. An instance that has not read the store yet serves by it, and follows
 * it for as long as that lasts.
 */
import { ServerPhase } from "@waxwingdale/balancing";
import type { BackendTable, ServerRecord } from "@waxwingdale/balancing";
import { getErrorMessage } from "@waxwingdale/core";
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
    /** Age in milliseconds of what this instance has read of the store. */
    ageMs: () => number;
    /** Time in milliseconds after which a view of a peer is asked for again. */
    refreshMs: number;
    setEvacuated: (zone: string, isEvacuated: boolean) => void;
}

export interface PeerView {
    /** Asks peers until the store has been read. */
    run(): Promise<void>;
    /** Whether a peer has told what it knows. */
    hasView(): boolean;
    /** Notes that the store tells of a server, which is not the peers' any more. */
    forgetServer(id: string): void;
    /** The same of an evacuated zone. */
    forgetZone(zone: string): void;
    /** Takes back what only peers have told of a prefix, since the store has been read. */
    removeUnconfirmed(prefix: string): void;
}

/** JSON-RPC method by which a peer hands out its view. */
const viewMethod = "backends.view";
/** Time in milliseconds that the store has after a start before a peer is asked. */
const storeHeadStartMs = 700;
/** Time in milliseconds between two peers that are asked; a peer that starts as well has no view yet. */
const askIntervalMs = 400;
/** Time in milliseconds that a peer has to answer, several round trips between regions. */
const askTimeoutMs = 1000;

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
    evacuatedZones: v.optional(v.array(v.string()), []),
    /** Age in milliseconds of what the peer knows. */
    ageMs: v.optional(v.number(), 0),
});

/** Creates the view, and answers peers that ask for this instance's. */
export function createPeerView(options: PeerViewOptions): PeerView {
    const { clock, logger, table, signal, hasRead, setEvacuated } = options;
    /** What only peers have told of. */
    const servers = new Set<string>();
    const zones = new Set<string>();
    /** Time of the clock up to which the view is complete. */
    let currentAt: number | undefined;
    let lastPeer: string | undefined;

    const isComplete = () => hasRead(serversPrefix) && hasRead(evacuationsPrefix);

    const takeServers = (records: readonly ServerRecord[]) => {
        const told = new Set(records.map(({ id }) => id));
        for (const id of [...servers].filter(other => !told.has(other))) {
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

    const takeZones = (evacuated: readonly string[]) => {
        for (const zone of [...zones].filter(other => !evacuated.includes(other))) {
            zones.delete(zone);
            setEvacuated(zone, false);
        }
        for (const zone of evacuated.filter(other => !zones.has(other))) {
            zones.add(zone);
            setEvacuated(zone, true);
        }
    };

    /** Takes a view unless it is older than the one before. Returns whether it was taken. */
    const take = (result: unknown, askedAt: number): boolean => {
        const view = v.parse(viewSchema, result);
        const asOf = askedAt - view.ageMs;
        if (view.servers === undefined || asOf <= (currentAt ?? -Infinity)) {
            return false;
        }
        currentAt = asOf;
        if (!hasRead(serversPrefix)) {
            takeServers(view.servers);
        }
        if (!hasRead(evacuationsPrefix)) {
            takeZones(view.evacuatedZones);
        }
        return true;
    };

    /** Picks a peer that serves, another one than the last time if there are several. */
    const pickPeer = (): Member | undefined => {
        const view = options.members();
        const peers = view.members().filter(({ id, ready }) => ready && id !== view.self().id);
        const others = peers.length > 1 ? peers.filter(({ id }) => id !== lastPeer) : peers;
        const peer = others[Math.floor(options.random() * others.length)];
        lastPeer = peer?.id;
        return peer;
    };

    /** Asks one peer. Returns whether it knew something newer. */
    const askPeer = async (): Promise<boolean> => {
        const peer = pickPeer();
        if (peer === undefined) {
            return false;
        }
        const askedAt = clock.now();
        try {
            const result = await options.transport.call(peer.peerAddress, viewMethod, {}, askTimeoutMs);
            if (signal.aborted || !take(result, askedAt)) {
                return false;
            }
            const ageMs = Math.round(clock.now() - currentAt!);
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
        return { servers: records, evacuatedZones: table.evacuatedZones(), ageMs: options.ageMs() };
    });

    return {
        run: async () => {
            await clock.sleep(storeHeadStartMs, signal);
            while (!isComplete() && !signal.aborted) {
                const isNewer = await askPeer();
                await clock.sleep(isNewer ? options.refreshMs : askIntervalMs, signal);
            }
        },
        hasView: () => currentAt !== undefined,
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
