/** A request that needs a backend server, and the server that is chosen for it. */
import type { BackendState } from "./backend-state.js";
import type { Route } from "./traffic-config.js";

/** A request as far as it decides about the backend server. */
export interface RoutedRequest {
    route: Route;
    service: string;
    objectKey: string;
    /** Time of the clock at which the request was read. */
    arrivedAt: number;
    /** Time of the clock at which its caller stops waiting. */
    deadlineAt: number;
    /** Ids of servers that have had the request already. */
    tried: Set<string>;
}

export enum ChoiceKind {
    Send = "send",
    /** All servers that could take the request are full. */
    Full = "full",
    /** No server may get the request. */
    NoServer = "no-server",
}

/** A backend server for a request, with what is expected of it. Times are in milliseconds. */
export interface Placement {
    kind: ChoiceKind.Send;
    server: BackendState;
    /** Whether this instance knows the server to have handled the object recently. */
    isWarm: boolean;
    /** Whether the server takes the request now; otherwise it waits at the instance. */
    hasCapacity: boolean;
    /** Expected time to the answer. */
    expectedMs: number;
    /** Expected part of it that the request waits for a slot. */
    waitMs: number;
    /** Expected part of it that the server works. */
    workMs: number;
    /** Expected part of it that the way takes. */
    roundTripMs: number;
    /** What the choice is compared by: the expected time and what the request costs others. */
    costMs: number;
}

/** Servers keep what they know of an object for each route apart, so the routes of an object are placed apart as well. */
export function placementKey({ route, objectKey }: RoutedRequest): string {
    return `${route.name}\n${objectKey}`;
}
