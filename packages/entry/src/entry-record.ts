/** The record of an entry in the store: written at its start and stop, read by operators' tools and by entries that join. */
import { StoreConflictError, getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, Member, ObjectStore } from "@waxwingdale/core";
import { entryPrefix, supportedFormats } from "@waxwingdale/manifest";
import * as v from "valibot";

export enum EntryState {
    Live = "live",
    Leaving = "leaving",
    Stopped = "stopped",
}

export interface EntryRecord {
    id: string;
    incarnation: number;
    state: EntryState;
    region: string;
    zone: string;
    callerAddress: string;
    peerAddress: string;
    operatorAddress: string;
    /** Manifest formats that this release can apply. */
    formats: readonly number[];
    startedAt: string;
}

export interface EntryRecordWriter {
    /** Writes the state; tries again in the background while the store does not answer. */
    write(state: EntryState): void;
    /** Reads the peer addresses of the entries that are not stopped. */
    listPeerAddresses(): Promise<string[]>;
}

export interface EntryRecordOptions {
    store: ObjectStore;
    clock: Clock;
    logger: Logger;
    self: () => Member;
    operatorAddress: string;
    signal: AbortSignal;
}

/** Pause in milliseconds before a write is tried again. */
const retryMs = 1000;

const peerSchema = v.object({ peerAddress: v.string(), state: v.string() });

/** Creates the writer of one entry's record. */
export function createEntryRecordWriter(options: EntryRecordOptions): EntryRecordWriter {
    const { store, clock, logger, signal } = options;
    const startedAt = new Date(clock.wallTime()).toISOString();
    let wanted: EntryState | undefined;
    let writing = false;

    const writeOnce = async (state: EntryState) => {
        const { id, incarnation, region, zone, callerAddress, peerAddress } = options.self();
        const record: EntryRecord = {
            id,
            incarnation,
            state,
            region,
            zone,
            callerAddress,
            peerAddress,
            operatorAddress: options.operatorAddress,
            formats: supportedFormats,
            startedAt,
        };
        const key = `${entryPrefix}${id}`;
        const current = await store.get(key);
        await store.put(key, record, current?.version ?? 0);
    };

    const writeUntilDone = async () => {
        while (wanted !== undefined && !signal.aborted) {
            const state = wanted;
            try {
                await writeOnce(state);
                wanted = wanted === state ? undefined : wanted;
            } catch (err) {
                logger.warn("entry-record-failed", { state, error: getErrorMessage(err) });
                if (!(err instanceof StoreConflictError)) {
                    await clock.sleep(retryMs, signal);
                }
            }
        }
        writing = false;
    };

    return {
        write: state => {
            wanted = state;
            if (!writing) {
                writing = true;
                void writeUntilDone();
            }
        },
        listPeerAddresses: async () => {
            const objects = await store.list(entryPrefix);
            return objects.flatMap(({ value }) => {
                const parsed = v.safeParse(peerSchema, value);
                return parsed.success && parsed.output.state !== (EntryState.Stopped as string)
                    ? [parsed.output.peerAddress]
                    : [];
            });
        },
    };
}
