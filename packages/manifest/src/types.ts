/** The manifest: what operators declare. Every time has its unit in its name; bandwidth is in megabits per second. */
import type { RequestClass } from "@waxwingdale/core";

export interface Manifest {
    /** Version of this format; an entry that does not know it does not apply the manifest. */
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
    /** Caps on traffic shifted from one region to another. A pair without a cap takes no shifted traffic. */
    shiftCaps: ShiftCapSpec[];
    drains: DrainSpec[];
    /** Home regions of client address blocks; the longest matching prefix wins. */
    clientBlocks: ClientBlockSpec[];
    /** Region for clients that no block matches. */
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
     * Share of the link kept free of bulk traffic.
     * @default 0.1
     */
    reservedShare: number;
}

/** A place in one availability zone where services run. */
export interface SiteSpec {
    name: string;
    region: string;
    zone: string;
}

export interface ServiceSpec {
    name: string;
    backend: BackendSpec;
    /** Where the service may run and how much each site may take. */
    sites: ServiceSiteSpec[];
    routes: RouteSpec[];
}

export interface BackendSpec {
    /** Requests that one backend server runs at once. */
    slots: number;
    /** Connections that one backend server accepts. */
    maxConnections: number;
    /** Time for which a started or newly loaded backend server has cold caches. */
    warmUpSeconds: number;
    /** Share of its capacity that a cold server carries. */
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
    /** Longest time for the whole request. */
    timeoutMs: number;
    maxBodyBytes: number;
    /** Retries as a share of the route's requests. */
    retryBudget: number;
}

export interface ShiftCapSpec {
    from: string;
    to: string;
    /** Most requests per second that are sent from one region to the other, all services together. */
    maxRequestsPerSecond: number;
    /** Largest increase of the shifted requests per second in one second. */
    maxIncreasePerSecond: number;
}

export interface DrainSpec {
    /** Site or region that is drained. */
    place: string;
    /** Service that is drained; all services when left out. */
    service?: string;
    /** Start in ISO 8601 format with time zone. */
    startsAt: string;
    /** End in ISO 8601 format with time zone; the drain lasts until the manifest changes when left out. */
    endsAt?: string;
}

export interface ClientBlockSpec {
    /** IPv4 block, such as 10.1.0.0/16. */
    block: string;
    region: string;
}

export interface LookupSpec {
    /** Time for which callers may cache a look-up answer. */
    ttlSeconds: number;
}

export interface ClaimsSpec {
    shards: number;
    /** Store writes per second that all shards together may use. */
    maxWritesPerSecond: number;
    /** Time for which the outcome of a key is kept. */
    retentionSeconds: number;
    /** Largest response body that is kept for repeats. */
    maxOutcomeBytes: number;
}

export interface QuarantineSpec {
    /** Servers that one request may crash before it is refused. */
    crashLimit: number;
    quarantineSeconds: number;
}

export interface ShutdownSpec {
    /** Longest time for which a stopping entry waits for requests in flight. */
    maxWaitSeconds: number;
}

/** The manifest as it is stored under the key `manifest`. */
export interface AcceptedManifest {
    /** Grows by one with each accepted push. */
    generation: number;
    /** Id of the push that wrote this generation. */
    pushId: string;
    /** Format that an entry must know to apply the manifest. */
    formatVersion: number;
    manifest: Manifest;
}

export const manifestKey = "manifest";
/** Formats that this release can apply. */
export const supportedFormats: readonly number[] = [1];
