/** Table of the registered backend servers and the evacuated availability zones. */
import type { Clock, Logger } from "@waxwingdale/core";
import { createBackendState, extendColdTime } from "./backend-state.js";
import type { BackendState } from "./backend-state.js";
import { EntryOrigin } from "./cold-statements.js";
import { createRemovedServers } from "./removed-servers.js";
import type { ReportSource } from "./report-source.js";
import type { ServerRateLimitOptions } from "./server-rate-limit.js";
import { ServerPhase, isSameProcess } from "./server-record.js";
import type { ServerRecord } from "./server-record.js";
import type { Service } from "./traffic-config.js";

/** What the instances that share the rate limits of servers have in common. */
export interface RateLimitFleet extends Pick<ServerRateLimitOptions, "random" | "countInstances"> {
    /** Lists of the instances that may send to the rate-limited servers of a region, from `CandidateHistory`. */
    recentCandidates: (region: string) => readonly (readonly string[])[];
}

export interface BackendTableOptions {
    clock: Clock;
    logger: Logger;
    regionOf: (zone: string) => string | undefined;
    /** Maximum number of requests per second to a cold server of the service, across all instances. */
    coldRequestsPerSecond: (service: string) => number;
    /** Id of this instance. */
    self: string;
    /**
     * The lists of instances that may send to the cold servers of a zone, as they were seen lately. Returns a new array when
     * they change.
     */
    recentColdSenders: (zone: string) => readonly (readonly string[])[];
    rateLimits: RateLimitFleet;
    /**
     * Whether entries may be older than those before, since the store may come back from an older copy. A drain then holds
     * until the process ends, and an earlier process of a known server is ignored.
     * @default never
     */
    mayEntriesBeOlder?: () => boolean;
    /** Called when a server has been removed, so that its connections can be closed. */
    onServerRemoved: (server: BackendState) => void;
}

export interface BackendTable {
    /**
     * Adds or updates a server. `isChange` is false for the initial list after startup, whose servers are not new.
     * @param origin How old the record may be; written just now without it.
     */
    apply(record: ServerRecord, isChange: boolean, origin?: EntryOrigin): void;
    remove(id: string): void;
    /** Stops new requests to a server that has announced its shutdown, until it is restarted. */
    markLeaving(id: string, source: ReportSource): void;
    /** Stops new requests to the servers of a zone, or allows them again. */
    setEvacuated(zone: string, isEvacuated: boolean): void;
    setServices(services: readonly Service[]): void;
    services(): readonly Service[];
    /** Servers of a service that may receive requests. */
    usable(service: string): readonly BackendState[];
    find(id: string): BackendState | undefined;
    all(): readonly BackendState[];
    /** Incremented whenever the result of `usable` may have changed. */
    revision(): number;
    evacuatedZones(): readonly string[];
}

export function createBackendTable(options: BackendTableOptions): BackendTable {
    const { clock, logger } = options;
    const byId = new Map<string, BackendState>();
    const removed = createRemovedServers(clock);
    const evacuated = new Set<string>();
    const usableByService = new Map<string, readonly BackendState[]>();
    let services = new Map<string, Service>();
    let revision = 0;

    const invalidateUsable = () => {
        revision += 1;
        usableByService.clear();
    };

    const mayEntriesBeOlder = () => options.mayEntriesBeOlder?.() ?? false;

    /** Whether a removed server is known with a later start than in the record. */
    const isEarlierProcess = (record: ServerRecord): boolean => {
        const known = removed.find(record.id);
        return mayEntriesBeOlder() && known !== undefined && known.record.startedAt > record.startedAt;
    };

    const coldStartMs = (service: string) => services.get(service)?.coldStartMs ?? 0;

    const createRateLimitOptions = (server: string, region: string) => ({
        random: options.rateLimits.random,
        countInstances: options.rateLimits.countInstances,
        recentCandidates: () => options.rateLimits.recentCandidates(region),
        onChange: (requestsPerSecond: number | undefined, source: ReportSource) =>
            logger.info("rate-limit-changed", {
                server,
                requestsPerSecond: requestsPerSecond ?? "none",
                source,
            }),
        onUnreadable: (value: string) =>
            logger.warn("rate-limit-rejected", { server, value, reason: "not a decimal number" }),
    });

    /** The server is cold for at least as long as its entry states. */
    const recordColdTime = (server: BackendState, record: ServerRecord, origin: EntryOrigin) => {
        const { sequence, coldRemainingMs: remainingMs } = record;
        const coldUntil = server.coldStatements.record({ sequence, remainingMs }, clock.now(), origin);
        extendColdTime(server, coldUntil);
    };

    const add = (
        record: ServerRecord,
        region: string,
        isChange: boolean,
        origin: EntryOrigin,
        replaced?: BackendState,
    ) => {
        const now = clock.now();
        const server = createBackendState({
            record,
            region,
            coldRequestsPerSecond: () => options.coldRequestsPerSecond(record.service),
            self: options.self,
            recentColdSenders: options.recentColdSenders,
            rateLimit: createRateLimitOptions(record.id, region),
            now,
            isDrainFinal: mayEntriesBeOlder(),
            earlier: removed.take(record),
            replaced: replaced?.record.zone === record.zone ? replaced : undefined,
        });
        recordColdTime(server, record, origin);
        if (isChange) {
            extendColdTime(server, now + coldStartMs(record.service));
        }
        byId.set(record.id, server);
        // The initial list has hundreds of servers; the code that loads it logs their number in one line.
        logger[isChange ? "info" : "debug"]("server-added", {
            server: record.id,
            service: record.service,
            address: record.address,
            zone: record.zone,
            coldMs: Math.round(Math.max(0, server.coldUntil - now)),
            isLeaving: server.isLeaving,
        });
    };

    const update = (server: BackendState, record: ServerRecord, origin: EntryOrigin) => {
        const isDraining = record.phase === ServerPhase.Draining;
        server.hasDrained ||= isDraining;
        const isLeaving =
            isDraining || server.hasAnnouncedLeaving || (server.hasDrained && mayEntriesBeOlder());
        if (server.isLeaving !== isLeaving) {
            logger.info("server-phase", { server: record.id, phase: record.phase, zone: record.zone });
        }
        server.isLeaving = isLeaving;
        recordColdTime(server, record, origin);
    };

    const removeServer = (server: BackendState, reason: string) => {
        server.isLeaving = true;
        byId.delete(server.record.id);
        removed.add(server);
        logger.info("server-removed", {
            server: server.record.id,
            service: server.record.service,
            zone: server.record.zone,
            reason,
        });
        options.onServerRemoved(server);
    };

    return {
        apply: (record, isChange, origin = EntryOrigin.Written) => {
            const region = options.regionOf(record.zone);
            if (region === undefined) {
                logger.warn("server-rejected", {
                    server: record.id,
                    zone: record.zone,
                    reason: "unknown zone",
                });
                return;
            }
            invalidateUsable();
            const existing = byId.get(record.id);
            if (existing === undefined) {
                if (!isEarlierProcess(record)) {
                    add(record, region, isChange, origin);
                }
                return;
            }
            if (isSameProcess(existing.record, record)) {
                update(existing, record, origin);
                return;
            }
            if (record.startedAt >= existing.record.startedAt) {
                removeServer(existing, "restarted");
                add(record, region, true, origin, existing);
            }
        },
        remove: id => {
            const existing = byId.get(id);
            if (existing !== undefined) {
                invalidateUsable();
                removeServer(existing, "entry removed");
            }
        },
        markLeaving: (id, source) => {
            // A response may come when the entry has lapsed.
            const server = byId.get(id) ?? removed.find(id);
            if (server === undefined || server.hasAnnouncedLeaving) {
                return;
            }
            server.hasAnnouncedLeaving = true;
            logger.info("server-shutdown", { server: id, zone: server.record.zone, source });
            if (!server.isLeaving) {
                server.isLeaving = true;
                invalidateUsable();
            }
        },
        setEvacuated: (zone, isEvacuated) => {
            invalidateUsable();
            if (isEvacuated) {
                evacuated.add(zone);
                return;
            }
            evacuated.delete(zone);
            // The servers of the zone may have lost their caches during the evacuation.
            const now = clock.now();
            for (const server of byId.values()) {
                if (server.record.zone === zone) {
                    server.warm.clear();
                    extendColdTime(server, now + coldStartMs(server.record.service));
                }
            }
        },
        setServices: list => {
            services = new Map(list.map(service => [service.name, service]));
        },
        services: () => [...services.values()],
        usable: service => {
            let servers = usableByService.get(service);
            if (servers === undefined) {
                servers = [...byId.values()].filter(
                    ({ record, isLeaving }) =>
                        record.service === service && !isLeaving && !evacuated.has(record.zone),
                );
                usableByService.set(service, servers);
            }
            return servers;
        },
        find: id => byId.get(id),
        all: () => [...byId.values()],
        revision: () => revision,
        evacuatedZones: () => [...evacuated],
    };
}
