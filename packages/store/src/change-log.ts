/** What this process has heard from the store about one prefix, for peers that follow it. */
import { createNotifier } from "@waxwingdale/core";
import type { Clock, ObjectChange, WatchResult } from "@waxwingdale/core";

export interface ChangeLog {
    /**
     * Notes that a complete list was read at a position, complete up to the time `asOf` of the clock. A list beyond the end
     * of the log has brought changes that the log lacks, so the log begins anew.
     */
    begin(position: number, asOf: number): void;
    /** Adds the result of a watch from the position `since`, complete up to the time `asOf` of the clock. */
    append(since: number, result: WatchResult, asOf: number): void;
    /**
     * Waits up to `waitMs` for changes after `since` or for the news that there are none. Undefined when only the store can
     * tell: the log does not reach back to `since`, or what it has is older than `maxAgeMs`.
     */
    follow(since: number, waitMs: number, maxAgeMs: number): Promise<FollowResult | undefined>;
}

/** Result for a peer that follows, with the time of the clock up to which it is complete. */
export type FollowResult = WatchResult & { asOf: number };

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
    let currentAt = -Infinity;
    const answers = createNotifier(clock);

    const end = () => batches.at(-1)?.to ?? 0;

    /** Result for a peer at `since`; undefined while there are no changes for it. */
    const findChanges = (since: number): WatchResult | undefined => {
        const changes = batches.filter(({ to }) => to > since).flatMap(batch => batch.changes);
        return changes.length === 0 ? undefined : { changes, version: end(), expired: false };
    };

    const reachesBackTo = (since: number) => batches.length > 0 && batches[0]!.from <= since;

    const noteCurrent = (asOf: number) => {
        currentAt = Math.max(currentAt, asOf);
        answers.notify();
    };

    return {
        begin: (position, asOf) => {
            if (batches.length === 0 || position > end()) {
                batches = [{ from: position, to: position, changes: [] }];
            }
            noteCurrent(asOf);
        },
        append: (since, { changes, version, expired }, asOf) => {
            if (expired || since > end()) {
                batches = [];
            }
            // A result that a later one has overtaken brings nothing.
            if (!expired && (batches.length === 0 || version > end())) {
                batches.push({ from: since, to: version, changes });
                batches = batches.slice(-maxBatches);
            }
            noteCurrent(asOf);
        },
        follow: async (since, waitMs, maxAgeMs) => {
            const until = clock.now() + waitMs;
            const knownAt = currentAt;
            for (;;) {
                const now = clock.now();
                const freshMs = currentAt + maxAgeMs - now;
                if (freshMs <= 0 || !reachesBackTo(since)) {
                    return undefined;
                }
                const found = findChanges(since);
                if (found !== undefined) {
                    return { ...found, asOf: currentAt };
                }
                if (now >= until || currentAt > knownAt) {
                    return { changes: [], version: Math.max(since, end()), expired: false, asOf: currentAt };
                }
                await answers.wait(Math.min(until - now, freshMs));
            }
        },
    };
}
