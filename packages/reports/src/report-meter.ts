/** Measures the load that callers offer to this entry and the service times of its backend servers. */
import type { BackendServer, Clock } from "@waxwingdale/core";
import type { Manifest } from "@waxwingdale/manifest";
import type { EntryReport } from "./entry-report.js";
import { createRateWindow } from "./rate-window.js";
import type { RateWindow } from "./rate-window.js";

export interface ReportMeterOptions {
    entry: string;
    region: string;
    clock: Clock;
    servers: () => readonly BackendServer[];
    manifest: () => Manifest | undefined;
    listAgeMs: () => number | undefined;
}

export interface FinishedRequest {
    service: string;
    home: string;
    requestBytes: number;
    responseBytes: number;
}

export interface ReportMeter {
    recordRequest(req: FinishedRequest): void;
    recordServiceTime(service: string, ms: number): void;
    /** @param capacities whether to include the capacities of the region */
    report(capacities: boolean): EntryReport;
}

interface DemandWindows {
    service: string;
    home: string;
    requests: RateWindow;
    requestBytes: RateWindow;
    responseBytes: RateWindow;
}

/** Weight of a new service time in the moving average. */
const smoothing = 0.05;

export function createReportMeter(options: ReportMeterOptions): ReportMeter {
    const { clock } = options;
    const demands = new Map<string, DemandWindows>();
    const serviceMs = new Map<string, number>();
    const firstSeenAt = new Map<string, number>();

    const getDemandWindows = (service: string, home: string): DemandWindows => {
        const key = `${service}\n${home}`;
        let windows = demands.get(key);
        if (windows === undefined) {
            const [requests, requestBytes, responseBytes] = [
                createRateWindow(clock),
                createRateWindow(clock),
                createRateWindow(clock),
            ];
            windows = { service, home, requests, requestBytes, responseBytes };
            demands.set(key, windows);
        }
        return windows;
    };

    /** A server is considered cold until its warm-up time has passed since this entry first saw it. */
    const isCold = (server: BackendServer, warmUpSeconds: number): boolean => {
        const seenAt = firstSeenAt.get(server.id) ?? clock.now();
        firstSeenAt.set(server.id, seenAt);
        return clock.now() - seenAt < warmUpSeconds * 1000;
    };

    const reportCapacities = (manifest: Manifest): EntryReport["capacities"] => {
        const sites = manifest.sites.filter(site => site.region === options.region);
        const servers = options.servers().filter(server => !server.draining);
        return manifest.services.flatMap(service =>
            service.sites
                .map(({ site }) => sites.find(spec => spec.name === site))
                .filter(site => site !== undefined)
                .map(site => {
                    const live = servers.filter(
                        server => server.service === service.name && (server.site ?? site.name) === site.name,
                    );
                    const cold = live.filter(server => isCold(server, service.backend.warmUpSeconds)).length;
                    return {
                        service: service.name,
                        site: site.name,
                        warmServers: live.length - cold,
                        coldServers: cold,
                        meanServiceMs: round(serviceMs.get(service.name) ?? 0),
                    };
                }),
        );
    };

    const reportDemands = (): EntryReport["demands"] =>
        [...demands.values()]
            .filter(({ requests }) => requests.total() > 0)
            .map(({ service, home, requests, requestBytes, responseBytes }) => {
                const count = Math.max(1, requests.total());
                return {
                    service,
                    home,
                    offeredPerSecond: round(requests.perSecond()),
                    requestBytes: round(requestBytes.total() / count),
                    responseBytes: round(responseBytes.total() / count),
                };
            });

    return {
        recordRequest: ({ service, home, requestBytes, responseBytes }) => {
            const windows = getDemandWindows(service, home);
            windows.requests.add(1);
            windows.requestBytes.add(requestBytes);
            windows.responseBytes.add(responseBytes);
        },
        recordServiceTime: (service, ms) => {
            const mean = serviceMs.get(service) ?? ms;
            serviceMs.set(service, mean + smoothing * (ms - mean));
        },
        report: capacities => {
            const manifest = options.manifest();
            return {
                entry: options.entry,
                region: options.region,
                demands: reportDemands(),
                capacities: manifest === undefined || !capacities ? [] : reportCapacities(manifest),
                listAgeMs: options.listAgeMs() ?? 0,
            };
        },
    };
}

/** Rounds to four significant digits. More would exceed the precision of the measurement and make reports longer. */
function round(value: number): number {
    return Number(value.toPrecision(4));
}
