/** Matches requests to the routes of the manifest's services. */
import type { RouteSpec, ServiceSpec } from "@waxwingdale/manifest";

export interface RouteMatch {
    service: ServiceSpec;
    route: RouteSpec;
    /** Path after the service name, with the query. */
    path: string;
}

export interface RouteTable {
    /** Returns the route for a URL such as /register/detectors/7?full=1, or undefined. */
    match(method: string, url: string): RouteMatch | undefined;
}

export function createRouteTable(services: readonly ServiceSpec[]): RouteTable {
    const byName = new Map(
        services.map(service => [service.name, { service, routes: sortByLength(service.routes) }]),
    );
    return {
        match: (method, url) => {
            const slash = url.indexOf("/", 1);
            const found = slash < 0 ? undefined : byName.get(url.slice(1, slash));
            if (found === undefined) {
                return undefined;
            }
            const path = url.slice(slash);
            const route = found.routes.find(
                spec => spec.methods.includes(method) && hasPathPrefix(path, spec.path),
            );
            return route && { service: found.service, route, path };
        },
    };
}

function sortByLength(routes: readonly RouteSpec[]): RouteSpec[] {
    return [...routes].sort((a, b) => b.path.length - a.path.length);
}

/** Compares whole path segments: /files matches /files/a and /files?x, but not /filesystem. */
function hasPathPrefix(path: string, prefix: string): boolean {
    if (!path.startsWith(prefix)) {
        return false;
    }
    const next = path[prefix.length];
    return next === undefined || next === "/" || next === "?" || prefix.endsWith("/");
}
