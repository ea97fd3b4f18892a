/** Directory of the region's backend servers, from the instance list, health answers, response headers and the manifest. */
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

/** Time in milliseconds between two reads of the instance list. */
const listIntervalMs = 2000;
/** Time in milliseconds between two health probes of a server. */
const probeIntervalMs = 1000;
/** Timeout in milliseconds of a question for a peer's list. */
const listTimeoutMs = 1000;
/** Timeout in milliseconds of a drain notice to a peer. */
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
     * Whether the region still serves its callers although all of its sites of the service are drained: their traffic
     * leaves at the declared pace, and would be refused if the servers stopped at once.
     */
    isRegionStillServing: (service: string) => boolean;
    /** Whether this entry probes the server; entries of a region split the work. */
    shouldProbe: (serverId: string) => boolean;
}

export interface BackendDirectory {
    /** All known servers of the region. The list is replaced, never changed in place. */
    servers(): readonly BackendServer[];
    find(id: string): BackendServer | undefined;
    /** A response header said that the server drains: no new request from now on, here and at the region's peers. */
    markDraining(serverId: string): void;
    onChange(listener: () => void): void;
    /** Reads the manifest again at once; a drain or a new service does not wait for the next list. */
    onManifestChanged(): void;
    /** Keeps the directory current until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
    /** Instances of entries from the latest list, for joining the fleet. */
    entryInstances(): readonly InstanceRecord[];
    /** Age in milliseconds of the latest list that was read, or undefined. */
    listAgeMs(): number | undefined;
    state(): unknown;
}

/** Result of `backends.list`: the instance list as a peer read it. */
interface ListResponse {
    records: InstanceRecord[];
    /** Age of the list in milliseconds; undefined when the peer has none. */
    ageMs?: number;
}

const listAnswerSchema = v.object({ records: v.array(instanceSchema), ageMs: v.optional(v.number()) });

const drainNoticeSchema = v.object({ serverId: v.string(), draining: v.boolean() });
/** Params of `backends.draining`: a drain that a peer has seen begin or end. */
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
            .filter(row => row.role === InstanceRole.BackendServer && row.region === region)
            .flatMap(row => createServer(row, manifest));
        if (JSON.stringify(next) === JSON.stringify(servers)) {
            return;
        }
        servers = next;
        byId = new Map(next.map(server => [server.id, server]));
        for (const listener of listeners) {
            listener();
        }
    };

    const createServer = (row: InstanceRecord, manifest: Manifest | undefined): BackendServer[] => {
        const spec = manifest?.services.find(service => service.name === row.service);
        if (spec === undefined) {
            return [];
        }
        const sites = manifest!.sites.filter(site => isSiteOf(site, row));
        const isDrained =
            sites.some(site => isSiteDrained(manifest!, spec.name, site, clock.wallTime())) &&
            !(isRegionDrained(manifest!, spec.name) && options.isRegionStillServing(spec.name));
        const draining = isDrained || row.state === InstanceState.Leaving || marks.isMarked(row.id);
        const { id, address, zone, site } = row;
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

    const tellPeers = (serverId: string, draining: boolean) => {
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
            marks.retainOnly(new Set(records.map(row => row.id)));
        } catch (err) {
            logger.warn("instance-list-failed", { error: getErrorMessage(err) });
            await askPeerForList();
        }
        rebuild();
    };

    /** An entry that starts while the store is down gets the list from another entry, if possible of its region. */
    const askPeerForList = async () => {
        const isOther = ({ id, status }: Member) =>
            id !== options.view.self().id && status === MemberStatus.Live;
        const near = options.view.liveInRegion(region).filter(isOther);
        // The list holds the servers of all regions, so an entry of another one can give it too.
        const peers = near.length > 0 ? near : options.view.members().filter(isOther);
        const peer = peers[Math.floor(options.random() * peers.length)];
        if (peer === undefined) {
            return;
        }
        try {
            const answer = await options.transport.call<ListResponse>(
                peer.peerAddress,
                "backends.list",
                {},
                listTimeoutMs,
            );
            const parsed = v.parse(listAnswerSchema, answer);
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
            tellPeers(server.id, true);
        }
        if (health === HealthStatus.Ok && marks.recordNotDraining(server.id)) {
            logger.info("backend-drain-ended", { server: server.id });
            rebuild();
            tellPeers(server.id, false);
        }
    };

    const repeat = async (intervalMs: number, signal: AbortSignal, step: () => Promise<void>) => {
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
                tellPeers(serverId, true);
            }
        },
        onChange: listener => void listeners.push(listener),
        onManifestChanged: rebuild,
        run: async signal => {
            await Promise.all([
                repeat(listIntervalMs, signal, readList),
                repeat(probeIntervalMs, signal, probeAll),
            ]);
        },
        entryInstances: () => records.filter(row => row.role === InstanceRole.Entry),
        listAgeMs: () => (listedAt === undefined ? undefined : clock.now() - listedAt),
        state: () => ({ servers, marks: marks.state(), listAgeMs: listedAt && clock.now() - listedAt }),
    };
}

/** Without a site in the instance list, a server belongs to the sites of its availability zone. */
function isSiteOf(site: SiteSpec, row: InstanceRecord): boolean {
    return row.site === undefined
        ? site.region === row.region && site.zone === row.zone
        : site.name === row.site;
}
