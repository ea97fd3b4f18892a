/**
 * Claims, which ensure that a non-idempotent request runs at most once. Each entry owns some of the shards and is a
 * client of the owners of all shards.
 *
 * If `begin` returns `Granted`, `isGrantUsable` must be checked immediately before the request is sent to a backend
 * server: if the process was paused after the grant, the caller may already have received a not-run response.
 */
import { randomUUID } from "node:crypto";
import {
    ClaimState,
    ClaimsUnavailableError,
    MemberStatus,
    PeerUnreachableError,
    StoreConflictError,
    pickOwner,
    toError,
} from "@waxwingdale/core";
import type {
    ClaimOutcome,
    ClaimRequest,
    ClaimResult,
    ClaimService,
    Clock,
    Logger,
    Member,
    MemberView,
    ObjectStore,
    PeerTransport,
    Random,
    RpcRegistry,
} from "@waxwingdale/core";
import { createAttemptTable } from "./attempt-table.js";
import { NotShardOwnerError, ShardUnavailableError } from "./claim-errors.js";
import { hashKey, pickShard } from "./claim-key.js";
import { attemptMethod, beginMethod, findMethod, finishMethod } from "./claim-messages.js";
import type {
    AttemptQuery,
    AttemptRef,
    AttemptStatus,
    BeginMessage,
    BeginReply,
    FindMessage,
    FinishMessage,
    FinishReply,
    OwnerReply,
} from "./claim-messages.js";
import { RecordState } from "./claim-record.js";
import type { ClaimRecord } from "./claim-record.js";
import { callStore, createShardStorage } from "./shard-storage.js";
import { createShardOwner } from "./shard-owner.js";
import type { ShardOwner, ShardOwnerState } from "./shard-owner.js";
import { createWriteBudget } from "./write-budget.js";

/** Settings from the manifest, read on each use. */
export interface ClaimLimits {
    shards: number;
    maxWritesPerSecond: number;
    retentionSeconds: number;
    maxOutcomeBytes: number;
}

export interface ClaimServiceOptions {
    store: ObjectStore;
    view: MemberView;
    transport: PeerTransport;
    rpc: RpcRegistry;
    storeRegion: () => string;
    limits: () => ClaimLimits;
    clock: Clock;
    random: Random;
    logger: Logger;
    /**
     * Memory limit for the records of all owned shards. New keys are rejected above it.
     * @default 100_663_296 (96 MB)
     */
    maxOwnedBytes?: number;
}

export interface ClaimServiceState {
    session: string;
    /** Number of shards according to the store, once known. */
    shards: number | undefined;
    attempts: number;
    unacknowledged: number;
    waitingBytes: number;
    owned: ShardOwnerState[];
}

export interface ManagedClaimService extends ClaimService {
    /** Whether the holder of a claim may still send its request. */
    isGrantUsable(req: ClaimRequest): boolean;
    state(): ClaimServiceState;
    close(): void;
}

/** Object that stores the number of shards. It never changes, or existing records would not be found. */
const layoutKey = "claims/layout";
/** Maximum length of a recorded body in base64, since a record must fit into one store object. */
const maxStoredBodyLength = 384 * 1024;
/** Timeout for a call to an owner. Longer than the owner waits for the store. */
const callTimeoutMs = 2500;
/** Timeout for a claim that reaches no owner. Longer than it takes to detect that an owner is dead. */
const ownerTimeoutMs = 5000;
/** Time reserved before the deadline to respond to the caller. */
const responseMarginMs = 50;
const firstRetryMs = 20;
const maxRetryMs = 500;
const queryTimeoutMs = 500;
const storeTimeoutMs = 1000;
/** Tolerated clock skew before an owner asks whether an overdue attempt is still running. */
const clockSkewMs = 5000;
/** Minimum interval between queries about the same attempt. */
const queryIntervalMs = 1000;
const maxTrackedQueries = 1000;
const defaultMaxOwnedBytes = 96 * 1024 * 1024;
const runningResult: ClaimResult = { state: ClaimState.Running };

export function createClaimService(options: ClaimServiceOptions): ManagedClaimService {
    const { store, view, transport, rpc, limits, clock, random, logger } = options;
    const session = randomUUID();
    const owners = new Map<number, ShardOwner>();
    const queriedAt = new Map<string, number>();
    let shards: number | undefined;
    let loadingShardCount: Promise<number> | undefined;
    let ownedShardCount: number | undefined;
    let isClosed = false;
    /** Owners according to the current view. Cleared whenever the view changes. */
    const cachedOwners = new Map<number, Member | undefined>();
    let cachedRegion: string | undefined;

    const isServing = (member: Member) =>
        member.status === MemberStatus.Live || member.status === MemberStatus.Suspect;

    const pickShardOwner = (shard: number): Member | undefined => {
        const region = options.storeRegion();
        if (region !== cachedRegion) {
            cachedRegion = region;
            cachedOwners.clear();
        }
        if (!cachedOwners.has(shard)) {
            cachedOwners.set(shard, computeShardOwner(shard, region));
        }
        return cachedOwners.get(shard);
    };

    const computeShardOwner = (shard: number, region: string): Member | undefined => {
        const local = view.liveInRegion(region).filter(isServing);
        const candidates = local.length > 0 ? local : view.members().filter(isServing);
        const id = pickOwner(
            `claims/${shard}`,
            candidates.map(member => member.id),
        );
        return candidates.find(member => member.id === id);
    };

    const countOwnedShards = (): number => {
        let count = 0;
        for (let shard = 0; shard < (shards ?? 0); shard++) {
            count += pickShardOwner(shard)?.id === view.self().id ? 1 : 0;
        }
        return count;
    };

    const budget = createWriteBudget({
        clock,
        writesPerSecond: () => {
            if (shards !== undefined) {
                ownedShardCount ??= countOwnedShards();
            }
            const { maxWritesPerSecond } = limits();
            // A former owner may still have to delete archives, so it keeps the share of one shard.
            return (maxWritesPerSecond * Math.max(1, ownedShardCount ?? 0)) / (shards ?? limits().shards);
        },
    });

    const removeListener = view.onChange(() => {
        ownedShardCount = undefined;
        cachedOwners.clear();
        for (const [shard, owner] of owners) {
            if (pickShardOwner(shard)?.id !== view.self().id) {
                owner.release();
            }
        }
    });

    const readShardCount = async (): Promise<number | undefined> => {
        const found = await callStore(clock, storeTimeoutMs, signal => store.get(layoutKey, signal));
        return (found?.value as { shards: number } | undefined)?.shards;
    };

    const readOrCreateShardCount = async (): Promise<number> => {
        const found = await readShardCount();
        if (found !== undefined) {
            return found;
        }
        const configured = limits().shards;
        try {
            const value = { formatVersion: 1, shards: configured };
            await callStore(clock, storeTimeoutMs, signal => store.put(layoutKey, value, 0, signal));
            return configured;
        } catch (err) {
            if (err instanceof StoreConflictError) {
                return readOrCreateShardCount();
            }
            throw err;
        }
    };

    const getShardCount = async (): Promise<number> => {
        if (shards !== undefined) {
            return shards;
        }
        loadingShardCount ??= readOrCreateShardCount().finally(() => (loadingShardCount = undefined));
        try {
            shards ??= await loadingShardCount;
        } catch (err) {
            throw new ClaimsUnavailableError("the number of claim shards cannot be read from the store", {
                cause: err,
            });
        }
        if (shards !== limits().shards) {
            logger.warn("claims-shards-differ", { stored: shards, manifest: limits().shards });
        }
        return shards;
    };

    const isMemoryFull = (): boolean => {
        let bytes = 0;
        for (const owner of owners.values()) {
            bytes += owner.getRecordBytes();
        }
        return bytes >= (options.maxOwnedBytes ?? defaultMaxOwnedBytes);
    };

    const getOwner = (shard: number): ShardOwner => {
        let owner = owners.get(shard);
        if (owner === undefined) {
            const common = { shard, clock, random, logger, budget };
            const retentionMs = () => limits().retentionSeconds * 1000;
            const storage = createShardStorage({ ...common, store, self: () => view.self(), retentionMs });
            owner = createShardOwner({ ...common, storage, retentionMs, isMemoryFull });
            owners.set(shard, owner);
        }
        return owner;
    };

    /** Runs `serve` if this entry owns the shard, and returns rejections as values. */
    const serveShard = async <Value>(
        shard: number,
        serve: (owner: ShardOwner) => Promise<Value>,
    ): Promise<OwnerReply<Value>> => {
        const ownerId = pickShardOwner(shard)?.id;
        if (isClosed || ownerId !== view.self().id) {
            return { kind: "not-owner", ownerId };
        }
        try {
            await getShardCount();
            return { kind: "ok", value: await serve(getOwner(shard)) };
        } catch (err) {
            if (err instanceof NotShardOwnerError) {
                return { kind: "not-owner", ownerId: err.ownerId };
            }
            if (err instanceof ClaimsUnavailableError) {
                return { kind: "unavailable", maybeCommitted: false };
            }
            if (err instanceof ShardUnavailableError) {
                return { kind: "unavailable", maybeCommitted: err.maybeCommitted };
            }
            throw err;
        }
    };

    const serveBegin = (msg: BeginMessage): Promise<BeginReply> =>
        serveShard(msg.shard, async owner => {
            const result = await owner.begin(msg);
            if (result.state !== ClaimState.Running) {
                return result;
            }
            const rec = owner.peek(msg.keyHash);
            return rec !== undefined && rec.state === RecordState.Running
                ? resolveRunning(owner, rec, msg)
                : result;
        });

    /** Determines whether a running attempt can still complete, and records its outcome if not. */
    const resolveRunning = async (
        owner: ShardOwner,
        rec: ClaimRecord,
        msg: BeginMessage,
    ): Promise<ClaimResult> => {
        const member = view.find(rec.entryId);
        if (member === undefined || member.status === MemberStatus.Dead) {
            return { state: ClaimState.Unknown };
        }
        const isOverdue = rec.expiresAt + clockSkewMs < clock.wallTime();
        if (member.incarnation === rec.incarnation && !isOverdue) {
            return { state: ClaimState.Running };
        }
        const status = await queryAttempt(member, rec);
        if (status === undefined || (status.sameSession && status.active)) {
            return { state: ClaimState.Running };
        }
        const ref: AttemptRef = { ...rec, shard: msg.shard };
        if (status.sameSession) {
            // An entry removes an attempt that held a claim only after the owner has acknowledged its outcome, so an
            // attempt that it does not know never ran.
            await owner.finish({ ...ref, end: { kind: "not-run" } });
            return owner.begin(msg);
        }
        await owner.finish({ ...ref, end: { kind: "unknown" } });
        return { state: ClaimState.Unknown };
    };

    const queryAttempt = async (member: Member, rec: ClaimRecord): Promise<AttemptStatus | undefined> => {
        const query: AttemptQuery = { session: rec.session, attemptId: rec.attemptId };
        if (member.id === view.self().id) {
            return table.answer(query.session, query.attemptId);
        }
        if (clock.now() - (queriedAt.get(rec.attemptId) ?? -Infinity) < queryIntervalMs) {
            return undefined;
        }
        queriedAt.delete(rec.attemptId);
        queriedAt.set(rec.attemptId, clock.now());
        if (queriedAt.size > maxTrackedQueries) {
            queriedAt.delete(queriedAt.keys().next().value!);
        }
        try {
            return await transport.call<AttemptStatus>(
                member.peerAddress,
                attemptMethod,
                query,
                queryTimeoutMs,
            );
        } catch {
            return undefined;
        }
    };

    const serveFinish = (msg: FinishMessage): Promise<FinishReply> =>
        serveShard(msg.shard, async owner => {
            const results = await Promise.allSettled(msg.ends.map(end => owner.finish(end)));
            const acknowledged = msg.ends
                .filter((_end, index) => results[index]!.status === "fulfilled")
                .map(end => end.attemptId);
            return { acknowledged };
        });

    const serveFind = (msg: FindMessage): Promise<OwnerReply<ClaimResult>> =>
        serveShard(msg.shard, async owner => {
            const result = await owner.find(msg.keyHash);
            const rec = owner.peek(msg.keyHash);
            const member = rec && view.find(rec.entryId);
            const isLost = member === undefined || member.status === MemberStatus.Dead;
            return result.state === ClaimState.Running && isLost ? { state: ClaimState.Unknown } : result;
        });

    // Read the layout early, so that finished outcomes can be found even if the store fails before the first claim.
    readShardCount()
        .then(found => (shards ??= found))
        .catch(() => undefined);

    rpc.addMethod(beginMethod, params => serveBegin(params as BeginMessage));
    rpc.addMethod(finishMethod, params => serveFinish(params as FinishMessage));
    rpc.addMethod(findMethod, params => serveFind(params as FindMessage));
    rpc.addMethod(attemptMethod, params => {
        const query = params as AttemptQuery;
        if (isClosed) {
            throw new ClaimsUnavailableError("the claim service is closed");
        }
        return table.answer(query.session, query.attemptId);
    });

    const callOwner = async <Reply>(
        owner: Member,
        method: string,
        msg: unknown,
        serveLocally: () => Promise<Reply>,
        timeoutMs: number,
    ): Promise<Reply> =>
        owner.id === view.self().id
            ? serveLocally()
            : transport.call<Reply>(owner.peerAddress, method, msg, timeoutMs);

    const table = createAttemptTable({
        clock,
        random,
        session,
        send: msg => {
            const owner = pickShardOwner(msg.shard);
            return owner === undefined
                ? Promise.resolve({ kind: "not-owner", ownerId: undefined })
                : callOwner(owner, finishMethod, msg, () => serveFinish(msg), callTimeoutMs);
        },
    });

    /** Calls the owner, following hints to another one, until a result is final or the time is up. */
    const callOwnerWithRetry = async (
        shard: number,
        deadlineAt: number,
        isFinal: (result: ClaimResult) => boolean,
        call: (owner: Member, timeoutMs: number) => Promise<OwnerReply<ClaimResult>>,
    ): Promise<OwnerCallResult> => {
        const respondBy = deadlineAt - responseMarginMs;
        const ownerTimeoutAt = Math.min(respondBy, clock.now() + ownerTimeoutMs);
        let maybeCommitted = false;
        let lastError: unknown;
        let hintedOwnerId: string | undefined;
        let retryMs = firstRetryMs;
        // Once another attempt has been seen running, it would be misleading to report that there is no claim.
        let isRunning = false;
        for (;;) {
            const remainingMs = (isRunning ? respondBy : ownerTimeoutAt) - clock.now();
            if (remainingMs <= 0 || isClosed) {
                return {
                    result: isRunning ? runningResult : undefined,
                    maybeCommitted,
                    lastError,
                };
            }
            const hintedOwner = hintedOwnerId === undefined ? undefined : view.find(hintedOwnerId);
            const owner =
                hintedOwner !== undefined && isServing(hintedOwner) ? hintedOwner : pickShardOwner(shard);
            hintedOwnerId = undefined;
            if (owner !== undefined) {
                try {
                    const reply = await call(owner, Math.min(remainingMs, callTimeoutMs));
                    if (reply.kind === "unavailable") {
                        maybeCommitted ||= reply.maybeCommitted;
                        return { result: isRunning ? runningResult : undefined, maybeCommitted, lastError };
                    }
                    if (reply.kind === "ok" && isFinal(reply.value)) {
                        return { result: reply.value, maybeCommitted, lastError };
                    }
                    isRunning ||= reply.kind === "ok";
                    hintedOwnerId =
                        reply.kind === "not-owner" && reply.ownerId !== owner.id ? reply.ownerId : undefined;
                } catch (err) {
                    lastError = err;
                    maybeCommitted ||= !(err instanceof PeerUnreachableError);
                }
            }
            await clock.sleep(Math.min(retryMs * (0.5 + random()), Math.max(1, remainingMs)));
            retryMs = Math.min(2 * retryMs, maxRetryMs);
        }
    };

    const createAttemptRef = (req: ClaimRequest, shard: number, keyHash: string): AttemptRef => {
        const { id, incarnation } = view.self();
        return {
            shard,
            keyHash,
            requestHash: req.requestHash,
            attemptId: req.attemptId,
            entryId: id,
            incarnation,
            session,
            expiresAt: clock.wallTime() + req.deadlineAt - clock.now(),
        };
    };

    const begin = async (req: ClaimRequest): Promise<ClaimResult> => {
        const shardCount = await getShardCount();
        const keyHash = hashKey(req.service, req.key);
        const ref = createAttemptRef(req, pickShard(keyHash, shardCount), keyHash);
        if (!table.add(ref, req.deadlineAt)) {
            throw new ClaimsUnavailableError(
                "this entry holds too many unfinished claims; repeat the request later",
            );
        }
        const isFinal = (result: ClaimResult) => result.state !== ClaimState.Running;
        const outcome = await callOwnerWithRetry(ref.shard, req.deadlineAt, isFinal, (owner, timeoutMs) =>
            callOwner(owner, beginMethod, ref, () => serveBegin(ref), timeoutMs),
        );
        const { result, maybeCommitted } = outcome;
        const isGranted = result?.state === ClaimState.Granted;
        if (isGranted && clock.now() < req.deadlineAt && table.grant(req.attemptId)) {
            return result;
        }
        if (isGranted || maybeCommitted) {
            table.abandon(req.attemptId);
        } else {
            table.drop(req.attemptId);
        }
        if (result === undefined || isGranted || result.state === ClaimState.Absent) {
            throw new ClaimsUnavailableError("no claim could be committed; repeat the request later", {
                cause: toError(outcome.lastError),
            });
        }
        return result;
    };

    return {
        begin,
        finish: (req, end) => table.end(req.attemptId, omitLargeBody(end, limits().maxOutcomeBytes)),
        find: async (service, key) => {
            const shardCount = await getShardCount();
            const keyHash = hashKey(service, key);
            const msg: FindMessage = { shard: pickShard(keyHash, shardCount), keyHash };
            const { result, lastError } = await callOwnerWithRetry(
                msg.shard,
                clock.now() + ownerTimeoutMs,
                () => true,
                (owner, timeoutMs) => callOwner(owner, findMethod, msg, () => serveFind(msg), timeoutMs),
            );
            if (result === undefined) {
                throw new ClaimsUnavailableError("the outcome cannot be read now; ask again later", {
                    cause: toError(lastError),
                });
            }
            return result;
        },
        isGrantUsable: req => table.isUsable(req.attemptId),
        state: () => ({
            session,
            shards,
            ...table.state(),
            owned: [...owners.values()].map(owner => owner.state()).filter(state => state.held),
        }),
        close: () => {
            isClosed = true;
            removeListener();
            table.close();
            budget.close();
            for (const owner of owners.values()) {
                owner.close();
            }
        },
    };
}

interface OwnerCallResult {
    result: ClaimResult | undefined;
    /** Whether the claim may have been written to the store, or may still be. */
    maybeCommitted: boolean;
    lastError: unknown;
}

/** Omits a response body that exceeds the limit. */
function omitLargeBody(end: ClaimOutcome, maxOutcomeBytes: number): ClaimOutcome {
    if (end.kind !== "ran" || end.response.body === undefined) {
        return end;
    }
    const { body } = end.response;
    const bytes = Math.floor((body.length * 3) / 4);
    const fits = bytes <= maxOutcomeBytes && body.length <= maxStoredBodyLength;
    return fits ? end : { kind: "ran", response: { ...end.response, body: undefined } };
}
