/** Directory of a region's backend servers, from the instance list, health probes, response headers and manifest. */
import { InstanceRole, InstanceState, MemberStatus, getErrorMessage } from "@waxwingdale/core";
import type {
    BackendServer,
    Clock,
    InstanceRecord,
    Logger,
    Member,
    MemberView,
    ObjectStore,
    PeerTransport,
    Random,
    RpcRegistry,
} from "@waxwingdale/core";
import { isSiteDrained } from "@waxwingdale/manifest";
import type { Manifest, SiteSpec } from "@waxwingdale/manifest";
import { instanceSchema } from "@waxwingdale/store";
import * as v from "valibot";
import { DrainSource, createDrainMarks } from "./drain-marks.js";
import { HealthStatus } from "./health-probe.js";
import type { HealthProbe } from "./health-probe.js";

/** Interval between two reads of the instance list, in milliseconds. */
const listIntervalMs = 2000;
/** Interval between two health probes of a server, in milliseconds. */
const probeIntervalMs = 1000;
/** Timeout for fetching the instance list from a peer, in milliseconds. */
const listTimeoutMs = 1000;
/** Timeout of a drain notice to a peer, in milliseconds. */
const drainNoticeTimeoutMs = 1000;

export interface BackendDirectoryOptions {
    region: string;
    store: ObjectStore;
    view: MemberView;
    transport: PeerTransport;
    rpc: RpcRegistry;
    clock: Clock;
    random: Random;
    logger: Logger;
    manifest: () => Manifest | undefined;
    probe: HealthProbe;
    /**
     * Whether the region still serves callers although all of its sites of the service are drained. Their traffic
     * shifts away at the declared rate and would be rejected if all servers stopped immediately.
     */
    isRegionStillServing: (service: string) => boolean;
    /** Whether this entry probes the server. The entries of a region divide the servers among themselves. */
    shouldProbe: (serverId: string) => boolean;
}

export interface BackendDirectory {
    /** All known servers of the region. The array is replaced on changes, never modified in place. */
    servers(): readonly BackendServer[];
    find(id: string): BackendServer | undefined;
    /** Stops new requests to a server whose response header announced a drain, at this entry and its regional peers. */
    markDraining(serverId: string): void;
    onChange(listener: () => void): void;
    /** Applies the manifest immediately, so that a drain or a new service does not wait for the next instance list. */
    onManifestChanged(): void;
    /** Keeps the directory up to date until the signal is aborted. */
    run(signal: AbortSignal): Promise<void>;
    /** Entries in the latest instance list, for joining the fleet. */
    entryInstances(): readonly InstanceRecord[];
    /** Age of the latest instance list in milliseconds; undefined if none has been read. */
    listAgeMs(): number | undefined;
    state(): unknown;
}

/** Result of `backends.list`: the instance list that a peer has read. */
interface ListResponse {
    records: InstanceRecord[];
    /** Age of the list in milliseconds; undefined if the peer has none. */
    ageMs?: number;
}

const listResponseSchema = v.object({ records: v.array(instanceSchema), ageMs: v.optional(v.number()) });

const drainNoticeSchema = v.object({ serverId: v.string(), draining: v.boolean() });
/** Params of `backends.draining`: a peer has detected the start or the end of a drain. */
type DrainNotice = v.InferOutput<typeof drainNoticeSchema>;

/** Creates the directory of one entry instance. */
export function createBackendDirectory(options: BackendDirectoryOptions): BackendDirectory {
    const { region, store, clock, logger } = options;
    const marks = createDrainMarks(clock);
    const listeners: (() => void)[] = [];
    let records: InstanceRecord[] = [];
    let servers: readonly BackendServer[] = [];
    let byId = new Map<string, BackendServer>();
    let listedAt: number | undefined;

    const rebuild = () => {
        const manifest = options.manifest();
        const next = records
            .filter(record => record.role === InstanceRole.BackendServer && record.region === region)
            .flatMap(record => toBackendServers(record, manifest));
        if (JSON.stringify(next) === JSON.stringify(servers)) {
            return;
        }
        servers = next;
        byId = new Map(next.map(server => [server.id, server]));
        for (const listener of listeners) {
            listener();
        }
    };

    const toBackendServers = (record: InstanceRecord, manifest: Manifest | undefined): BackendServer[] => {
        const spec = manifest?.services.find(service => service.name === record.service);
        if (spec === undefined) {
            return [];
        }
        const sites = manifest!.sites.filter(site => belongsToSite(site, record));
        const isDrained =
            sites.some(site => isSiteDrained(manifest!, spec.name, site, clock.wallTime())) &&
            !(isRegionDrained(manifest!, spec.name) && options.isRegionStillServing(spec.name));
        const draining = isDrained || record.state === InstanceState.Leaving || marks.isMarked(record.id);
        const { id, address, zone, site } = record;
        return [{ id, service: spec.name, address, region, zone, site, slots: spec.backend.slots, draining }];
    };

    const isRegionDrained = (manifest: Manifest, service: string) =>
        manifest.sites
            .filter(site => site.region === region)
            .every(site => isSiteDrained(manifest, service, site, clock.wallTime()));

    const setDraining = (serverId: string, source: DrainSource): boolean => {
        if (!byId.has(serverId) || !marks.mark(serverId, source)) {
            return false;
        }
        logger.info("backend-draining", { server: serverId, source });
        rebuild();
        return true;
    };

    const notifyPeers = (serverId: string, draining: boolean) => {
        const notice: DrainNotice = { serverId, draining };
        for (const peer of options.view.liveInRegion(region)) {
            if (peer.id !== options.view.self().id && peer.status === MemberStatus.Live) {
                options.transport
                    .call(peer.peerAddress, "backends.draining", notice, drainNoticeTimeoutMs)
                    .catch((err: unknown) =>
                        logger.debug("drain-notice-failed", { peer: peer.id, error: getErrorMessage(err) }),
                    );
            }
        }
    };

    const readList = async () => {
        try {
            records = await store.listInstances();
            listedAt = clock.now();
            marks.retainOnly(new Set(records.map(record => record.id)));
        } catch (err) {
            logger.warn("instance-list-failed", { error: getErrorMessage(err) });
            await fetchListFromPeer();
        }
        rebuild();
    };

    /** Lets an entry that starts while the store is down get the list from a peer, preferably in the same region. */
    const fetchListFromPeer = async () => {
        const isLivePeer = ({ id, status }: Member) =>
            id !== options.view.self().id && status === MemberStatus.Live;
        const regionalPeers = options.view.liveInRegion(region).filter(isLivePeer);
        // The list contains the servers of all regions, so a peer in another region can provide it too.
        const peers = regionalPeers.length > 0 ? regionalPeers : options.view.members().filter(isLivePeer);
        const peer = peers[Math.floor(options.random() * peers.length)];
        if (peer === undefined) {
            return;
        }
        try {
            const response = await options.transport.call<ListResponse>(
                peer.peerAddress,
                "backends.list",
                {},
                listTimeoutMs,
            );
            const parsed = v.parse(listResponseSchema, response);
            const readAt = parsed.ageMs === undefined ? -Infinity : clock.now() - parsed.ageMs;
            if (readAt > (listedAt ?? -Infinity)) {
                records = parsed.records;
                listedAt = readAt;
                logger.info("instance-list-from-peer", { peer: peer.id, ageMs: Math.round(parsed.ageMs!) });
            }
        } catch (err) {
            logger.debug("instance-list-peer-failed", { peer: peer.id, error: getErrorMessage(err) });
        }
    };

    const probeAll = async () => {
        const probed = servers.filter(server => options.shouldProbe(server.id));
        await Promise.all(probed.map(probeOne));
    };

    const probeOne = async (server: BackendServer) => {
        const health = await options.probe(server);
        if (health === HealthStatus.Draining && setDraining(server.id, DrainSource.Health)) {
            notifyPeers(server.id, true);
        }
        if (health === HealthStatus.Ok && marks.recordNotDraining(server.id)) {
            logger.info("backend-drain-ended", { server: server.id });
            rebuild();
            notifyPeers(server.id, false);
        }
    };

    const runPeriodically = async (intervalMs: number, signal: AbortSignal, step: () => Promise<void>) => {
        while (!signal.aborted) {
            await step();
            await clock.sleep(intervalMs, signal);
        }
    };

    options.rpc.addMethod("backends.list", (): ListResponse => ({
        records,
        ageMs: listedAt === undefined ? undefined : clock.now() - listedAt,
    }));

    options.rpc.addMethod("backends.draining", params => {
        const { serverId, draining } = v.parse(drainNoticeSchema, params);
        if (draining) {
            setDraining(serverId, DrainSource.Peer);
        } else if (marks.remove(serverId)) {
            logger.info("backend-drain-ended", { server: serverId });
            rebuild();
        }
        return {};
    });

    return {
        servers: () => servers,
        find: id => byId.get(id),
        markDraining: serverId => {
            if (setDraining(serverId, DrainSource.ResponseHeader)) {
                notifyPeers(serverId, true);
            }
        },
        onChange: listener => void listeners.push(listener),
        onManifestChanged: rebuild,
        run: async signal => {
            await Promise.all([
                runPeriodically(listIntervalMs, signal, readList),
                runPeriodically(probeIntervalMs, signal, probeAll),
            ]);
        },
        entryInstances: () => records.filter(record => record.role === InstanceRole.Entry),
        listAgeMs: () => (listedAt === undefined ? undefined : clock.now() - listedAt),
        state: () => ({ servers, marks: marks.state(), listAgeMs: listedAt && clock.now() - listedAt }),
    };
}

/** A server without a site in the instance list belongs to all sites of its availability zone. */
function belongsToSite(site: SiteSpec, record: InstanceRecord): boolean {
    return record.site === undefined
        ? site.region === record.region && site.zone === record.zone
        : site.name === record.site;
}
