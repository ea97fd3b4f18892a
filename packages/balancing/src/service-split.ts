/** Splits the requests of a route between services in the declared proportions. */
import { hash32 } from "@waxwingdale/core";
import type { Random } from "@waxwingdale/core";
import type { ServiceShare } from "./traffic-config.js";

export interface ServiceSplit {
    /** Returns the service of the next request. Requests for one object go to one service as far as the shares allow. */
    next(objectKey: string | undefined): string;
}

export interface ServiceSplitOptions {
    shares: readonly ServiceShare[];
    /** Instances that split the requests of the route, each on its own. */
    instances: () => number;
    random: Random;
}

/**
 * Requests by which all instances together may be ahead of or behind a share. The objects decide in the same way
 * everywhere, so the deviations of instances add up, and shares are declared for windows of a few hundred requests.
 */
const maxFleetDeviation = 18;
/** Most of it for one instance, and the least for which objects decide: a whole request goes to one service. */
const maxDeviation = 2;
const minDeviation = 0.5;
const hashRange = 2 ** 32;

/**
 * Creates a split. The object picks the service by its hash, since its backend server is warm there. A share that is too
 * far from its due is corrected at once, since the declared proportions hold for any window of time. Instances begin at
 * random points, so that their first requests do not all go to one service.
 */
export function createServiceSplit({ shares, instances, random }: ServiceSplitOptions): ServiceSplit {
    const total = shares.reduce((sum, { weight }) => sum + weight, 0);
    const parts = shares
        .filter(({ weight }) => weight > 0)
        .map(({ service, weight }) => ({ service, share: weight / total, due: 0 }));
    const first = parts[0] ?? { service: shares[0]?.service ?? "", share: 1, due: 0 };

    const pickByObject = (objectKey: string) => {
        let point = hash32(objectKey, splitSeed) / hashRange;
        for (const part of parts) {
            point -= part.share;
            if (point < 0) {
                return part;
            }
        }
        return first;
    };

    const take = (objectKey: string | undefined): string => {
        const allowed = Math.min(maxDeviation, maxFleetDeviation / instances());
        parts.forEach(part => (part.due += part.share));
        const mostDue = parts.reduce((a, b) => (b.due > a.due ? b : a));
        let picked = objectKey === undefined || allowed < minDeviation ? mostDue : pickByObject(objectKey);
        if (mostDue.due > allowed || picked.due < -allowed) {
            picked = mostDue;
        }
        picked.due -= 1;
        return picked.service;
    };

    for (let step = Math.floor(random() * maxInitialSteps); step > 0 && parts.length > 1; step--) {
        take(undefined);
    }
    return { next: objectKey => (parts.length <= 1 ? first.service : take(objectKey)) };
}

/** Separates the choice of a service from the choice of a backend server, which hashes the same keys. */
const splitSeed = 17;
/** Steps of the split, at most, by which an instance begins later than another. */
const maxInitialSteps = 100;
