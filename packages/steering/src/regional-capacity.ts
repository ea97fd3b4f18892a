/** Request rate that a region's backend servers of a service can sustain. */
import type { BackendSpec, Manifest, ServiceSpec } from "@waxwingdale/manifest";
import { isSiteDrained } from "@waxwingdale/manifest";
import { PlanLimit, maxReportAgeMs } from "./plan-types.js";
import type { CapacityReport } from "./plan-types.js";

export interface RegionalCapacity {
    /** Rate of the sites that are not drained. */
    undrainedRate: number;
    /** Rate of the drained sites, which traffic that cannot be shifted yet still uses. */
    draining: number;
    /** Whether the servers or the configured site rates limit `undrainedRate`. */
    limit: PlanLimit.RegionCapacity | PlanLimit.SiteCapacity;
    /** Whether every undrained site of the service in the region has a recent report. */
    hasRecentReports: boolean;
    /** Whether the service runs in the region and all its sites there are drained. */
    drained: boolean;
}

/** Returns the rate that a site's live servers can sustain. A cold server counts as a fraction of a warm one. */
export function computeServerRate(backend: BackendSpec, report: CapacityReport): number {
    const servers = report.warmServers + report.coldServers * backend.coldShare;
    if (servers <= 0) {
        return 0;
    }
    return report.meanServiceMs > 0 ? (servers * backend.slots * 1000) / report.meanServiceMs : Infinity;
}

interface CapacitySum extends RegionalCapacity {
    siteLimitedRate: number;
    sites: number;
    drainedSites: number;
}

function createEmptySum(): CapacitySum {
    const limit = PlanLimit.RegionCapacity;
    return {
        undrainedRate: 0,
        draining: 0,
        limit,
        hasRecentReports: true,
        drained: false,
        siteLimitedRate: 0,
        sites: 0,
        drainedSites: 0,
    };
}

/** Computes the capacity of a service in each region of the manifest. */
export function computeCapacities(
    manifest: Manifest,
    service: ServiceSpec,
    reports: ReadonlyMap<string, CapacityReport>,
    wallTime: number,
): Map<string, RegionalCapacity> {
    const sites = new Map(manifest.sites.map(site => [site.name, site]));
    const result = new Map<string, CapacitySum>();
    for (const region of manifest.regions) {
        result.set(region.name, createEmptySum());
    }
    for (const { site: name, maxRequestsPerSecond } of service.sites) {
        const site = sites.get(name);
        const capacity = site && result.get(site.region);
        if (!site || !capacity) {
            continue;
        }
        const report = reports.get(name);
        const drained = isSiteDrained(manifest, service.name, site, wallTime);
        capacity.sites++;
        capacity.drainedSites += drained ? 1 : 0;
        if (report === undefined || report.ageMs > maxReportAgeMs) {
            // A drained site may have been shut down; its missing reports must not block changes of routes.
            capacity.hasRecentReports &&= drained;
            continue;
        }
        const serverRate = computeServerRate(service.backend, report);
        const rate = Math.min(serverRate, maxRequestsPerSecond);
        if (drained) {
            capacity.draining += rate;
        } else {
            capacity.undrainedRate += rate;
            capacity.siteLimitedRate += serverRate > maxRequestsPerSecond ? rate : 0;
        }
    }
    for (const capacity of result.values()) {
        capacity.drained = capacity.sites > 0 && capacity.drainedSites === capacity.sites;
        capacity.limit =
            capacity.siteLimitedRate > capacity.undrainedRate / 2
                ? PlanLimit.SiteCapacity
                : PlanLimit.RegionCapacity;
    }
    return result;
}
