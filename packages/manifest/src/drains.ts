/** Drains that the manifest declares. */
import type { DrainSpec, Manifest, SiteSpec } from "./types.js";

/** Returns whether a drain is in force at a wall-clock time in milliseconds. */
export function isDrainActive(drain: DrainSpec, wallTime: number): boolean {
    const endsAt = drain.endsAt === undefined ? Infinity : Date.parse(drain.endsAt);
    return wallTime >= Date.parse(drain.startsAt) && wallTime < endsAt;
}

/** Returns whether a service is drained at a site, by a drain of the site or of its region. */
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
