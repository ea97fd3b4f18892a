/** Splits the requests of a route among services by weight. */
import { hash32 } from "@waxwingdale/core";
import type { Random } from "@waxwingdale/core";
import type { ServiceShare } from "./traffic-config.js";

export interface ServiceSplit {
    /** Returns the service of the next request; the same service for the same object, as far as the shares allow. */
    next(objectKey: string | undefined): string;
}

export interface ServiceSplitOptions {
    shares: readonly ServiceShare[];
    /** Number of instances that independently split the requests of the route. */
    instances: () => number;
    random: Random;
}

/**
 * Maximum deviation from a share in requests, across all instances. All instances pick the same service for an object,
 * so their deviations add up, and the shares must hold in windows of a few hundred requests.
 */
const maxFleetDeviation = 18;
/** Maximum deviation of one instance, and the minimum for affinity to apply, since a request cannot be divided. */
const maxDeviation = 2;
const minDeviation = 0.5;
const hashRange = 2 ** 32;

/**
 * Creates a split. The service is chosen by the hash of the object, since a server of that service is warm for it. A
 * share that deviates too far is corrected immediately, since the weights must hold in any time window. Instances start
 * at random positions, so that their first requests do not all go to the same service.
 */
export function createServiceSplit({ shares, instances, random }: ServiceSplitOptions): ServiceSplit {
    const total = shares.reduce((sum, { weight }) => sum + weight, 0);
    const entries = shares
        .filter(({ weight }) => weight > 0)
        .map(({ service, weight }) => ({ service, share: weight / total, deficit: 0 }));
    const fallback = entries[0] ?? { service: shares[0]?.service ?? "", share: 1, deficit: 0 };

    const pickByObject = (objectKey: string) => {
        let point = hash32(objectKey, splitSeed) / hashRange;
        for (const entry of entries) {
            point -= entry.share;
            if (point < 0) {
                return entry;
            }
        }
        return fallback;
    };

    const pickNext = (objectKey: string | undefined): string => {
        const maxOwnDeviation = Math.min(maxDeviation, maxFleetDeviation / instances());
        entries.forEach(entry => (entry.deficit += entry.share));
        const mostUnderserved = entries.reduce((a, b) => (b.deficit > a.deficit ? b : a));
        let picked =
            objectKey === undefined || maxOwnDeviation < minDeviation
                ? mostUnderserved
                : pickByObject(objectKey);
        if (mostUnderserved.deficit > maxOwnDeviation || picked.deficit < -maxOwnDeviation) {
            picked = mostUnderserved;
        }
        picked.deficit -= 1;
        return picked.service;
    };

    for (let step = Math.floor(random() * maxInitialSteps); step > 0 && entries.length > 1; step--) {
        pickNext(undefined);
    }
    return { next: objectKey => (entries.length <= 1 ? fallback.service : pickNext(objectKey)) };
}

/** Hash seed that makes the choice of the service independent of the server ranking, which hashes the same keys. */
const splitSeed = 17;
/** Maximum number of steps by which the starting positions of instances differ. */
const maxInitialSteps = 100;
