/** Estimates how often a zone would reuse an object of a route that is cached on one of its own servers. */

export interface ReuseEstimator {
    /** Counts a request of this instance for the object. */
    count(route: string, objectKey: string): void;
    /** Updates the estimates. */
    adapt(now: number): void;
    /** Expected requests of the zone for an object during the time that a server keeps it cached. */
    usesPerCopy(route: string): number;
}

export interface ReuseEstimatorOptions {
    /** Number of instances in the local zone, which are assumed to receive equal traffic. */
    instancesInZone: () => number;
}

/** Assumed cache lifetime of an object in milliseconds: servers evict objects or are replaced in about this time. */
const cacheLifetimeMs = 30_000;
/** Length of a counting period in milliseconds; estimates use the current and the previous one. */
const periodMs = 10_000;
/** Estimate until the traffic of a route is known: assumes that a requested object is requested again. */
const initialUses = 20;
/** Minimum number of counted requests of a route for an estimate. */
const minRequests = 30;
/** Minimum time in milliseconds between two estimates, each of which iterates over all counted objects. */
const estimateIntervalMs = 1000;
/** Iterations for the number of objects; each one at least halves the error. */
const iterations = 8;

interface RouteCounts {
    requests: number;
    objects: Set<string>;
}

/**
 * Estimates the number of objects from the number of `distinct` ones among `requests` uniformly distributed requests,
 * by solving distinct = objects * (1 - exp(-requests / objects)). Returns Infinity if no object was requested twice.
 */
export function estimateObjects(requests: number, distinct: number): number {
    if (distinct >= requests) {
        return Infinity;
    }
    let objects = requests ** 2 / (2 * (requests - distinct));
    for (let step = 0; step < iterations; step++) {
        objects = distinct / (1 - Math.exp(-requests / objects));
    }
    return objects;
}

export function createReuseEstimator({ instancesInZone }: ReuseEstimatorOptions): ReuseEstimator {
    let current = new Map<string, RouteCounts>();
    let previous = new Map<string, RouteCounts>();
    let usesByRoute = new Map<string, number>();
    let countedMs = 0;
    let startedAt: number | undefined;
    let previousMs = 0;
    let estimatedAt = -Infinity;

    const estimate = (route: string): number | undefined => {
        const counts = [current.get(route), previous.get(route)].filter(entry => entry !== undefined);
        const requests = counts.reduce((sum, entry) => sum + entry.requests, 0);
        const distinct = new Set(counts.flatMap(({ objects }) => [...objects])).size;
        if (requests < minRequests) {
            return undefined;
        }
        const requestsPerMs = requests / Math.max(1, countedMs);
        return (requestsPerMs * instancesInZone() * cacheLifetimeMs) / estimateObjects(requests, distinct);
    };

    return {
        count: (route, objectKey) => {
            const counts = current.get(route) ?? { requests: 0, objects: new Set<string>() };
            current.set(route, counts);
            counts.requests += 1;
            counts.objects.add(objectKey);
        },
        adapt: now => {
            startedAt ??= now;
            if (now - estimatedAt < estimateIntervalMs) {
                return;
            }
            estimatedAt = now;
            countedMs = previousMs + now - startedAt;
            // Drops routes without traffic, since a new configuration may have renamed them.
            const routes = [...current.keys(), ...previous.keys()];
            usesByRoute = new Map(
                routes.map(route => [route, estimate(route) ?? usesByRoute.get(route) ?? initialUses]),
            );
            if (now - startedAt >= periodMs) {
                previous = current;
                previousMs = now - startedAt;
                current = new Map();
                startedAt = now;
            }
        },
        usesPerCopy: route => usesByRoute.get(route) ?? initialUses,
    };
}
