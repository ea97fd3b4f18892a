/**
 * Instances that may send to the limited servers of an area, a region or an availability zone, as this instance has seen them
 * lately. Shares are worked out from all of these lists, so that they add up to the limit while the instances' views still
 * differ.
 */
import type { Clock } from "@waxwingdale/core";

export interface CandidateHistory {
    /** Records the current lists; must be called at short intervals. */
    update(): void;
    /** Returns every list of the area that was current within the hold time, the latest last. */
    recent(area: string): readonly (readonly string[])[];
}

export interface CandidateHistoryOptions {
    clock: Clock;
    areas: () => readonly string[];
    /** Number of all instances that serve traffic. */
    countInstances: () => number;
    /** Current ids of the instances of an area, or of others if the area has none. */
    candidates: (area: string) => readonly string[];
    /**
     * Whether this instance knows the others, or that there are none. Until then it has no share.
     * @default always
     */
    isEstablished?: () => boolean;
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

interface AreaHistory {
    current: readonly string[];
    past: readonly Entry[];
    recent: readonly (readonly string[])[];
}

const noIds: readonly string[] = [];
const noLists: readonly (readonly string[])[] = [noIds];

export function createCandidateHistory({
    clock,
    areas,
    countInstances,
    candidates,
    isEstablished = () => true,
}: CandidateHistoryOptions): CandidateHistory {
    const histories = new Map<string, AreaHistory>();
    const startedAt = clock.now();
    let updatedAt = startedAt;

    /** Before its start an instance had no share. */
    const createHistory = (): AreaHistory => ({
        current: noIds,
        past: [{ ids: noIds, replacedAt: startedAt }],
        recent: [noIds],
    });

    const updateArea = (area: string, now: number, wasPaused: boolean) => {
        const history = histories.get(area) ?? createHistory();
        const current = isEstablished() ? candidates(area) : noIds;
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
        if (isUnchanged && histories.has(area)) {
            return;
        }
        const recent = [...past.map(({ ids }) => ids), current];
        histories.set(area, { current, past, recent });
    };

    return {
        update: () => {
            const now = clock.now();
            const wasPaused = now - updatedAt > maxGapMs;
            updatedAt = now;
            areas().forEach(area => updateArea(area, now, wasPaused));
        },
        recent: area => histories.get(area)?.recent ?? noLists,
    };
}

/** Returns the time in milliseconds that a membership change may take to reach all of `instances`. */
export function getMembershipHoldMs(instances: number): number {
    return gossipIntervalMs * (extraExchanges + Math.log2(Math.max(1, instances)));
}

function isSameList(a: readonly string[], b: readonly string[]): boolean {
    return a.length === b.length && a.every((id, index) => id === b[index]);
}
