/**
 * Removes the records of entries that ended without a planned stop. Such a record would block a manifest of a newer
 * format for ever, since `push` asks every recorded entry for its formats.
 */
import { MemberStatus, getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, MemberView, ObjectStore } from "@waxwingdale/core";
import { entryPrefix } from "@waxwingdale/manifest";

export interface RecordCleanupOptions {
    store: ObjectStore;
    view: MemberView;
    clock: Clock;
    logger: Logger;
    /** Whether this entry does the work at the moment; one entry of the fleet is enough. */
    isActive: () => boolean;
}

/** Time in milliseconds for which a record must be unchanged and its entry not be seen. Longer than any cut to expect. */
export const recordRetentionMs = 30 * 60_000;
const intervalMs = 60_000;

interface LostRecord {
    version: number;
    since: number;
}

/** Runs until the signal aborts. */
export async function runRecordCleanup(options: RecordCleanupOptions, signal: AbortSignal): Promise<void> {
    const { store, view, clock, logger } = options;
    const lost = new Map<string, LostRecord>();

    const isSeen = (id: string): boolean => {
        const member = view.find(id);
        return member !== undefined && member.status !== MemberStatus.Dead;
    };

    /** Returns whether the record has been without its entry for the whole retention time. */
    const isExpired = (key: string, version: number): boolean => {
        const known = lost.get(key);
        if (known?.version !== version) {
            lost.set(key, { version, since: clock.now() });
            return false;
        }
        return clock.now() - known.since >= recordRetentionMs;
    };

    const cleanUp = async () => {
        for (const { key, version } of await store.list(entryPrefix)) {
            const id = key.slice(entryPrefix.length);
            if (isSeen(id)) {
                lost.delete(key);
            } else if (isExpired(key, version)) {
                await store.delete(key, version);
                lost.delete(key);
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
            lost.clear();
        }
        await clock.sleep(intervalMs, signal);
    }
}
