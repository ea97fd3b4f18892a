/**
 * A store whose watches go through peers: a few instances of each region watch the store, and the others follow these.
 * Each call to the store is charged for, and a watch of every instance wakes up at each change.
 */
import {
    MemberStatus,
    ObjectStore,
    StoreUnavailableError,
    getErrorMessage,
    pickOwner,
    rankOwners,
} from "@waxwingdale/core";
import type {
    Clock,
    InstanceRecord,
    Logger,
    Member,
    MemberView,
    ObjectList,
    PeerTransport,
    RpcRegistry,
    StoredObject,
    WatchResult,
} from "@waxwingdale/core";
import * as v from "valibot";
import { createChangeLog } from "./change-log.js";
import type { ChangeLog, FollowResult } from "./change-log.js";
import { completeUntil } from "./complete-until.js";

export interface RelayedStoreOptions {
    store: ObjectStore;
    members: () => MemberView;
    transport: PeerTransport;
    rpc: RpcRegistry;
    /**
     * Longest watch in milliseconds of an instance that peers follow, by prefix.
     * @default 1000
     */
    readerWaitMs?: (prefix: string) => number;
    /**
     * Age in milliseconds of what a reader knows, by prefix, from which it sends its followers to the store.
     * @default half a second above the longest watch
     */
    maxAgeMs?: (prefix: string) => number;
    clock: Clock;
    logger: Logger;
}

/** Source of the watches that go to the store itself. */
const storeSource = "store";
/** JSON-RPC method by which a peer follows a prefix. */
const followMethod = "store.follow";
/** Instances of a region that watch the store whatever its size, so that the loss of two leaves one. */
const minReaders = 3;
/** Instances of a region for each one that watches: their questions are about 100 a second, a tenth of the smallest processor. */
const instancesPerReader = 32;
const defaultReaderWaitMs = 1000;
/** Least time in milliseconds between two watches of a prefix by an instance that peers follow: in a large fleet some server changes all the time. */
const readerIntervalMs = 500;
/** Time in milliseconds beyond its longest watch by which what a reader knows may be old, unless the options say otherwise. */
const ageMarginMs = 500;
/**
 * Time in milliseconds that a follower waits beyond its own time, so that the next answer of the store to its reader comes
 * first: without changes it ends at the same moment, and takes a round trip.
 */
const followSlackMs = 200;
/** Time in milliseconds that the answer of a reader may take in addition, many round trips within a region. */
const answerMarginMs = 400;
/** Time in milliseconds for which a reader that failed is not asked. */
const avoidMs = 5000;
/** Time in milliseconds after its last question for which a follower counts. */
const followerKeepMs = 5000;

const paramsSchema = v.object({ prefix: v.string(), since: v.number(), waitMs: v.number() });
const changeSchema = v.object({
    key: v.string(),
    version: v.number(),
    value: v.optional(v.unknown()),
    deleted: v.boolean(),
});
/**
 * Result of `store.follow`; empty when the reader cannot tell. `asOfMs` is the time up to which it is complete, in milliseconds
 * from the arrival of the question, since the clocks of two instances have nothing else in common. It may be negative.
 */
const answerSchema = v.object({
    result: v.optional(v.object({ changes: v.array(changeSchema), version: v.number(), asOfMs: v.number() })),
});

/** Picks the instances of a region that watch the store: few of them change when instances come and go. */
function pickReaders(ids: readonly string[]): string[] {
    const count = Math.max(minReaders, Math.ceil(ids.length / instancesPerReader));
    return rankOwners("store-readers", ids).slice(0, count);
}

/** @throws StoreUnavailableError when another call has answered in place of this one, whose result is not to be noted. */
function checkNotWithdrawn(signal: AbortSignal | undefined): void {
    if (signal?.aborted) {
        throw new StoreUnavailableError("the call was withdrawn");
    }
}

/** Forwards all calls but watches to the store as they are. */
class RelayedStore extends ObjectStore {
    private readonly logs = new Map<string, ChangeLog>();
    private readonly avoidUntil = new Map<string, number>();
    /** Id of the reader, or the store, that answered the last watch of a prefix. */
    private readonly sources = new Map<string, string>();
    private readonly watchedAt = new Map<string, number>();
    private followedAt = -Infinity;
    private ranked: { live: readonly Member[]; readers: readonly string[] } | undefined;

    constructor(private readonly options: RelayedStoreOptions) {
        super();
        options.rpc.addMethod(followMethod, params => this.answerFollower(params));
    }

    override get(key: string, signal?: AbortSignal): Promise<StoredObject | undefined> {
        return this.options.store.get(key, signal);
    }

    override list(prefix: string, signal?: AbortSignal): Promise<StoredObject[]> {
        return this.options.store.list(prefix, signal);
    }

    override async listWithVersion(prefix: string, signal?: AbortSignal): Promise<ObjectList> {
        const sentAt = this.options.clock.now();
        const list = await this.options.store.listWithVersion(prefix, signal);
        this.logOf(prefix).begin(list.version, sentAt);
        return list;
    }

    override put(
        key: string,
        value: unknown,
        expectedVersion: number,
        signal?: AbortSignal,
    ): Promise<number> {
        return this.options.store.put(key, value, expectedVersion, signal);
    }

    override delete(key: string, expectedVersion: number, signal?: AbortSignal): Promise<void> {
        return this.options.store.delete(key, expectedVersion, signal);
    }

    override listInstances(signal?: AbortSignal): Promise<InstanceRecord[]> {
        return this.options.store.listInstances(signal);
    }

    override async watch(
        prefix: string,
        sinceVersion: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<WatchResult> {
        const reader = this.findReader(prefix);
        const followed =
            reader && (await this.askReader(reader, prefix, sinceVersion, waitMs, followSlackMs));
        checkNotWithdrawn(signal);
        if (followed !== undefined) {
            this.noteSource(prefix, reader!.id);
            this.logOf(prefix).append(sinceVersion, followed, followed.asOf);
            return followed;
        }
        const wasFollowing = this.sources.get(prefix) !== storeSource;
        this.noteSource(prefix, storeSource);
        // Once the newest position is known, the reader can tell what comes after it.
        const isCatchingUp = reader !== undefined && wasFollowing;
        return this.watchStore(prefix, sinceVersion, isCatchingUp ? 0 : waitMs, signal);
    }

    override async watchPeers(
        prefix: string,
        sinceVersion: number,
        waitMs: number,
    ): Promise<WatchResult | undefined> {
        const self = this.options.members().self();
        const others = this.findReaders(self).filter(id => id !== self.id);
        const reader = this.pickReader(prefix, self, others);
        const followed = reader && (await this.askReader(reader, prefix, sinceVersion, waitMs));
        if (followed !== undefined) {
            this.logOf(prefix).append(sinceVersion, followed, followed.asOf);
        }
        return followed;
    }

    override async poll(prefix: string, sinceVersion: number, signal?: AbortSignal): Promise<WatchResult> {
        const sentAt = this.options.clock.now();
        const result = await this.options.store.poll(prefix, sinceVersion, signal);
        return this.noteAnswer(prefix, sinceVersion, result, sentAt, 0, signal);
    }

    private async watchStore(
        prefix: string,
        sinceVersion: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<WatchResult> {
        const { clock } = this.options;
        const hasFollowers = this.isReader() || clock.now() - this.followedAt < followerKeepMs;
        const limitMs = hasFollowers ? Math.min(waitMs, this.readerWaitMs(prefix)) : waitMs;
        if (hasFollowers) {
            const nextAt = (this.watchedAt.get(prefix) ?? -Infinity) + readerIntervalMs;
            await clock.sleep(Math.max(0, nextAt - clock.now()), signal);
        }
        const sentAt = clock.now();
        this.watchedAt.set(prefix, sentAt);
        const result = await this.options.store.watch(prefix, sinceVersion, limitMs, signal);
        return this.noteAnswer(prefix, sinceVersion, result, sentAt, limitMs, signal);
    }

    /** Adds an answer of the store to the log, with the time up to which it is complete. */
    private noteAnswer(
        prefix: string,
        sinceVersion: number,
        result: WatchResult,
        sentAt: number,
        waitMs: number,
        signal: AbortSignal | undefined,
    ): WatchResult {
        checkNotWithdrawn(signal);
        const asOf = completeUntil(result, sentAt, waitMs, this.options.clock.now());
        this.logOf(prefix).append(sinceVersion, result, asOf);
        return { ...result, asOf };
    }

    /** The instance to follow: one of the own zone if there is one. Undefined for a reader itself. */
    private findReader(prefix: string): Member | undefined {
        const self = this.options.members().self();
        const readers = this.findReaders(self);
        return readers.includes(self.id) ? undefined : this.pickReader(prefix, self, readers);
    }

    /** Picks one of the readers that answer, if there is one: of the own zone if possible. */
    private pickReader(prefix: string, self: Member, readers: readonly string[]): Member | undefined {
        const view = this.options.members();
        const now = this.options.clock.now();
        const usable = readers.filter(id => (this.avoidUntil.get(id) ?? 0) <= now);
        const near = usable.filter(id => view.find(id)?.zone === self.zone);
        const choice = pickOwner(`${prefix}\n${self.id}`, near.length > 0 ? near : usable);
        return choice === undefined ? undefined : view.find(choice);
    }

    /** Whether other instances of the region are to follow this one. */
    private isReader(): boolean {
        const self = this.options.members().self();
        const readers = this.findReaders(self);
        return readers.includes(self.id) && readers.length < this.ranked!.live.length;
    }

    /** Ids of the readers of the own region, ranked again only when its instances have changed. */
    private findReaders(self: Member): readonly string[] {
        const live = this.options.members().liveInRegion(self.region);
        if (this.ranked?.live !== live) {
            // Whether an instance has read the store already does not count: it says so when it is asked, and a set of
            // readers that changes with each start would send all followers to the store.
            const candidates = live.filter(
                ({ id, status }) => id === self.id || status === MemberStatus.Live,
            );
            this.ranked = { live, readers: pickReaders(candidates.map(({ id }) => id)) };
        }
        return this.ranked.readers;
    }

    /** Asks a reader for changes. Undefined when the store has to be asked. */
    private async askReader(
        reader: Member,
        prefix: string,
        since: number,
        maxWaitMs: number,
        slackMs = 0,
    ): Promise<FollowResult | undefined> {
        const { transport, clock, logger } = this.options;
        const waitMs = Math.min(maxWaitMs, this.readerWaitMs(prefix)) + slackMs;
        const sentAt = clock.now();
        try {
            const answer = await transport.call<unknown>(
                reader.peerAddress,
                followMethod,
                { prefix, since, waitMs },
                waitMs + answerMarginMs,
            );
            const { result } = v.parse(answerSchema, answer);
            return (
                result && {
                    // JSON leaves out the value that a removed object does not have.
                    changes: result.changes.map(change => ({ ...change, value: change.value })),
                    version: result.version,
                    expired: false,
                    asOf: sentAt + result.asOfMs,
                }
            );
        } catch (err) {
            this.avoidUntil.set(reader.id, clock.now() + avoidMs);
            logger.warn("store-reader-failed", { prefix, reader: reader.id, error: getErrorMessage(err) });
            return undefined;
        }
    }

    private async answerFollower(params: unknown): Promise<unknown> {
        const { prefix, since, waitMs } = v.parse(paramsSchema, params);
        const receivedAt = this.options.clock.now();
        this.followedAt = receivedAt;
        const readerWaitMs = this.readerWaitMs(prefix);
        const maxAgeMs = this.options.maxAgeMs?.(prefix) ?? readerWaitMs + ageMarginMs;
        const longestMs = readerWaitMs + followSlackMs;
        const result = await this.logOf(prefix).follow(since, Math.min(waitMs, longestMs), maxAgeMs);
        if (result === undefined) {
            return {};
        }
        const { changes, version, asOf } = result;
        return { result: { changes, version, asOfMs: asOf - receivedAt } };
    }

    private readerWaitMs(prefix: string): number {
        return this.options.readerWaitMs?.(prefix) ?? defaultReaderWaitMs;
    }

    private logOf(prefix: string): ChangeLog {
        const log = this.logs.get(prefix) ?? createChangeLog(this.options.clock);
        this.logs.set(prefix, log);
        return log;
    }

    private noteSource(prefix: string, source: string): void {
        const from = this.sources.get(prefix);
        if (from !== source) {
            this.sources.set(prefix, source);
            this.options.logger.info("store-watch-source", { prefix, source, from });
        }
    }
}

/** Creates the store that an instance watches through its peers. */
export function createRelayedStore(options: RelayedStoreOptions): ObjectStore {
    return new RelayedStore(options);
}
