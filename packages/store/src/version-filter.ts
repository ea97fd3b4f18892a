/** Tracks the newest version of each object, to detect outdated responses of the store. */

/** Maximum number of deleted objects whose last version is remembered. */
const maxDeletedKeys = 1000;

export interface VersionFilter {
    /** Records a value if it is newer than everything seen for its key. Returns whether it is. */
    acceptValue(key: string, version: number): boolean;
    /** Records a deletion if it is newer than everything seen for its key. Returns whether it removed an object. */
    acceptDeletion(key: string, version: number): boolean;
    /**
     * Removes and returns the objects that are missing from both this complete list and the previous one. A single list
     * may be a snapshot that is older than the object.
     */
    removeMissingTwice(listed: ReadonlySet<string>): string[];
    /** Returns the number of known objects that are missing from a complete list. */
    countMissing(listed: ReadonlySet<string>): number;
    /** Removes and returns the objects that are missing from a complete and current list. */
    removeMissing(listed: ReadonlySet<string>): string[];
    /** Returns whether objects are missing from the last list whose deletion is not confirmed yet. */
    hasUnconfirmed(): boolean;
    /** Returns the number of objects that are not known to be deleted. */
    size(): number;
    /** Returns the highest version seen. */
    highestVersion(): number;
    /**
     * Marks the objects that are missing from a complete list as unconfirmed and removes none. Used while the owners of
     * the objects still need time to write them again.
     */
    keepMissing(listed: ReadonlySet<string>): void;
    /** Voids all versions seen, since the store assigns them again. Known objects stay until a value replaces them. */
    startEra(): void;
    /** Returns whether an object was deleted in an earlier era and has not been accepted again. */
    wasDeletedBefore(key: string): boolean;
}

/** Creates an empty filter. */
export function createVersionFilter(): VersionFilter {
    const live = new Map<string, number>();
    const deleted = new Map<string, number>();
    /** Objects that had been deleted when the era began. */
    let deletedBefore = new Set<string>();
    let unconfirmed = new Set<string>();
    let highest = 0;

    const isNewer = (key: string, version: number) =>
        version > (live.get(key) ?? 0) && version > (deleted.get(key) ?? 0);

    const findMissing = (listed: ReadonlySet<string>) => [...live.keys()].filter(key => !listed.has(key));

    const markDeleted = (key: string, version: number) => {
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
            deletedBefore.delete(key);
            live.set(key, version);
            highest = Math.max(highest, version);
            return true;
        },
        acceptDeletion: (key, version) => {
            if (!isNewer(key, version)) {
                return false;
            }
            const known = live.has(key);
            markDeleted(key, version);
            highest = Math.max(highest, version);
            return known;
        },
        removeMissingTwice: listed => {
            const missing = findMissing(listed);
            const removed = missing.filter(key => unconfirmed.has(key));
            unconfirmed = new Set(missing);
            // Both lists may be snapshots older than the object, so the same version must be accepted again.
            removed.forEach(key => markDeleted(key, live.get(key)! - 1));
            return removed;
        },
        countMissing: listed => findMissing(listed).length,
        removeMissing: listed => {
            const missing = findMissing(listed);
            unconfirmed = new Set();
            missing.forEach(key => markDeleted(key, live.get(key)!));
            return missing;
        },
        hasUnconfirmed: () => [...unconfirmed].some(key => live.has(key)),
        size: () => live.size,
        highestVersion: () => highest,
        keepMissing: listed => {
            unconfirmed = new Set(findMissing(listed));
        },
        startEra: () => {
            [...live.keys()].forEach(key => live.set(key, 0));
            deletedBefore = new Set([...deletedBefore, ...deleted.keys()].slice(-maxDeletedKeys));
            deleted.clear();
            unconfirmed = new Set();
            highest = 0;
        },
        wasDeletedBefore: key => deletedBefore.has(key),
    };
}
