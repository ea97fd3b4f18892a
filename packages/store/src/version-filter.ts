/** Remembers the newest version of each object, so that an older answer of the store is recognised. */

/** Deleted objects whose last version is remembered. */
const maxDeletedKeys = 1000;

export interface VersionFilter {
    /** Returns whether a value is newer than everything seen of its key, and remembers it. */
    acceptValue(key: string, version: number): boolean;
    /** Returns whether a deletion is newer than everything seen of its key, and remembers it. */
    acceptDeletion(key: string, version: number): boolean;
    /**
     * Takes the keys of a complete list and returns those that the list before it lacked as well. A single list may come
     * from a state that is older than the object.
     */
    takeMissing(listed: ReadonlySet<string>): string[];
    /** Objects not known to be gone that a complete list lacks. */
    countAbsent(listed: ReadonlySet<string>): number;
    /** Takes the keys that a complete and current list lacks: their objects are gone. */
    takeAbsent(listed: ReadonlySet<string>): string[];
    /** Whether the last list lacked objects that may come back. */
    hasSuspects(): boolean;
    /** Objects that are not known to be gone. */
    size(): number;
    /** Returns the highest version seen. */
    highest(): number;
}

/** Creates a filter that has seen nothing. */
export function createVersionFilter(): VersionFilter {
    const live = new Map<string, number>();
    const deleted = new Map<string, number>();
    let suspects = new Set<string>();
    let highest = 0;

    const isNewer = (key: string, version: number) =>
        version > (live.get(key) ?? 0) && version > (deleted.get(key) ?? 0);

    const findAbsent = (listed: ReadonlySet<string>) => [...live.keys()].filter(key => !listed.has(key));

    const bury = (key: string, version: number) => {
        live.delete(key);
        deleted.delete(key);
        deleted.set(key, version);
        if (deleted.size > maxDeletedKeys) {
            deleted.delete(deleted.keys().next().value!);
        }
    };

    return {
        acceptValue: (key, version) => {
            if (!isNewer(key, version)) {
                return false;
            }
            deleted.delete(key);
            live.set(key, version);
            highest = Math.max(highest, version);
            return true;
        },
        acceptDeletion: (key, version) => {
            if (!isNewer(key, version)) {
                return false;
            }
            const known = live.has(key);
            bury(key, version);
            highest = Math.max(highest, version);
            return known;
        },
        takeMissing: listed => {
            const missing = findAbsent(listed);
            const gone = missing.filter(key => suspects.has(key));
            suspects = new Set(missing);
            // The same version is accepted again if both lists came from a state older than the object.
            gone.forEach(key => bury(key, live.get(key)! - 1));
            return gone;
        },
        countAbsent: listed => findAbsent(listed).length,
        takeAbsent: listed => {
            const absent = findAbsent(listed);
            suspects = new Set();
            absent.forEach(key => bury(key, live.get(key)!));
            return absent;
        },
        hasSuspects: () => [...suspects].some(key => live.has(key)),
        size: () => live.size,
        highest: () => highest,
    };
}
