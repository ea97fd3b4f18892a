/**
 * Decides which objects of a region run in other regions. A fixed part of the objects leaves while the region's own
 * servers are short, and the part changes slowly, since objects that change their region meet cold servers.
 */
import { hash32 } from "@waxwingdale/core";
import { createSlidingWindowCounter } from "./sliding-window-counter.js";

export interface RegionSpillover {
    /** Whether requests for the object leave the region. */
    spillsOver(objectKey: string): boolean;
    /** Takes from the allowance of single requests that leave beyond the part; false when it is used up. */
    tryOverflow(): boolean;
    countRequest(now: number): void;
    /** Whether a request has been counted; until then the part follows from the slots alone. */
    hasTraffic(): boolean;
    /** Adapts the part to the use of the region's slots. */
    adapt(use: RegionUtilization, now: number): void;
    part(): number;
}

/** Slots of a service, in the own region and in all that the system serves. */
export interface RegionUtilization {
    slots: number;
    /** Requests that the region's servers have; more than the slots when requests wait there. */
    busy: number;
    allSlots: number;
    regions: number;
}

export interface RegionSpilloverOptions {
    /** Part of a region's requests that may change their region from one window to the next. */
    maxShift: number;
}

/** Length in milliseconds of the windows between which shifts are bounded. */
const shiftWindowMs = 2000;
/** Use of the slots above which more objects leave: beyond it queues grow faster than they empty. */
const highUtilization = 0.8;
/** Use of the slots below which objects come back. */
const lowUtilization = 0.55;
/** Part of the bound that the slow change takes; single requests take the rest, less a margin for chance. */
const rampShare = 0.5;
const overflowShare = 0.25;
/** Requests that may leave at once after a time without. */
const maxOverflow = 6;
/** Requests in a time below which an instance knows too little of the load of its region, and takes the slots instead. */
const evidenceMs = 5000;
const minEvidence = 10;
/** Separates the choice of the region from that of the server, which hashes the same keys. */
const spillSeed = 29;
const hashRange = 2 ** 32;

export function createRegionSpillover({ maxShift }: RegionSpilloverOptions): RegionSpillover {
    const recent = createSlidingWindowCounter(evidenceMs);
    let part = 0;
    let hasTraffic = false;
    let overflow = maxOverflow;
    let adaptedAt: number | undefined;
    let lastCapacity = 0;

    /** Servers that are lost take their share of the objects along; the others keep what they have. */
    const followLoss = (capacity: number) => {
        if (capacity < lastCapacity) {
            part = 1 - (1 - part) * (capacity / lastCapacity);
        }
        lastCapacity = capacity;
    };

    /** Regions are taken to have equal demand where their traffic is not seen. */
    const partBySlots = ({ slots, regions, allSlots }: RegionUtilization) =>
        Math.max(0, 1 - (slots * regions) / Math.max(1, allSlots));

    return {
        spillsOver: objectKey => part > 0 && hash32(objectKey, spillSeed) / hashRange < part,
        tryOverflow: () => {
            if (overflow < 1) {
                return false;
            }
            overflow -= 1;
            return true;
        },
        countRequest: now => {
            hasTraffic = true;
            recent.add(now);
            overflow = Math.min(maxOverflow, overflow + maxShift * overflowShare);
        },
        hasTraffic: () => hasTraffic,
        adapt: (use, now) => {
            const elapsedMs = adaptedAt === undefined ? 0 : Math.min(shiftWindowMs, now - adaptedAt);
            adaptedAt = now;
            if (!hasTraffic) {
                part = partBySlots(use);
                lastCapacity = use.slots;
                return;
            }
            followLoss(use.slots);
            const step = (maxShift * rampShare * elapsedMs) / shiftWindowMs;
            if (recent.count(now) < minEvidence) {
                part += Math.min(step, Math.max(-step, partBySlots(use) - part));
            } else if (use.busy > use.slots * highUtilization) {
                part = Math.min(1, part + step);
            } else if (use.busy < use.slots * lowUtilization) {
                part = Math.max(0, part - step);
            }
        },
        part: () => part,
    };
}
