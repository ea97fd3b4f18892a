/** Route lookup by host and longest path prefix. */
import type { Route, TrafficConfig } from "./traffic-config.js";
import { createWorkspaceIndex } from "./workspace-index.js";
import type { WorkspaceIndex } from "./workspace-index.js";

export interface RouteIndex {
    readonly version: number;
    /** Undefined if requests need no keys. */
    readonly workspaces: WorkspaceIndex | undefined;
    /** Returns the matching route, or undefined if there is none. */
    find(host: string, path: string): Route | undefined;
}

/** Builds the index for one version of the configuration. */
export function createRouteIndex(config: TrafficConfig): RouteIndex {
    const byHost = new Map<string, Route[]>();
    for (const route of config.routes) {
        const routes = byHost.get(route.host) ?? [];
        routes.push(route);
        byHost.set(route.host, routes);
    }
    byHost.forEach(routes => routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
    return {
        version: config.version,
        workspaces: config.workspaces && createWorkspaceIndex(config.workspaces),
        find: (host, path) =>
            byHost.get(normalizeHost(host))?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
    };
}

/** Host names are case-insensitive, and the port in the header is irrelevant for routing. */
function normalizeHost(host: string): string {
    const colon = host.lastIndexOf(":");
    return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
