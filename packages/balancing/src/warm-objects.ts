/** Objects that a backend server handled recently and therefore serves faster. */

export interface WarmObjects {
    has(objectKey: string): boolean;
    add(objectKey: string): void;
    clear(): void;
}

/** Creates an LRU set that keeps the `limit` most recently used objects of one server. */
export function createWarmObjects(limit: number): WarmObjects {
    const keys = new Set<string>();
    return {
        has: objectKey => keys.has(objectKey),
        add: objectKey => {
            keys.delete(objectKey);
            keys.add(objectKey);
            if (keys.size > limit) {
                keys.delete(keys.values().next().value!);
            }
        },
        clear: () => keys.clear(),
    };
}
