/**
 * Removes the records of entries that crashed. Such a record would block a manifest in a newer format indefinitely,
 * since `push` checks the supported formats of every recorded entry.
 */
import { MemberStatus, getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, MemberView, ObjectStore } from "@waxwingdale/core";
import { entryPrefix } from "@waxwingdale/manifest";

export interface RecordCleanupOptions {
    store: ObjectStore;
    view: MemberView;
    clock: Clock;
    logger: Logger;
    /** Whether this entry does the cleanup. One entry per fleet is enough. */
    isActive: () => boolean;
}

/**
 * How long a record must be unchanged, and its entry not seen, before the record is removed. Longer than any network
 * partition that is to be expected.
 */
export const recordRetentionMs = 30 * 60_000;
const intervalMs = 60_000;

interface OrphanedRecord {
    version: number;
    since: number;
}

/** Runs until `signal` is aborted. */
export async function runRecordCleanup(options: RecordCleanupOptions, signal: AbortSignal): Promise<void> {
    const { store, view, clock, logger } = options;
    const orphaned = new Map<string, OrphanedRecord>();

    const isSeen = (id: string): boolean => {
        const member = view.find(id);
        return member !== undefined && member.status !== MemberStatus.Dead;
    };

    /** Starts the retention time if the record is new or has changed. Returns whether the time has passed. */
    const isExpired = (key: string, version: number): boolean => {
        const known = orphaned.get(key);
        if (known?.version !== version) {
            orphaned.set(key, { version, since: clock.now() });
            return false;
        }
        return clock.now() - known.since >= recordRetentionMs;
    };

    const cleanUp = async () => {
        for (const { key, version } of await store.list(entryPrefix)) {
            const id = key.slice(entryPrefix.length);
            if (isSeen(id)) {
                orphaned.delete(key);
            } else if (isExpired(key, version)) {
                await store.delete(key, version);
                orphaned.delete(key);
                logger.info("entry-record-removed", { member: id });
            }
        }
    };

    while (!signal.aborted) {
        if (options.isActive()) {
            await cleanUp().catch((err: unknown) => {
                logger.warn("entry-record-cleanup-failed", { error: getErrorMessage(err) });
            });
        } else {
            orphaned.clear();
        }
        await clock.sleep(intervalMs, signal);
    }
}
