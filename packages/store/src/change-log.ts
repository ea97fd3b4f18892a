/** What this process has heard from the store about one prefix, for peers that follow it. */
import { createNotifier } from "@waxwingdale/core";
import type { Clock, ObjectChange, WatchResult } from "@waxwingdale/core";

export interface ChangeLog {
    /** Begins with a complete list at a position, unless the log goes on from an earlier one. */
    begin(position: number): void;
    /** Adds an answer of the store to a watch from the position `since`. */
    addAnswer(since: number, result: WatchResult): void;
    /**
     * Adds what another instance has told. The store may have answered that one some time ago, so this does not count as an
     * answer; the log reaches back to it when this instance begins to ask the store.
     */
    append(since: number, result: WatchResult): void;
    /**
     * Waits up to `waitMs` for changes after `since`. Undefined when only the store can tell: the log does not reach back
     * to `since`, or the store has not answered for `maxAgeMs`.
     */
    follow(since: number, waitMs: number, maxAgeMs: number): Promise<WatchResult | undefined>;
}

/** Result of one watch call: all changes after `from`, up to `to`. */
interface Batch {
    from: number;
    to: number;
    changes: ObjectChange[];
}

/** Watch results kept. Peers that follow are behind by one or two. */
const maxBatches = 64;

/** Creates an empty log. */
export function createChangeLog(clock: Clock): ChangeLog {
    let batches: Batch[] = [];
    let answeredAt = -Infinity;
    const answers = createNotifier(clock);

    const end = () => batches.at(-1)?.to ?? 0;

    /** Result for a peer at `since`; undefined while there are no changes for it. */
    const findChanges = (since: number): WatchResult | undefined => {
        const changes = batches.filter(({ to }) => to > since).flatMap(batch => batch.changes);
        return changes.length === 0 ? undefined : { changes, version: end(), expired: false };
    };

    const reachesBackTo = (since: number) => batches.length > 0 && batches[0]!.from <= since;

    const append = (since: number, { changes, version, expired }: WatchResult) => {
        // A list that was read in between has brought changes that are not in the log.
        if (expired || since > end()) {
            batches = [];
        }
        if (!expired) {
            batches.push({ from: since, to: version, changes });
            batches = batches.slice(-maxBatches);
        }
        answers.notify();
    };

    return {
        begin: position => {
            answeredAt = clock.now();
            if (batches.length === 0) {
                batches = [{ from: position, to: position, changes: [] }];
            }
            answers.notify();
        },
        append,
        addAnswer: (since, result) => {
            answeredAt = clock.now();
            append(since, result);
        },
        follow: async (since, waitMs, maxAgeMs) => {
            const until = clock.now() + waitMs;
            for (;;) {
                const now = clock.now();
                const freshMs = answeredAt + maxAgeMs - now;
                if (freshMs <= 0 || !reachesBackTo(since)) {
                    return undefined;
                }
                const found = findChanges(since);
                if (found !== undefined) {
                    return found;
                }
                if (now >= until) {
                    return { changes: [], version: Math.max(since, end()), expired: false };
                }
                await answers.wait(Math.min(until - now, freshMs));
            }
        },
    };
}
