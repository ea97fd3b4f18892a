/** A request to be balanced, and the backend server chosen for it. */
import type { BackendState } from "./backend-state.js";
import type { Route, Workspace } from "./traffic-config.js";

/** The properties of a request that determine its backend server. */
export interface RoutedRequest {
    route: Route;
    service: string;
    /** Undefined if the request has no key, or needs none. */
    workspace?: Workspace | undefined;
    objectKey: string;
    /** Size of the body in bytes; 0 if it has none. */
    bodyBytes?: number;
    /** Clock time at which the request arrived. */
    arrivedAt: number;
    /** Clock time at which the caller stops waiting. */
    deadlineAt: number;
    /** Ids of the servers that the request was already sent to. */
    tried: Set<string>;
}

export enum ChoiceKind {
    Send = "send",
    /** All eligible servers are at capacity. */
    Full = "full",
    /** All eligible servers want the request only later: they have a rate limit, or have asked for a pause. */
    Throttled = "throttled",
    /** No server is eligible for the request. */
    NoServer = "no-server",
}

/** A backend server chosen for a request, with the expected times in milliseconds. */
export interface Placement {
    kind: ChoiceKind.Send;
    server: BackendState;
    /** Whether the server recently handled the object for this instance. */
    isWarm: boolean;
    /** Whether the request can be sent now; otherwise it is queued at the instance. */
    hasCapacity: boolean;
    /** Expected time until the response; the sum of the three components below. */
    expectedMs: number;
    /** Expected time waiting for a slot. */
    waitMs: number;
    /** Expected processing time on the server. */
    workMs: number;
    /** Expected processing time while the server's machine has its usual speed. */
    usualWorkMs: number;
    /** Work time factor of the server when it was chosen. */
    workTimeFactor: number;
    /** Expected network round-trip time. */
    roundTripMs: number;
    /** Cost by which placements are compared: the expected time plus the cost to other requests. */
    costMs: number;
}

/** Servers cache an object separately for each route, so each route of an object is also placed separately. */
export function placementKey({ route, objectKey }: RoutedRequest): string {
    return `${route.name}\n${objectKey}`;
}
