/** Counts events in a sliding time window. */

export interface SlidingWindowCounter {
    add(now: number): void;
    /** Number of events in the window that ends at `now`. */
    count(now: number): number;
}

/** Creates a counter whose window is divided into `buckets`; an event expires at most one bucket late. */
export function createSlidingWindowCounter(windowMs: number, buckets = 10): SlidingWindowCounter {
    const bucketMs = windowMs / buckets;
    // One extra bucket, so that the count always covers the whole window.
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
