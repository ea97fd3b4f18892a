/** All backend servers that registered themselves, by service, and the availability zones that get no requests. */
import type { Clock, Logger } from "@waxwingdale/core";
import { createBackendState } from "./backend-state.js";
import type { BackendState } from "./backend-state.js";
import { ServerPhase } from "./server-record.js";
import type { ServerRecord } from "./server-record.js";
import type { Service } from "./traffic-config.js";

export interface BackendTableOptions {
    clock: Clock;
    logger: Logger;
    regionOf: (zone: string) => string | undefined;
    /** Requests in a second that a cold server of the service takes, all instances together. */
    coldRequestsPerSecond: (service: string) => number;
    /** Id of this instance. */
    self: string;
    /** Ids of the instances that may send to a cold server of a zone; a new array when they change. */
    coldSenders: (zone: string, region: string) => readonly string[];
    /** Called when a server gets no requests any more, so that its connections can be closed. */
    onServerRemoved: (server: BackendState) => void;
}

export interface BackendTable {
    /** Applies what a server registered. `isNews` is false for the first read after a start, when nothing has changed. */
    apply(record: ServerRecord, isNews: boolean): void;
    remove(id: string): void;
    /** Stops new requests to the servers of a zone, or takes the zone back. */
    setEvacuated(zone: string, isEvacuated: boolean): void;
    setServices(services: readonly Service[]): void;
    services(): readonly Service[];
    /** Servers of a service that may get requests. */
    usable(service: string): readonly BackendState[];
    find(id: string): BackendState | undefined;
    all(): readonly BackendState[];
    /** Grows whenever the result of `usable` may have changed. */
    revision(): number;
    evacuatedZones(): readonly string[];
}

export function createBackendTable(options: BackendTableOptions): BackendTable {
    const { clock, logger } = options;
    const byId = new Map<string, BackendState>();
    const evacuated = new Set<string>();
    const usableByService = new Map<string, readonly BackendState[]>();
    let services = new Map<string, Service>();
    let revision = 0;

    const touch = () => {
        revision += 1;
        usableByService.clear();
    };

    const coldStartMs = (service: string) => services.get(service)?.coldStartMs ?? 0;

    const add = (record: ServerRecord, region: string, isNews: boolean) => {
        const now = clock.now();
        const server = createBackendState({
            record,
            region,
            coldRequestsPerSecond: options.coldRequestsPerSecond(record.service),
            self: options.self,
            coldSenders: options.coldSenders,
            now,
        });
        if (isNews) {
            server.coldUntil = Math.max(server.coldUntil, now + coldStartMs(record.service));
        }
        byId.set(record.id, server);
        // A first read brings hundreds of servers at once, which the reader of the list counts in one line.
        logger[isNews ? "info" : "debug"]("server-added", {
            server: record.id,
            service: record.service,
            address: record.address,
            zone: record.zone,
            coldMs: Math.round(server.coldUntil - now),
        });
    };

    const update = (server: BackendState, record: ServerRecord) => {
        const isDraining = record.phase === ServerPhase.Draining;
        if (server.isLeaving !== isDraining) {
            logger.info("server-phase", { server: record.id, phase: record.phase, zone: record.zone });
        }
        server.isLeaving = isDraining;
        server.coldUntil = Math.max(server.coldUntil, clock.now() + record.coldRemainingMs);
    };

    const drop = (server: BackendState, reason: string) => {
        server.isLeaving = true;
        byId.delete(server.record.id);
        logger.info("server-removed", {
            server: server.record.id,
            service: server.record.service,
            zone: server.record.zone,
            reason,
        });
        options.onServerRemoved(server);
    };

    return {
        apply: (record, isNews) => {
            const region = options.regionOf(record.zone);
            if (region === undefined) {
                logger.warn("server-rejected", {
                    server: record.id,
                    zone: record.zone,
                    reason: "unknown zone",
                });
                return;
            }
            touch();
            const known = byId.get(record.id);
            if (known === undefined) {
                add(record, region, isNews);
                return;
            }
            const isSame =
                known.record.startedAt === record.startedAt &&
                known.record.address === record.address &&
                known.record.service === record.service;
            if (isSame) {
                update(known, record);
                return;
            }
            if (record.startedAt >= known.record.startedAt) {
                drop(known, "restarted");
                add(record, region, true);
            }
        },
        remove: id => {
            const known = byId.get(id);
            if (known !== undefined) {
                touch();
                drop(known, "entry removed");
            }
        },
        setEvacuated: (zone, isEvacuated) => {
            touch();
            if (isEvacuated) {
                evacuated.add(zone);
                return;
            }
            evacuated.delete(zone);
            // The servers of the zone may have lost what they knew during the evacuation.
            const now = clock.now();
            for (const server of byId.values()) {
                if (server.record.zone === zone) {
                    server.warm.clear();
                    server.coldUntil = Math.max(server.coldUntil, now + coldStartMs(server.record.service));
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
