/** Directory of the region's backend servers, from the instance list, health answers, response headers and the manifest. */
import { InstanceRole, InstanceState, MemberStatus, getErrorMessage } from "@waxwingdale/core";
import type {
    BackendServer,
    Clock,
    InstanceRecord,
    Logger,
    MemberView,
    ObjectStore,
    PeerTransport,
    RpcRegistry,
} from "@waxwingdale/core";
import { listActiveDrains } from "./manifest-drains.js";
import type { Manifest } from "@waxwingdale/manifest";
import { DrainSource, createDrainMarks } from "./drain-marks.js";
import { Health } from "./health-probe.js";
import type { HealthProbe } from "./health-probe.js";

/** Time in milliseconds between two reads of the instance list. */
const listIntervalMs = 2000;
/** Time in milliseconds between two health probes of a server. */
const probeIntervalMs = 1000;
/** Timeout in milliseconds of a drain notice to a peer. */
const noticeTimeoutMs = 1000;
/** Timeout in milliseconds of a request for a peer's instance list. */
const listTimeoutMs = 1000;

export interface BackendDirectoryOptions {
    region: string;
    store: ObjectStore;
    view: MemberView;
    transport: PeerTransport;
    rpc: RpcRegistry;
    clock: Clock;
    logger: Logger;
    manifest: () => Manifest | undefined;
    probe: HealthProbe;
    /** Whether this entry probes the server; entries of a region split the work. */
    isProbedHere: (serverId: string) => boolean;
}

export interface BackendDirectory {
    /** All known servers of the region. The list is replaced, never changed in place. */
    servers(): readonly BackendServer[];
    find(id: string): BackendServer | undefined;
    /** A response header said that the server drains: no new request from now on, here and at the region's peers. */
    noteDraining(serverId: string): void;
    onChange(listener: () => void): void;
    /** Keeps the directory current until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
    /** Instances of entries from the latest list, for joining the fleet. */
    entryInstances(): readonly InstanceRecord[];
    /** Age in milliseconds of the latest list that was read, or undefined. */
    listAgeMs(): number | undefined;
    state(): unknown;
}

/** Instance list of a peer; without records when the peer has read none. */
interface SharedList {
    records?: InstanceRecord[];
    ageMs: number;
}

interface DrainNotice {
    serverId: string;
}

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
        const drained = manifest && listActiveDrains(manifest, clock.wallTime());
        const next = records
            .filter(row => row.role === InstanceRole.BackendServer && row.region === region)
            .flatMap(row => createServer(row, manifest, drained));
        if (JSON.stringify(next) === JSON.stringify(servers)) {
            return;
        }
        servers = next;
        byId = new Map(next.map(server => [server.id, server]));
        for (const listener of listeners) {
            listener();
        }
    };

    const createServer = (
        row: InstanceRecord,
        manifest: Manifest | undefined,
        drained: ReturnType<typeof listActiveDrains> | undefined,
    ): BackendServer[] => {
        const spec = manifest?.services.find(service => service.name === row.service);
        if (spec === undefined) {
            return [];
        }
        const isDrained = drained?.has(spec.name, row) ?? false;
        const draining = isDrained || row.state === InstanceState.Leaving || marks.isMarked(row.id);
        const { id, address, zone, site } = row;
        return [{ id, service: spec.name, address, region, zone, site, slots: spec.backend.slots, draining }];
    };

    const setDraining = (serverId: string, source: DrainSource): boolean => {
        if (!byId.has(serverId) || !marks.mark(serverId, source)) {
            return false;
        }
        logger.info("backend-draining", { server: serverId, source });
        rebuild();
        return true;
    };

    const tellPeers = (serverId: string) => {
        const notice: DrainNotice = { serverId };
        for (const peer of options.view.liveInRegion(region)) {
            if (peer.id !== options.view.self().id && peer.status === MemberStatus.Live) {
                options.transport
                    .call(peer.peerAddress, "backends.draining", notice, noticeTimeoutMs)
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
            marks.keepOnly(new Set(records.map(row => row.id)));
        } catch (err) {
            logger.warn("instance-list-failed", { error: getErrorMessage(err) });
            if (listedAt === undefined) {
                await readPeerList();
            }
        }
        rebuild();
    };

    /** An entry that starts while the store is down takes the list of a peer, nearest first. */
    const readPeerList = async () => {
        const self = options.view.self();
        const near = options.view.liveInRegion(region);
        const far = options.view.members().filter(({ status }) => status === MemberStatus.Live);
        for (const peer of new Map([...near, ...far].map(member => [member.id, member])).values()) {
            if (peer.id !== self.id && (await adoptList(peer.peerAddress))) {
                logger.info("instance-list-from-peer", { peer: peer.id, instances: records.length });
                return;
            }
        }
    };

    /** Returns whether the peer has a list. */
    const adoptList = async (peerAddress: string): Promise<boolean> => {
        try {
            const list = await options.transport.call<SharedList>(
                peerAddress,
                "backends.list",
                {},
                listTimeoutMs,
            );
            if (list.records === undefined) {
                return false;
            }
            records = list.records;
            listedAt = clock.now() - list.ageMs;
            return true;
        } catch (err) {
            logger.debug("peer-list-failed", { peer: peerAddress, error: getErrorMessage(err) });
            return false;
        }
    };

    const probeAll = async () => {
        const probed = servers.filter(server => options.isProbedHere(server.id));
        await Promise.all(probed.map(probeOne));
    };

    const probeOne = async (server: BackendServer) => {
        const health = await options.probe(server);
        if (health === Health.Draining && setDraining(server.id, DrainSource.Health)) {
            tellPeers(server.id);
        }
        if (health === Health.Ok && marks.deny(server.id)) {
            logger.info("backend-drain-ended", { server: server.id });
            rebuild();
        }
    };

    const repeat = async (intervalMs: number, signal: AbortSignal, step: () => Promise<void>) => {
        while (!signal.aborted) {
            await step();
            await clock.sleep(intervalMs, signal);
        }
    };

    options.rpc.addMethod("backends.draining", params => {
        setDraining((params as DrainNotice).serverId, DrainSource.Peer);
        return {};
    });

    options.rpc.addMethod("backends.list", (): SharedList =>
        listedAt === undefined ? { ageMs: 0 } : { records, ageMs: clock.now() - listedAt },
    );

    return {
        servers: () => servers,
        find: id => byId.get(id),
        noteDraining: serverId => {
            if (setDraining(serverId, DrainSource.ResponseHeader)) {
                tellPeers(serverId);
            }
        },
        onChange: listener => void listeners.push(listener),
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
