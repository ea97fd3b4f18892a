/** Remembers how many requests of this instance were in flight on a server, to compare them with reports of earlier times. */

export interface OwnLoadHistory {
    record(count: number, now: number): void;
    /** Returns the number at a clock time, or the earliest known one if the time is too long ago. */
    countAt(at: number): number;
}

/** Changes kept; a server takes a few requests per second from an instance. */
const maxChanges = 16;

export function createOwnLoadHistory(): OwnLoadHistory {
    const changes: { at: number; count: number }[] = [{ at: -Infinity, count: 0 }];
    return {
        record: (count, now) => {
            changes.push({ at: now, count });
            if (changes.length > maxChanges) {
                changes.shift();
            }
        },
        countAt: at => (changes.findLast(change => change.at <= at) ?? changes[0]!).count,
    };
}
