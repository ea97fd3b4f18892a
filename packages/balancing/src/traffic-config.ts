/** What operators declare about traffic: routes, services and limits of callers. All durations are in milliseconds. */

/** What a request may be repeated for. */
export enum RequestKind {
    /** May run more than once. */
    Idempotent = "idempotent",
    /** May run at most once for each request id. */
    NonIdempotent = "non-idempotent",
    /** Idempotent with a large answer. */
    Download = "download",
}

/** A service that a route sends requests to, with its part of them. */
export interface ServiceShare {
    service: string;
    /** Share relative to the other services of the route. */
    weight: number;
}

export interface Route {
    name: string;
    host: string;
    /** Begins and ends with a slash. */
    pathPrefix: string;
    kind: RequestKind;
    /** Longest time that a request may wait for its answer. */
    timeoutMs: number;
    /** Time within which an answer has its full value for the caller. */
    targetLatencyMs: number;
    /** Rank of the route; 0 is the most urgent. */
    priority: number;
    /** Backend servers that one request may be sent to. */
    maxAttempts: number;
    /** Whether a backend server answers faster for an object that it has handled recently. */
    hasAffinity: boolean;
    /** Regions in which requests may run; empty means all. */
    allowedRegions: readonly string[];
    shares: readonly ServiceShare[];
}

export interface Service {
    name: string;
    healthPath: string;
    /** Connections that one backend server accepts from all instances together. */
    maxConnections: number;
    /** Time for which a backend server is cold after its start. */
    coldStartMs: number;
    /** Requests per second that a cold backend server takes from all instances together. */
    coldRequestsPerSecond: number;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
    headerBytes: number;
    bodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
}

/** One version of the declaration. */
export interface TrafficConfig {
    version: number;
    routes: readonly Route[];
    services: readonly Service[];
    limits: CallerLimits;
}
