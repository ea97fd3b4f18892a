/** Splits the requests of a route between services in the declared proportions. */
import { hash32 } from "@waxwingdale/core";
import type { ServiceShare } from "./traffic-config.js";

export interface ServiceSplit {
    /** Returns the service of the next request. Requests for one object go to one service as far as the shares allow. */
    next(objectKey: string | undefined): string;
}

/** Requests by which the split may be ahead of or behind a share before the object no longer decides. */
const maxDeviation = 4;
const hashRange = 2 ** 32;

/**
 * Creates a split. The object picks the service by its hash, since its backend server is warm there. A share that is more
 * than `maxDeviation` requests away from its due is corrected at once, since the declared proportions hold for any
 * window of time.
 */
export function createServiceSplit(shares: readonly ServiceShare[]): ServiceSplit {
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

    return {
        next: objectKey => {
            if (parts.length <= 1) {
                return first.service;
            }
            parts.forEach(part => (part.due += part.share));
            const mostDue = parts.reduce((a, b) => (b.due > a.due ? b : a));
            let picked = objectKey === undefined ? mostDue : pickByObject(objectKey);
            if (mostDue.due > maxDeviation || picked.due < -maxDeviation) {
                picked = mostDue;
            }
            picked.due -= 1;
            return picked.service;
        },
    };
}

/** Separates the choice of a service from the choice of a backend server, which hashes the same keys. */
const splitSeed = 17;
