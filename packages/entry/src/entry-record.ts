/** Record of an entry in the store: written on start and shutdown, read by operators' tools and joining entries. */
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
    /** Manifest formats that this version supports. */
    formats: readonly number[];
    startedAt: string;
}

export interface EntryRecordWriter {
    /** Writes the state in the background, with retries until it succeeds. */
    write(state: EntryState): void;
    /** Returns the peer addresses of the entries that are not stopped. */
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

/** Delay before a failed write is retried. Version conflicts are retried immediately. */
const retryDelayMs = 1000;

const peerSchema = v.object({ peerAddress: v.string(), state: v.string() });

export function createEntryRecordWriter(options: EntryRecordOptions): EntryRecordWriter {
    const { store, clock, logger, signal } = options;
    const startedAt = new Date(clock.wallTime()).toISOString();
    let pendingState: EntryState | undefined;
    let isWriting = false;

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
        while (pendingState !== undefined && !signal.aborted) {
            const state = pendingState;
            try {
                await writeOnce(state);
                pendingState = pendingState === state ? undefined : pendingState;
            } catch (err) {
                logger.warn("entry-record-failed", { state, error: getErrorMessage(err) });
                if (!(err instanceof StoreConflictError)) {
                    await clock.sleep(retryDelayMs, signal);
                }
            }
        }
        isWriting = false;
    };

    return {
        write: state => {
            pendingState = state;
            if (!isWriting) {
                isWriting = true;
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
