/**
 * Object store client that shares watches between peers: a few instances of each region, the readers, watch the store,
 * and the others, the followers, get the changes from them. Calls to the store are billed, and if every instance
 * watched the store, each change would cost one call per instance.
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
    EraChange,
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
import { computeAsOf } from "./compute-as-of.js";

export interface RelayedStoreOptions {
    store: ObjectStore;
    members: () => MemberView;
    transport: PeerTransport;
    rpc: RpcRegistry;
    /**
     * Maximum wait of a reader's watch in milliseconds, by prefix.
     * @default 1000
     */
    readerWaitMs?: (prefix: string) => number;
    /**
     * Age of a reader's data in milliseconds, by prefix, from which its followers must use the store.
     * @default `readerWaitMs` plus 500
     */
    maxAgeMs?: (prefix: string) => number;
    clock: Clock;
    logger: Logger;
}

/** Source recorded for watches that go to the store itself. */
const storeSource = "store";
/** JSON-RPC method by which a follower requests the changes under a prefix. */
const followMethod = "store.follow";
/** Minimum number of readers in a region, so that one remains when two fail. */
const minReaders = 3;
/** Instances per reader. Their requests, about 100 a second, take a tenth of the smallest processor. */
const instancesPerReader = 32;
const defaultReaderWaitMs = 1000;
/**
 * Minimum time in milliseconds between two watches of a prefix by an instance with followers. Limits the calls in a
 * large fleet, where some server changes all the time.
 */
const readerIntervalMs = 500;
/** Milliseconds by which the default `maxAgeMs` exceeds the maximum wait of a reader's watch. */
const ageMarginMs = 500;
/**
 * Milliseconds for which a follower waits beyond its own wait, so that the store's next response to the reader arrives
 * first. Without changes, the reader's watch ends at the same time as the follower's wait, and adds a round trip.
 */
const followSlackMs = 200;
/** Milliseconds that a reader's response may take in addition to the wait: many round trips within a region. */
const responseMarginMs = 400;
/** Milliseconds for which a reader is not used after a failed request. */
const failedReaderTimeoutMs = 5000;
/** Milliseconds after the last request of a follower for which an instance counts as followed. */
const followerTimeoutMs = 5000;

/**
 * Parameters of `store.follow`. A follower and a reader with different eras do not serve each other, and an absent era differs
 * from all others: that of an instance of an earlier release, or one that has read no store with eras.
 */
const paramsSchema = v.object({
    prefix: v.string(),
    since: v.number(),
    waitMs: v.number(),
    era: v.optional(v.number()),
});
const changeSchema = v.object({
    key: v.string(),
    version: v.number(),
    value: v.optional(v.unknown()),
    deleted: v.boolean(),
});
/**
 * Result of `store.follow`, with the reader's era; without `result` if the follower must use the store. `asOfMs` is the time
 * up to which the result is complete, in milliseconds relative to the arrival of the request, because the clocks of two
 * instances have no common reference. It may be negative.
 */
const responseSchema = v.object({
    result: v.optional(v.object({ changes: v.array(changeSchema), version: v.number(), asOfMs: v.number() })),
    era: v.optional(v.number()),
});

/** Picks the readers of a region. Rendezvous hashing keeps most of them the same when instances come and go. */
function pickReaders(ids: readonly string[]): string[] {
    const count = Math.max(minReaders, Math.ceil(ids.length / instancesPerReader));
    return rankOwners("store-readers", ids).slice(0, count);
}

/** @throws StoreUnavailableError if the call was canceled because another one succeeded; its result is not recorded */
function throwIfCanceled(signal: AbortSignal | undefined): void {
    if (signal?.aborted) {
        throw new StoreUnavailableError("the call was canceled");
    }
}

/** Passes all calls except watches through to the store. */
class RelayedStore extends ObjectStore {
    private readonly logs = new Map<string, ChangeLog>();
    private readonly avoidUntil = new Map<string, number>();
    /** Id of the reader that responded to the last watch of a prefix, or `storeSource`. */
    private readonly sources = new Map<string, string>();
    private readonly lastWatchAt = new Map<string, number>();
    private lastFollowedAt = -Infinity;
    private ranked: { live: readonly Member[]; readers: readonly string[] } | undefined;

    constructor(private readonly options: RelayedStoreOptions) {
        super();
        options.rpc.addMethod(followMethod, params => this.handleFollow(params));
        options.store.onEraChange(() => this.logs.forEach(log => log.reset()));
    }

    override era(): number | undefined {
        return this.options.store.era();
    }

    override onEraChange(listener: (change: EraChange) => void): () => void {
        return this.options.store.onEraChange(listener);
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
        if (list.era === this.era()) {
            this.getLog(prefix).recordList(list.version, sentAt);
        }
        return list;
    }

    override put(
        key: string,
        value: unknown,
        expectedVersion: number,
        signal?: AbortSignal,
        era?: number,
    ): Promise<number> {
        return this.options.store.put(key, value, expectedVersion, signal, era);
    }

    override delete(key: string, expectedVersion: number, signal?: AbortSignal, era?: number): Promise<void> {
        return this.options.store.delete(key, expectedVersion, signal, era);
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
        const followResult =
            reader && (await this.followReader(reader, prefix, sinceVersion, waitMs, followSlackMs));
        throwIfCanceled(signal);
        if (followResult !== undefined) {
            this.recordSource(prefix, reader!.id);
            this.getLog(prefix).append(sinceVersion, followResult, followResult.asOf);
            return followResult;
        }
        const wasFollowing = this.sources.get(prefix) !== storeSource;
        this.recordSource(prefix, storeSource);
        // Without a wait, the store returns its latest position immediately. The reader can then serve later changes.
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
        const followResult = reader && (await this.followReader(reader, prefix, sinceVersion, waitMs));
        if (followResult !== undefined) {
            this.getLog(prefix).append(sinceVersion, followResult, followResult.asOf);
        }
        return followResult;
    }

    override async poll(prefix: string, sinceVersion: number, signal?: AbortSignal): Promise<WatchResult> {
        const sentAt = this.options.clock.now();
        const era = this.era();
        const result = await this.options.store.poll(prefix, sinceVersion, signal);
        this.requireEra(result, era);
        return this.recordResponse(prefix, sinceVersion, result, sentAt, 0, signal);
    }

    private async watchStore(
        prefix: string,
        sinceVersion: number,
        waitMs: number,
        signal?: AbortSignal,
    ): Promise<WatchResult> {
        const { clock } = this.options;
        const hasFollowers = this.isReader() || clock.now() - this.lastFollowedAt < followerTimeoutMs;
        const limitMs = hasFollowers ? Math.min(waitMs, this.readerWaitMs(prefix)) : waitMs;
        if (hasFollowers) {
            const nextAt = (this.lastWatchAt.get(prefix) ?? -Infinity) + readerIntervalMs;
            await clock.sleep(Math.max(0, nextAt - clock.now()), signal);
        }
        const sentAt = clock.now();
        this.lastWatchAt.set(prefix, sentAt);
        const era = this.era();
        const result = await this.options.store.watch(prefix, sinceVersion, limitMs, signal);
        this.requireEra(result, era);
        return this.recordResponse(prefix, sinceVersion, result, sentAt, limitMs, signal);
    }

    /**
     * Checks that the position of a call, its result and this instance are of one era.
     * @throws StoreUnavailableError
     */
    private requireEra(result: WatchResult, era: number | undefined): void {
        if (result.era !== era || era !== this.era()) {
            throw new StoreUnavailableError("the store came back from an older copy during the call");
        }
    }

    /** Appends a response of the store to the log, with the time up to which it is complete. */
    private recordResponse(
        prefix: string,
        sinceVersion: number,
        result: WatchResult,
        sentAt: number,
        waitMs: number,
        signal: AbortSignal | undefined,
    ): WatchResult {
        throwIfCanceled(signal);
        const asOf = computeAsOf(result, sentAt, waitMs, this.options.clock.now());
        this.getLog(prefix).append(sinceVersion, result, asOf);
        return { ...result, asOf };
    }

    /** Returns the reader to follow. Undefined if this instance is a reader itself, or if no reader is usable. */
    private findReader(prefix: string): Member | undefined {
        const self = this.options.members().self();
        const readers = this.findReaders(self);
        return readers.includes(self.id) ? undefined : this.pickReader(prefix, self, readers);
    }

    /** Picks a reader that has not failed recently, in the same zone if possible. */
    private pickReader(prefix: string, self: Member, readers: readonly string[]): Member | undefined {
        const view = this.options.members();
        const now = this.options.clock.now();
        const usable = readers.filter(id => (this.avoidUntil.get(id) ?? 0) <= now);
        const sameZone = usable.filter(id => view.find(id)?.zone === self.zone);
        const readerId = pickOwner(`${prefix}\n${self.id}`, sameZone.length > 0 ? sameZone : usable);
        return readerId === undefined ? undefined : view.find(readerId);
    }

    /** Returns whether this instance is a reader in a region that has followers. */
    private isReader(): boolean {
        const self = this.options.members().self();
        const readers = this.findReaders(self);
        return readers.includes(self.id) && readers.length < this.ranked!.live.length;
    }

    /** Returns the ids of the region's readers, ranked again only when the live instances of the region change. */
    private findReaders(self: Member): readonly string[] {
        const live = this.options.members().liveInRegion(self.region);
        if (this.ranked?.live !== live) {
            // Instances that have not read the store yet are included: they say so in their response. If the set of
            // readers changed with each start, all followers would fall back to the store.
            const candidates = live.filter(
                ({ id, status }) => id === self.id || status === MemberStatus.Live,
            );
            this.ranked = { live, readers: pickReaders(candidates.map(({ id }) => id)) };
        }
        return this.ranked.readers;
    }

    /** Requests changes from a reader. Returns undefined if the caller must use the store. */
    private async followReader(
        reader: Member,
        prefix: string,
        since: number,
        maxWaitMs: number,
        slackMs = 0,
    ): Promise<FollowResult | undefined> {
        const { transport, clock, logger } = this.options;
        const waitMs = Math.min(maxWaitMs, this.readerWaitMs(prefix)) + slackMs;
        const sentAt = clock.now();
        const era = this.era();
        try {
            const response = await transport.call<unknown>(
                reader.peerAddress,
                followMethod,
                { prefix, since, waitMs, era },
                waitMs + responseMarginMs,
            );
            const { result, era: readerEra } = v.parse(responseSchema, response);
            if (readerEra !== era || this.era() !== era) {
                this.recordOtherEra(reader, prefix, readerEra, result !== undefined);
                return undefined;
            }
            return (
                result && {
                    // JSON omits the undefined value of a deleted object.
                    changes: result.changes.map(change => ({ ...change, value: change.value })),
                    version: result.version,
                    expired: false,
                    asOf: sentAt + result.asOfMs,
                    era,
                }
            );
        } catch (err) {
            this.avoidUntil.set(reader.id, clock.now() + failedReaderTimeoutMs);
            logger.warn("store-reader-failed", { prefix, reader: reader.id, error: getErrorMessage(err) });
            return undefined;
        }
    }

    /** A reader that serves followers of any era is one of an earlier release, which always makes its followers wait. */
    private recordOtherEra(
        reader: Member,
        prefix: string,
        readerEra: number | undefined,
        hasServed: boolean,
    ): void {
        const { clock, logger } = this.options;
        logger.debug("store-reader-era", { prefix, reader: reader.id, readerEra, era: this.era() });
        if (hasServed && readerEra === undefined) {
            this.avoidUntil.set(reader.id, clock.now() + failedReaderTimeoutMs);
        }
    }

    private async handleFollow(params: unknown): Promise<unknown> {
        const { prefix, since, waitMs, era } = v.parse(paramsSchema, params);
        if (era !== this.era()) {
            return { era: this.era() };
        }
        const receivedAt = this.options.clock.now();
        this.lastFollowedAt = receivedAt;
        const readerWaitMs = this.readerWaitMs(prefix);
        const maxAgeMs = this.options.maxAgeMs?.(prefix) ?? readerWaitMs + ageMarginMs;
        const maxWaitMs = readerWaitMs + followSlackMs;
        const result = await this.getLog(prefix).waitForChanges(since, Math.min(waitMs, maxWaitMs), maxAgeMs);
        if (result === undefined || era !== this.era()) {
            return { era: this.era() };
        }
        const { changes, version, asOf } = result;
        return { result: { changes, version, asOfMs: asOf - receivedAt }, era };
    }

    private readerWaitMs(prefix: string): number {
        return this.options.readerWaitMs?.(prefix) ?? defaultReaderWaitMs;
    }

    private getLog(prefix: string): ChangeLog {
        const log = this.logs.get(prefix) ?? createChangeLog(this.options.clock);
        this.logs.set(prefix, log);
        return log;
    }

    private recordSource(prefix: string, source: string): void {
        const from = this.sources.get(prefix);
        if (from !== source) {
            this.sources.set(prefix, source);
            this.options.logger.info("store-watch-source", { prefix, source, from });
        }
    }
}

/** Creates a store client whose watches go through peers. */
export function createRelayedStore(options: RelayedStoreOptions): ObjectStore {
    return new RelayedStore(options);
}
