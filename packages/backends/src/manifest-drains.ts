/** The drains of the manifest that are active at a moment. */
import type { DrainSpec, Manifest } from "@waxwingdale/manifest";

export interface ServerPlace {
    region: string;
    zone: string;
    /** Without a site, a drained site means all servers of its availability zone. */
    site?: string;
}

export interface ActiveDrains {
    /** Whether the service's backend servers at this place are drained. */
    has(service: string, place: ServerPlace): boolean;
}

/** Returns the drains that have started and not ended at `wallTime`. */
export function listActiveDrains(manifest: Manifest, wallTime: number): ActiveDrains {
    const active = manifest.drains.filter(drain => isActive(drain, wallTime));
    const sites = new Map(manifest.sites.map(site => [site.name, site]));
    return {
        has: (service, { region, zone, site: siteName }) =>
            active.some(drain => {
                if (drain.service !== undefined && drain.service !== service) {
                    return false;
                }
                const site = sites.get(drain.place);
                const isSite =
                    siteName === undefined
                        ? site?.region === region && site.zone === zone
                        : siteName === drain.place;
                return drain.place === region || isSite;
            }),
    };
}

function isActive(drain: DrainSpec, wallTime: number): boolean {
    const endsAt = drain.endsAt === undefined ? Infinity : Date.parse(drain.endsAt);
    return Date.parse(drain.startsAt) <= wallTime && wallTime < endsAt;
}
