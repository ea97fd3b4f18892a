/** Finds the route of a request by host and longest path prefix. */
import type { Route, TrafficConfig } from "./traffic-config.js";

export interface RouteIndex {
    readonly version: number;
    /** Returns the route, or undefined when no prefix of the host begins the path. */
    find(host: string, path: string): Route | undefined;
}

/** Builds the index of one version of the declaration. */
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
        find: (host, path) =>
            byHost.get(normalizeHost(host))?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
    };
}

/** Host names are case-insensitive, and a port in the header does not select another route. */
function normalizeHost(host: string): string {
    const colon = host.lastIndexOf(":");
    return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
