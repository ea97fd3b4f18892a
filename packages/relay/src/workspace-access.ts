/** Decides whose request it is by its key, before anything else of the request is processed. */
import type { Route, RouteIndex, Workspace } from "@waxwingdale/balancing";

/** Whose request it is. */
export interface CallerIdentity {
    /** Whether the configuration has workspaces, so that headers of the caller do not name one. */
    needsKeys: boolean;
    /** Undefined if requests need no keys, or if the route is public and the key unknown. */
    workspace: Workspace | undefined;
}

export enum AccessDenial {
    UnknownKey = "unknown-key",
    /** The key may have been withdrawn without this instance having read it. */
    StaleView = "stale-view",
}

/** A request that was admitted, with its key. */
export interface KeyUse {
    identity: CallerIdentity;
    route: Route;
    apiKey: string | undefined;
}

export type AccessDecision = { identity: CallerIdentity } | { denial: AccessDenial };

/** @param mayServeKeys Whether this instance would know if a key had been withdrawn. */
export function checkAccess(
    { workspaces }: RouteIndex,
    route: Route,
    apiKey: string | undefined,
    mayServeKeys: () => boolean,
): AccessDecision {
    if (workspaces === undefined) {
        return { identity: { needsKeys: false, workspace: undefined } };
    }
    const workspace = apiKey === undefined ? undefined : workspaces.find(apiKey);
    // A public route serves its callers whatever their keys, so a withdrawn one only names their workspace for longer.
    if (route.isPublic) {
        return { identity: { needsKeys: true, workspace } };
    }
    if (!mayServeKeys()) {
        return { denial: AccessDenial.StaleView };
    }
    return workspace === undefined
        ? { denial: AccessDenial.UnknownKey }
        : { identity: { needsKeys: true, workspace } };
}

/**
 * Whether a request that was admitted may still be sent to a server: its key may have been withdrawn while the request
 * waited. A public route needs no key.
 */
export function isKeyValid(
    index: RouteIndex | undefined,
    { identity, route, apiKey }: KeyUse,
    mayServeKeys: () => boolean,
): boolean {
    const { workspace } = identity;
    if (workspace === undefined || route.isPublic) {
        return true;
    }
    return (
        mayServeKeys() &&
        (index?.workspaces === undefined || index.workspaces.find(apiKey ?? "")?.name === workspace.name)
    );
}
