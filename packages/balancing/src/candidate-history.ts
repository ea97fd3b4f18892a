/**
 * Instances that may send to the rate-limited servers of a region, as this instance has seen them lately. Shares are
 * worked out from all of these lists, so that they add up to the limit while the instances' views still differ.
 */
import type { Clock } from "@waxwingdale/core";

export interface CandidateHistory {
    /** Records the current lists; must be called at short intervals. */
    update(): void;
    /** Returns every list of the region that was current within the hold time, the latest last. */
    recent(region: string): readonly (readonly string[])[];
}

export interface CandidateHistoryOptions {
    clock: Clock;
    regions: () => readonly string[];
    /** Number of all instances that serve traffic. */
    countInstances: () => number;
    /** Current ids of the instances of a region, or of all instances if the region has none. */
    candidates: (region: string) => readonly string[];
}

/** Longest interval in milliseconds between two gossip exchanges of an instance. */
const gossipIntervalMs = 600;
/** Exchanges in addition to those in which the number of informed instances doubles, for calls that fail. */
const extraExchanges = 3;
/** Time in milliseconds without an update after which other instances may have taken this one for dead. */
const maxGapMs = 2000;

interface Entry {
    ids: readonly string[];
    /** Clock time at which the list was replaced. */
    replacedAt: number;
}

interface RegionHistory {
    current: readonly string[];
    past: readonly Entry[];
    recent: readonly (readonly string[])[];
}

const noIds: readonly string[] = [];

export function createCandidateHistory({
    clock,
    regions,
    countInstances,
    candidates,
}: CandidateHistoryOptions): CandidateHistory {
    const histories = new Map<string, RegionHistory>();
    const startedAt = clock.now();
    let updatedAt = startedAt;

    /** Before its start an instance had no share. */
    const createHistory = (): RegionHistory => ({
        current: noIds,
        past: [{ ids: noIds, replacedAt: startedAt }],
        recent: [noIds],
    });

    const updateRegion = (region: string, now: number, wasPaused: boolean) => {
        const history = histories.get(region) ?? createHistory();
        const current = candidates(region);
        const hasChanged = current !== history.current && !isSameList(current, history.current);
        const holdMs = getMembershipHoldMs(countInstances());
        const past = history.past.filter(({ replacedAt }) => now - replacedAt <= holdMs);
        if (hasChanged) {
            past.push({ ids: history.current, replacedAt: now });
        }
        if (wasPaused) {
            past.push({ ids: noIds, replacedAt: now });
        }
        const isUnchanged = !hasChanged && !wasPaused && past.length === history.past.length;
        if (isUnchanged && histories.has(region)) {
            return;
        }
        const recent = [...past.map(({ ids }) => ids), current];
        histories.set(region, { current, past, recent });
    };

    return {
        update: () => {
            const now = clock.now();
            const wasPaused = now - updatedAt > maxGapMs;
            updatedAt = now;
            regions().forEach(region => updateRegion(region, now, wasPaused));
        },
        recent: region => histories.get(region)?.recent ?? [noIds],
    };
}

/** Returns the time in milliseconds that a membership change may take to reach all of `instances`. */
export function getMembershipHoldMs(instances: number): number {
    return gossipIntervalMs * (extraExchanges + Math.log2(Math.max(1, instances)));
}

function isSameList(a: readonly string[], b: readonly string[]): boolean {
    return a.length === b.length && a.every((id, index) => id === b[index]);
}
