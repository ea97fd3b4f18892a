/** Bounds the memory for the bodies of all requests and responses of the process. */
import type { Clock } from "@waxwingdale/core";

/** Memory of one body. */
export interface BodyHold {
    /**
     * Adds bytes. Returns false if there is no room for them. Bodies that are sent slowly make room first, the one that is
     * sent for the longest time before the others; then those that may be evicted, the largest one before the others. If this
     * is the largest, it has no room.
     */
    grow(bytes: number): boolean;
    /** Makes the body safe from eviction, since it is complete. */
    complete(): void;
    /** Must be called when the body is sent to its caller. If that takes long, the body may be evicted again. */
    startSending(onEvict: () => void): void;
    /** Frees the memory; has no effect the second time. */
    release(): void;
}

export interface BodyMemory {
    /** `onEvict` is called if the body has to make room for others; without it, the body is never evicted. */
    open(onEvict?: () => void): BodyHold;
    /** Number of bytes that are held. */
    heldBytes(): number;
}

interface Entry {
    bytes: number;
    onEvict: (() => void) | undefined;
    /** Clock time at which the body was handed over to the caller's connection; undefined before. */
    sendingSince: number | undefined;
}

/** Time in milliseconds after which a caller that has not read its response is slow: several round trips. */
const slowSendMs = 1000;

/** Creates a memory of `limitBytes`. A body that is held alone may exceed it. */
export function createBodyMemory(limitBytes: number, clock: Clock): BodyMemory {
    const entries = new Set<Entry>();
    let held = 0;

    const free = (entry: Entry) => {
        if (entries.delete(entry)) {
            held -= entry.bytes;
        }
    };

    const findSlowest = (): Entry | undefined => {
        let slowest: Entry | undefined;
        let since = clock.now() - slowSendMs;
        for (const entry of entries) {
            if (entry.sendingSince !== undefined && entry.sendingSince <= since) {
                slowest = entry;
                since = entry.sendingSince;
            }
        }
        return slowest;
    };

    const findLargestEvictable = (): Entry | undefined => {
        let largest: Entry | undefined;
        for (const entry of entries) {
            const isEvictable = entry.onEvict !== undefined && entry.sendingSince === undefined;
            if (isEvictable && entry.bytes > (largest?.bytes ?? 0)) {
                largest = entry;
            }
        }
        return largest;
    };

    /** Returns whether there is room for the bytes that `entry` already includes. */
    const makeRoom = (entry: Entry): boolean => {
        while (held > limitBytes && held > entry.bytes) {
            const victim = findSlowest() ?? findLargestEvictable();
            if (victim === undefined || victim === entry) {
                return false;
            }
            free(victim);
            victim.onEvict?.();
        }
        return true;
    };

    return {
        heldBytes: () => held,
        open: onEvict => {
            const entry: Entry = { bytes: 0, onEvict, sendingSince: undefined };
            entries.add(entry);
            return {
                grow: bytes => {
                    if (!entries.has(entry)) {
                        return false;
                    }
                    entry.bytes += bytes;
                    held += bytes;
                    if (makeRoom(entry)) {
                        return true;
                    }
                    free(entry);
                    return false;
                },
                complete: () => {
                    entry.onEvict = undefined;
                },
                startSending: onSlow => {
                    entry.onEvict = onSlow;
                    entry.sendingSince = clock.now();
                },
                release: () => free(entry),
            };
        },
    };
}
