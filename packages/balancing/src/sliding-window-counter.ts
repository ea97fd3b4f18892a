/** Counts events in a sliding window of time. */

export interface SlidingWindowCounter {
    add(now: number): void;
    /** Events in the window that ends at `now`. */
    count(now: number): number;
}

/** Creates a counter whose window is split into `buckets`; an event leaves the count at most one bucket late. */
export function createSlidingWindowCounter(windowMs: number, buckets = 10): SlidingWindowCounter {
    const bucketMs = windowMs / buckets;
    // One bucket more than the window has, so that the count covers the whole window at any moment.
    const size = buckets + 1;
    const counts = new Array<number>(size).fill(0);
    let head = 0;

    const advance = (now: number) => {
        const current = Math.floor(now / bucketMs);
        for (let step = Math.max(head + 1, current - size + 1); step <= current; step++) {
            counts[step % size] = 0;
        }
        head = Math.max(head, current);
    };

    return {
        add: now => {
            advance(now);
            counts[head % size]! += 1;
        },
        count: now => {
            advance(now);
            return counts.reduce((sum, value) => sum + value, 0);
        },
    };
}
