/** Tracks the era of a store, which increases each time the store comes back from an older copy. */

/** A change of the era; `from` is undefined if the store had none. */
export interface EraChange {
    from: number | undefined;
    to: number;
}

export interface EraTracker {
    /** Returns the highest era seen; undefined where the store has none. */
    current(): number | undefined;
    /**
     * Must be called with the era of each response before its content is used. Returns false if the response is of an
     * earlier era than the highest seen, or of none although the store has one, and must be discarded.
     */
    observe(era: number | undefined): boolean;
    /** Calls `listener` after each increase. Returns a function that removes the listener. */
    onChange(listener: (change: EraChange) => void): () => void;
}

/** Creates a tracker that has seen no response. */
export function createEraTracker(): EraTracker {
    const listeners = new Set<(change: EraChange) => void>();
    let current: number | undefined;
    /** Whether a response without an era was used, so that the first era is a change. */
    let hasSeenNone = false;

    const advance = (to: number) => {
        const from = current;
        const isChange = from !== undefined || hasSeenNone;
        current = to;
        if (isChange) {
            [...listeners].forEach(listener => listener({ from, to }));
        }
    };

    return {
        current: () => current,
        observe: era => {
            if (era === undefined) {
                hasSeenNone = true;
                return current === undefined;
            }
            if (current !== undefined && era < current) {
                return false;
            }
            if (era !== current) {
                advance(era);
            }
            return true;
        },
        onChange: listener => {
            listeners.add(listener);
            return () => void listeners.delete(listener);
        },
    };
}
