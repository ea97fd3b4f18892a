/** Active drains of a manifest. */
import type { DrainSpec, Manifest, SiteSpec } from "./types.js";

/** Returns whether a drain is active at a wall-clock time in milliseconds. */
export function isDrainActive(drain: DrainSpec, wallTime: number): boolean {
    const endsAt = drain.endsAt === undefined ? Infinity : Date.parse(drain.endsAt);
    return wallTime >= Date.parse(drain.startsAt) && wallTime < endsAt;
}

/** Returns whether a service is drained at a site, by a drain of either the site or its region. */
export function isSiteDrained(
    manifest: Manifest,
    service: string,
    site: SiteSpec,
    wallTime: number,
): boolean {
    return manifest.drains.some(
        drain =>
            (drain.place === site.name || drain.place === site.region) &&
            (drain.service === undefined || drain.service === service) &&
            isDrainActive(drain, wallTime),
    );
}
