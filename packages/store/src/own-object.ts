/** An object that only this instance writes, apart from earlier processes of it. */
import { StoreConflictError } from "@waxwingdale/core";
import type { ObjectStore } from "@waxwingdale/core";

export interface OwnObject {
    /**
     * Writes a value over the version that is known. After a conflict, the version in the store is the known one: an earlier
     * write took effect although its response was lost, or the store is in a new era.
     * @throws StoreConflictError, StoreUnavailableError, StoreOutcomeUnknownError, StoreRejectedError
     */
    write(value: unknown): Promise<void>;
    /** Records the version that a read has shown, and the era of the store in which it was read. */
    adopt(version: number, era: number | undefined): void;
}

export function createOwnObject(store: ObjectStore, key: string): OwnObject {
    let version = 0;
    /** Era of the store that `version` belongs to. */
    let era = store.era();

    return {
        write: async value => {
            try {
                version = await store.put(key, value, version, undefined, era);
            } catch (err) {
                if (err instanceof StoreConflictError) {
                    version = err.currentVersion ?? 0;
                    era = store.era();
                }
                throw err;
            }
        },
        adopt: (readVersion, readEra) => {
            version = readVersion;
            era = readEra;
        },
    };
}
