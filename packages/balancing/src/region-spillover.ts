/**
 * Decides which objects of a region are served by other regions. While the region lacks capacity, a share of its
 * objects spills over. The share changes slowly, since objects that move to another region hit cold servers.
 */
import { hash32 } from "@waxwingdale/core";
import { createSlidingWindowCounter } from "./sliding-window-counter.js";

export interface RegionSpillover {
    /** Whether requests for the object go to another region. */
    spillsOver(objectKey: string): boolean;
    /** Takes one request from the allowance for spillover beyond the share. Returns false if it is used up. */
    tryOverflow(): boolean;
    countRequest(now: number): void;
    /** Whether a request has been counted; until then the share depends on the slots alone. */
    hasTraffic(): boolean;
    /** Adjusts the share to the slot utilization of the region. */
    adapt(utilization: RegionUtilization, now: number): void;
    /** Share of the region's objects that spill over. */
    part(): number;
}

/** Slot utilization of a service in the local region, and its slots in all regions. */
export interface RegionUtilization {
    slots: number;
    /** Requests on the region's servers; more than the slots if requests are queued there. */
    busy: number;
    allSlots: number;
    regions: number;
}

export interface RegionSpilloverOptions {
    /** Maximum share of a region's requests that may move to another region from one window to the next. */
    maxShift: number;
}

/** Length in milliseconds of the windows between which the shift is limited. */
const shiftWindowMs = 2000;
/** Utilization above which the share grows; beyond it, queues build up faster than they drain. */
const highUtilization = 0.8;
/** Utilization below which the share shrinks. */
const lowUtilization = 0.55;
/**
 * Fractions of `maxShift` for gradual changes of the share and for individual overflow requests. The rest is a margin
 * for random variation.
 */
const gradualShare = 0.5;
const overflowShare = 0.25;
/** Maximum burst of overflow requests. */
const maxOverflow = 6;
/**
 * With fewer than `minRecentRequests` requests in this time, an instance cannot judge the load and uses the slots
 * instead.
 */
const recentWindowMs = 5000;
const minRecentRequests = 10;
/** Hash seed that makes the choice of the region independent of the server ranking, which hashes the same keys. */
const spilloverSeed = 29;
const hashRange = 2 ** 32;

export function createRegionSpillover({ maxShift }: RegionSpilloverOptions): RegionSpillover {
    const recentRequests = createSlidingWindowCounter(recentWindowMs);
    let share = 0;
    let hasTraffic = false;
    let overflow = maxOverflow;
    let adaptedAt: number | undefined;
    let lastCapacity = 0;

    /** When servers are lost, their share of the objects spills over; the other servers keep theirs. */
    const handleCapacityLoss = (capacity: number) => {
        if (capacity < lastCapacity) {
            share = 1 - (1 - share) * (capacity / lastCapacity);
        }
        lastCapacity = capacity;
    };

    /** Without traffic data, assumes equal demand in all regions. */
    const getShareBySlots = ({ slots, regions, allSlots }: RegionUtilization) =>
        Math.max(0, 1 - (slots * regions) / Math.max(1, allSlots));

    return {
        spillsOver: objectKey => share > 0 && hash32(objectKey, spilloverSeed) / hashRange < share,
        tryOverflow: () => {
            if (overflow < 1) {
                return false;
            }
            overflow -= 1;
            return true;
        },
        countRequest: now => {
            hasTraffic = true;
            recentRequests.add(now);
            overflow = Math.min(maxOverflow, overflow + maxShift * overflowShare);
        },
        hasTraffic: () => hasTraffic,
        adapt: (utilization, now) => {
            const elapsedMs = adaptedAt === undefined ? 0 : Math.min(shiftWindowMs, now - adaptedAt);
            adaptedAt = now;
            if (!hasTraffic) {
                share = getShareBySlots(utilization);
                lastCapacity = utilization.slots;
                return;
            }
            handleCapacityLoss(utilization.slots);
            const step = (maxShift * gradualShare * elapsedMs) / shiftWindowMs;
            if (recentRequests.count(now) < minRecentRequests) {
                share += Math.min(step, Math.max(-step, getShareBySlots(utilization) - share));
            } else if (utilization.busy > utilization.slots * highUtilization) {
                share = Math.min(1, share + step);
            } else if (utilization.busy < utilization.slots * lowUtilization) {
                share = Math.max(0, share - step);
            }
        },
        part: () => share,
    };
}
