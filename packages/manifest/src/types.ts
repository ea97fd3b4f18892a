/** Types of the manifest, in which operators declare a deployment. Field names include the unit of times and rates. */
import type { RequestClass } from "@waxwingdale/core";

export interface Manifest {
    /** Format version; an entry that does not support it does not apply the manifest. */
    formatVersion: 1;
    /** Name of the deployment. */
    deployment: string;
    regions: RegionSpec[];
    /** Region of the platform's object store. */
    storeRegion: string;
    /** Links between regions, one for each direction. */
    links: LinkSpec[];
    sites: SiteSpec[];
    services: ServiceSpec[];
    /** Caps on traffic shifted from one region to another. No traffic is shifted between a pair without a cap. */
    shiftCaps: ShiftCapSpec[];
    drains: DrainSpec[];
    /** Home regions of client address blocks; the longest matching prefix wins. */
    clientBlocks: ClientBlockSpec[];
    /** Home region of clients that no block matches. */
    defaultRegion: string;
    lookup: LookupSpec;
    claims: ClaimsSpec;
    quarantine: QuarantineSpec;
    shutdown: ShutdownSpec;
}

export interface RegionSpec {
    name: string;
    zones: string[];
}

export interface LinkSpec {
    from: string;
    to: string;
    megabitsPerSecond: number;
    oneWayDelayMs: number;
    /**
     * Share of the bandwidth that bulk traffic may not use.
     * @default 0.1
     */
    reservedShare: number;
}

/** A location in one availability zone where services run. */
export interface SiteSpec {
    name: string;
    region: string;
    zone: string;
}

export interface ServiceSpec {
    name: string;
    backend: BackendSpec;
    /** Sites that run the service, and the capacity of each. */
    sites: ServiceSiteSpec[];
    routes: RouteSpec[];
}

export interface BackendSpec {
    /** Requests that one backend server runs concurrently. */
    slots: number;
    /** Connections that one backend server accepts. */
    maxConnections: number;
    /** Time for which a started or newly loaded backend server has cold caches. */
    warmUpSeconds: number;
    /** Share of its capacity that a server with cold caches can serve. */
    coldShare: number;
}

export interface ServiceSiteSpec {
    site: string;
    /** Backend servers of the service at this site. */
    servers: number;
    maxRequestsPerSecond: number;
}

export interface RouteSpec {
    name: string;
    methods: string[];
    /** Path prefix after the service's name, such as /certificates. The longest matching prefix wins. */
    path: string;
    class: RequestClass;
    /** Whether running the request twice has the same effect as running it once. */
    idempotent: boolean;
    /** Timeout of the whole request. */
    timeoutMs: number;
    maxBodyBytes: number;
    /** Maximum retries as a fraction of the route's requests. */
    retryBudget: number;
}

export interface ShiftCapSpec {
    from: string;
    to: string;
    /** Maximum requests per second that are shifted from one region to the other, all services together. */
    maxRequestsPerSecond: number;
    /** Maximum increase of the shifted requests per second within one second. */
    maxIncreasePerSecond: number;
}

export interface DrainSpec {
    /** Site or region that is drained. */
    place: string;
    /** Service that is drained; all services if omitted. */
    service?: string;
    /** Start in ISO 8601 format with a time zone. */
    startsAt: string;
    /** End in ISO 8601 format with a time zone; if omitted, the drain lasts until the manifest changes. */
    endsAt?: string;
}

export interface ClientBlockSpec {
    /** IPv4 block, such as 10.1.0.0/16. */
    block: string;
    region: string;
}

export interface LookupSpec {
    /** Time for which callers may cache a lookup response. */
    ttlSeconds: number;
}

export interface ClaimsSpec {
    shards: number;
    /** Maximum store writes per second, all shards together. */
    maxWritesPerSecond: number;
    /** Time for which the outcome of an idempotency key is kept. */
    retentionSeconds: number;
    /** Maximum size of a response body that is kept for retries. */
    maxOutcomeBytes: number;
}

export interface QuarantineSpec {
    /** Number of backend servers that a request may crash before it is quarantined. */
    crashLimit: number;
    quarantineSeconds: number;
}

export interface ShutdownSpec {
    /** Maximum time for which a stopping entry waits for requests in flight. */
    maxWaitSeconds: number;
}

/** The manifest as it is stored under the key `manifest`. */
export interface AcceptedManifest {
    /** Increases by one with each accepted push. */
    generation: number;
    /** Id of the push that wrote this generation. */
    pushId: string;
    /** Format version that an entry must support to apply the manifest. */
    formatVersion: number;
    manifest: Manifest;
}

export const manifestKey = "manifest";
/** Format versions that this release supports. */
export const supportedFormats: readonly number[] = [1];
