/** Interfaces of traffic steering: which region serves a request, and which entry addresses a caller should use. */
import type { RequestClass } from "./request-class.js";

/** Why a region was chosen for a request. */
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
     * Chooses the region that serves a request. `home` is the home region of the caller's address block; if undefined,
     * the request counts as traffic of the entry's region.
     */
    chooseRegion(service: string, requestClass: RequestClass, home?: string): SteeringDecision;
    /** Records that the entry's region currently has no backend server for the service. */
    recordNoLocalBackend(service: string): void;
}

export interface LookupEntry {
    /** Address and port to which callers connect. */
    address: string;
    region: string;
    zone: string;
}

/** Response to a lookup: entry addresses in descending order of preference. */
export interface LookupResponse {
    service: string;
    generation: number;
    /** Time in seconds for which the response may be cached. */
    ttlSeconds: number;
    entries: LookupEntry[];
}

export interface LookupDirectory {
    /** Returns undefined if the service is unknown. `client` is the caller's IPv4 address. */
    lookup(service: string, client: string | undefined): LookupResponse | undefined;
}
