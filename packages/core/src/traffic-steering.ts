/** Contracts of steering: the region that serves a request, and the entry addresses that a caller should use. */
import type { RequestClass } from "./request-class.js";

/** Why a request goes to a region. */
export enum SteeringReason {
    Home = "home",
    Plan = "plan",
    ShiftCap = "shift-cap",
    NoLocalBackend = "no-local-backend",
}

export interface SteeringDecision {
    region: string;
    reason: SteeringReason;
}

export interface TrafficSteering {
    /**
     * Chooses the region that serves a request. `home` is the home region of the caller's block; without it, the
     * request counts as traffic of the entry's region.
     */
    chooseRegion(service: string, requestClass: RequestClass, home?: string): SteeringDecision;
    /** Records that the entry's region has no backend server for the service at this moment. */
    recordNoLocalBackend(service: string): void;
}

export interface LookupEntry {
    /** Address and port for callers. */
    address: string;
    region: string;
    zone: string;
}

/** Answer to a look-up: addresses from the best to the last resort. */
export interface LookupResponse {
    service: string;
    generation: number;
    /** Time in seconds for which the answer may be cached. */
    ttlSeconds: number;
    entries: LookupEntry[];
}

export interface LookupDirectory {
    /** Returns undefined when the service is unknown. `client` is the caller's IPv4 address. */
    lookup(service: string, client: string | undefined): LookupResponse | undefined;
}
