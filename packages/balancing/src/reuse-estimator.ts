/** Estimates how often a zone would use a copy of one object of a route on a server of its own. */

export interface ReuseEstimator {
    /** Counts a request of this instance for the object. */
    count(route: string, objectKey: string): void;
    /** Renews the estimates. */
    adapt(now: number): void;
    /** Requests of the zone for an object in the time for which a server is taken to keep it. */
    usesPerCopy(route: string): number;
}

export interface ReuseEstimatorOptions {
    /** Instances of the own zone, which have about the same traffic. */
    instancesInZone: () => number;
}

/** Time in milliseconds for which a server is taken to keep an object: servers are replaced and forget in about this time. */
const keepMs = 30_000;
/** Length in milliseconds of a period of counting; the last two count. */
const periodMs = 10_000;
/** Requests for an object before the route's traffic is known: an object that is asked for at all is asked for again. */
const initialUses = 20;
/** Requests of a route in the counted time from which its objects can be estimated. */
const minRequests = 30;
/** Time in milliseconds between two estimates, each of which goes through all objects. */
const estimateIntervalMs = 1000;
/** Steps to the number of objects; each halves the error at least. */
const steps = 8;

interface RouteCounts {
    requests: number;
    objects: Set<string>;
}

/**
 * Number of objects of which `requests` evenly spread requests meet `distinct` different ones, from
 * distinct = objects x (1 - exp(-requests / objects)). Infinite when none came twice.
 */
export function estimateObjects(requests: number, distinct: number): number {
    if (distinct >= requests) {
        return Infinity;
    }
    let objects = requests ** 2 / (2 * (requests - distinct));
    for (let step = 0; step < steps; step++) {
        objects = distinct / (1 - Math.exp(-requests / objects));
    }
    return objects;
}

export function createReuseEstimator({ instancesInZone }: ReuseEstimatorOptions): ReuseEstimator {
    let current = new Map<string, RouteCounts>();
    let previous = new Map<string, RouteCounts>();
    let uses = new Map<string, number>();
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
        const perMs = requests / Math.max(1, countedMs);
        return (perMs * instancesInZone() * keepMs) / estimateObjects(requests, distinct);
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
            // Routes without traffic are forgotten, since configurations rename them.
            const routes = [...current.keys(), ...previous.keys()];
            uses = new Map(routes.map(route => [route, estimate(route) ?? uses.get(route) ?? initialUses]));
            if (now - startedAt >= periodMs) {
                previous = current;
                previousMs = now - startedAt;
                current = new Map();
                startedAt = now;
            }
        },
        usesPerCopy: route => uses.get(route) ?? initialUses,
    };
}
