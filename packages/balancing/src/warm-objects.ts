/** Objects that a backend server has handled recently, and so answers faster for. */

export interface WarmObjects {
    has(objectKey: string): boolean;
    add(objectKey: string): void;
    clear(): void;
}

/** Creates the record of one server, which keeps the `limit` most recently used objects. */
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
