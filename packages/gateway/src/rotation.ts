/** Goes through a list a few items at a time, for gossip digests of a bounded size. */

/** Returns a function that returns the next `count` items of a list with each call, and begins anew at its end. */
export function createRotation<T>(): (items: readonly T[], count: number) => T[] {
    let next = 0;
    return (items, count) => {
        const first = next < items.length ? next : 0;
        next = first + count;
        return items.slice(first, next);
    };
}
