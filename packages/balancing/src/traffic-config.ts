/** Traffic configuration by operators: routes, services and caller limits. All durations are in milliseconds. */

/** Whether a request may be repeated. */
export enum RequestKind {
    /** May run more than once. */
    Idempotent = "idempotent",
    /** May run at most once for each request id. */
    NonIdempotent = "non-idempotent",
    /** Idempotent with a large response. */
    Download = "download",
}

/** A service of a route, with its share of the requests. */
export interface ServiceShare {
    service: string;
    /** Weight relative to the other services of the route. */
    weight: number;
}

export interface Route {
    name: string;
    host: string;
    /** Starts and ends with a slash. */
    pathPrefix: string;
    kind: RequestKind;
    /** Maximum time until the response. */
    timeoutMs: number;
    /** Latency up to which a response has its full value for the caller. */
    targetLatencyMs: number;
    /** Priority of the route; 0 is the most urgent. */
    priority: number;
    /** Maximum number of backend servers that one request may be sent to. */
    maxAttempts: number;
    /** Whether a backend server responds faster for an object that it handled recently. */
    hasAffinity: boolean;
    /** Regions in which requests may run; empty means any. */
    allowedRegions: readonly string[];
    shares: readonly ServiceShare[];
    /** Whether requests need no key, where the configuration has workspaces. */
    isPublic: boolean;
}

/** A customer of the operators, whose callers identify themselves by its keys. */
export interface Workspace {
    name: string;
    /** What identifies the keys: digests of them. */
    apiKeys: readonly string[];
    /** Precedes the priority of the route; 0 is the most urgent. */
    priority: number;
    /** Quota for the requests of all instances together; 0 means no limit. */
    requestsPerSecond: number;
    /** Requests that the quota allows at once in addition. */
    burst: number;
    /** Regions in which requests may run, in addition to those of the route; empty means any. */
    allowedRegions: readonly string[];
}

export interface Service {
    name: string;
    healthPath: string;
    /** Maximum number of connections to one backend server, across all instances. */
    maxConnections: number;
    /** Time for which a backend server is cold after startup. */
    coldStartMs: number;
    /** Maximum number of requests per second to a cold backend server, across all instances. */
    coldRequestsPerSecond: number;
}

/** Limits for requests and connections of callers. */
export interface CallerLimits {
    headerBytes: number;
    bodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface TrafficConfig {
    version: number;
    routes: readonly Route[];
    services: readonly Service[];
    limits: CallerLimits;
    /** Undefined if requests need no keys. */
    workspaces: readonly Workspace[] | undefined;
}
