/** Log of the recent changes under one prefix, from which an instance serves its followers. */
import { createNotifier } from "@waxwingdale/core";
import type { Clock, ObjectChange, WatchResult } from "@waxwingdale/core";

export interface ChangeLog {
    /**
     * Records a list that was read at `position` and is complete up to the clock time `asOf`. A list beyond the end of
     * the log includes changes that the log lacks, so it resets the log.
     */
    recordList(position: number, asOf: number): void;
    /** Appends the result of a watch from position `since`, complete up to the clock time `asOf`. */
    append(since: number, result: WatchResult, asOf: number): void;
    /**
     * Waits up to `waitMs` for changes after `since`, or for confirmation that there are none. Returns undefined if the
     * log doesn't reach back to `since` or is older than `maxAgeMs`; the follower must then use the store.
     */
    waitForChanges(since: number, waitMs: number, maxAgeMs: number): Promise<FollowResult | undefined>;
    /** Drops all changes, since the store assigns their versions again, and ends the pending waits. */
    reset(): void;
}

/** Watch result for a follower, with the clock time up to which it is complete. */
export type FollowResult = WatchResult & { asOf: number };

/** Result of one watch call: all changes after position `from`, up to and including `to`. */
interface Batch {
    from: number;
    to: number;
    changes: ObjectChange[];
}

/** Number of watch results to keep. Followers lag by one or two. */
const maxBatches = 64;

/** Creates an empty log. */
export function createChangeLog(clock: Clock): ChangeLog {
    let batches: Batch[] = [];
    let latestAsOf = -Infinity;
    const updates = createNotifier(clock);

    const endPosition = () => batches.at(-1)?.to ?? 0;

    /** Returns the changes after `since`, or undefined if there are none. */
    const findChanges = (since: number): WatchResult | undefined => {
        const changes = batches.filter(({ to }) => to > since).flatMap(batch => batch.changes);
        return changes.length === 0 ? undefined : { changes, version: endPosition(), expired: false };
    };

    const reachesBackTo = (since: number) => batches.length > 0 && batches[0]!.from <= since;

    const advanceAsOf = (asOf: number) => {
        latestAsOf = Math.max(latestAsOf, asOf);
        updates.notify();
    };

    return {
        recordList: (position, asOf) => {
            if (batches.length === 0 || position > endPosition()) {
                batches = [{ from: position, to: position, changes: [] }];
            }
            advanceAsOf(asOf);
        },
        append: (since, { changes, version, expired }, asOf) => {
            if (expired || since > endPosition()) {
                batches = [];
            }
            // Skip a late result whose changes the log already contains.
            if (!expired && (batches.length === 0 || version > endPosition())) {
                batches.push({ from: since, to: version, changes });
                batches = batches.slice(-maxBatches);
            }
            advanceAsOf(asOf);
        },
        reset: () => {
            batches = [];
            latestAsOf = -Infinity;
            updates.notify();
        },
        waitForChanges: async (since, waitMs, maxAgeMs) => {
            const deadline = clock.now() + waitMs;
            const initialAsOf = latestAsOf;
            for (;;) {
                const now = clock.now();
                const freshForMs = latestAsOf + maxAgeMs - now;
                if (freshForMs <= 0 || !reachesBackTo(since)) {
                    return undefined;
                }
                const found = findChanges(since);
                if (found !== undefined) {
                    return { ...found, asOf: latestAsOf };
                }
                if (now >= deadline || latestAsOf > initialAsOf) {
                    return {
                        changes: [],
                        version: Math.max(since, endPosition()),
                        expired: false,
                        asOf: latestAsOf,
                    };
                }
                await updates.wait(Math.min(deadline - now, freshForMs));
            }
        },
    };
}
