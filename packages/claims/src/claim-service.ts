/**
 * Claims that make a non-idempotent request run at most once. Each entry is a client of the owners of all shards and
 * the owner of some shards itself.
 *
 * The caller of `begin` that gets `Granted` must check `isGrantUsable` right before it sends the request to a backend
 * server: a process that was frozen since the grant may have told its caller "not run" by then.
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
    AttemptStatus,
    AttemptQuery,
    AttemptRef,
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

/** The part of the manifest that the service reads each time it needs it. */
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
     * Bytes of records that all owned shards may hold in memory; new keys are refused above it.
     * @default 100_663_296 (96 MB)
     */
    maxOwnedBytes?: number;
}

export interface ClaimServiceState {
    session: string;
    /** Number of shards that the store fixes, once known. */
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

/** Object that fixes the number of shards. With another number the records of a key would not be found. */
const layoutKey = "claims/layout";
/** Largest body of an outcome in base64; a record must fit into one store object. */
const maxStoredBodyLength = 384 * 1024;
/** Longest time for one call of an owner, above the time that the owner waits for the store. */
const callTimeoutMs = 2500;
/** Time after which a claim that reaches no owner is refused: longer than the detection of a dead owner. */
const giveUpMs = 5000;
/** Part of the deadline kept for answering the caller. */
const answerMarginMs = 50;
const firstRetryMs = 20;
const maxRetryMs = 500;
const queryTimeoutMs = 500;
const storeTimeoutMs = 1000;
/** Tolerated difference of wall clocks before an owner asks whether an attempt still runs. */
const clockSkewMs = 5000;
/** Time after which bodies of queries about the same attempt are asked again. */
const queryIntervalMs = 1000;
const maxCachedQueries = 1000;
const defaultMaxOwnedBytes = 96 * 1024 * 1024;
const running: ClaimResult = { state: ClaimState.Running };

export function createClaimService(options: ClaimServiceOptions): ManagedClaimService {
    const { store, view, transport, rpc, limits, clock, random, logger } = options;
    const session = randomUUID();
    const owners = new Map<number, ShardOwner>();
    const askedAt = new Map<string, number>();
    let shards: number | undefined;
    let loadingLayout: Promise<number> | undefined;
    let ownedCount: number | undefined;
    let isClosed = false;
    /** Owners in the current view; every change of the view clears it. */
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
            cachedOwners.set(shard, rankShardOwner(shard, region));
        }
        return cachedOwners.get(shard);
    };

    const rankShardOwner = (shard: number, region: string): Member | undefined => {
        const local = view.liveInRegion(region).filter(isServing);
        const candidates = local.length > 0 ? local : view.members().filter(isServing);
        const id = pickOwner(
            `claims/${shard}`,
            candidates.map(member => member.id),
        );
        return candidates.find(member => member.id === id);
    };

    const countOwned = (): number => {
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
                ownedCount ??= countOwned();
            }
            const { maxWritesPerSecond } = limits();
            // A former owner may still delete archives, within the part of one shard.
            return (maxWritesPerSecond * Math.max(1, ownedCount ?? 0)) / (shards ?? limits().shards);
        },
    });

    const removeListener = view.onChange(() => {
        ownedCount = undefined;
        cachedOwners.clear();
        for (const [shard, owner] of owners) {
            if (pickShardOwner(shard)?.id !== view.self().id) {
                owner.release();
            }
        }
    });

    const findLayout = async (): Promise<number | undefined> => {
        const found = await callStore(clock, storeTimeoutMs, signal => store.get(layoutKey, signal));
        return (found?.value as { shards: number } | undefined)?.shards;
    };

    const readLayout = async (): Promise<number> => {
        const found = await findLayout();
        if (found !== undefined) {
            return found;
        }
        const wanted = limits().shards;
        try {
            const value = { formatVersion: 1, shards: wanted };
            await callStore(clock, storeTimeoutMs, signal => store.put(layoutKey, value, 0, signal));
            return wanted;
        } catch (err) {
            if (err instanceof StoreConflictError) {
                return readLayout();
            }
            throw err;
        }
    };

    const getShards = async (): Promise<number> => {
        if (shards !== undefined) {
            return shards;
        }
        loadingLayout ??= readLayout().finally(() => (loadingLayout = undefined));
        try {
            shards ??= await loadingLayout;
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
            const log = createShardStorage({ ...common, store, self: () => view.self(), retentionMs });
            owner = createShardOwner({ ...common, storage: log, retentionMs, isMemoryFull });
            owners.set(shard, owner);
        }
        return owner;
    };

    /** Runs `serve` if this entry owns the shard and returns its refusals as data. */
    const serveShard = async <Value>(
        shard: number,
        serve: (owner: ShardOwner) => Promise<Value>,
    ): Promise<OwnerReply<Value>> => {
        const ownerId = pickShardOwner(shard)?.id;
        if (isClosed || ownerId !== view.self().id) {
            return { kind: "not-owner", ownerId };
        }
        try {
            await getShards();
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
                ? judgeRunning(owner, rec, msg)
                : result;
        });

    /** Tells whether a running attempt can still end, and records it if not. */
    const judgeRunning = async (
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
        const answer = await askAttempt(member, rec);
        if (answer === undefined || (answer.sameSession && answer.active)) {
            return { state: ClaimState.Running };
        }
        const ref: AttemptRef = { ...rec, shard: msg.shard };
        if (answer.sameSession) {
            // The entry forgets an attempt that held a claim only after the owner acknowledged its end.
            await owner.finish({ ...ref, end: { kind: "not-run" } });
            return owner.begin(msg);
        }
        await owner.finish({ ...ref, end: { kind: "unknown" } });
        return { state: ClaimState.Unknown };
    };

    const askAttempt = async (member: Member, rec: ClaimRecord): Promise<AttemptStatus | undefined> => {
        const query: AttemptQuery = { session: rec.session, attemptId: rec.attemptId };
        if (member.id === view.self().id) {
            return table.answer(query.session, query.attemptId);
        }
        if (clock.now() - (askedAt.get(rec.attemptId) ?? -Infinity) < queryIntervalMs) {
            return undefined;
        }
        askedAt.delete(rec.attemptId);
        askedAt.set(rec.attemptId, clock.now());
        if (askedAt.size > maxCachedQueries) {
            askedAt.delete(askedAt.keys().next().value!);
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

    // Read ahead, so that an entry can ask for finished outcomes when the store goes down before its first claim.
    findLayout()
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

    /** Asks the owner until it gives a final answer, following its hints, or until there is no time left. */
    const askOwner = async (
        shard: number,
        deadlineAt: number,
        isFinal: (result: ClaimResult) => boolean,
        call: (owner: Member, timeoutMs: number) => Promise<OwnerReply<ClaimResult>>,
    ): Promise<OwnerAnswer> => {
        const answerBy = deadlineAt - answerMarginMs;
        const giveUpAt = Math.min(answerBy, clock.now() + giveUpMs);
        let maybeCommitted = false;
        let lastError: unknown;
        let hint: string | undefined;
        let retryMs = firstRetryMs;
        // Once another attempt was seen running, "no claim" would be a misleading answer for the key.
        let isRunning = false;
        for (;;) {
            const remaining = (isRunning ? answerBy : giveUpAt) - clock.now();
            if (remaining <= 0 || isClosed) {
                return {
                    result: isRunning ? running : undefined,
                    maybeCommitted,
                    lastError,
                };
            }
            const hinted = hint === undefined ? undefined : view.find(hint);
            const owner = hinted !== undefined && isServing(hinted) ? hinted : pickShardOwner(shard);
            hint = undefined;
            if (owner !== undefined) {
                try {
                    const reply = await call(owner, Math.min(remaining, callTimeoutMs));
                    if (reply.kind === "unavailable") {
                        maybeCommitted ||= reply.maybeCommitted;
                        return { result: isRunning ? running : undefined, maybeCommitted, lastError };
                    }
                    if (reply.kind === "ok" && isFinal(reply.value)) {
                        return { result: reply.value, maybeCommitted, lastError };
                    }
                    isRunning ||= reply.kind === "ok";
                    hint =
                        reply.kind === "not-owner" && reply.ownerId !== owner.id ? reply.ownerId : undefined;
                } catch (err) {
                    lastError = err;
                    maybeCommitted ||= !(err instanceof PeerUnreachableError);
                }
            }
            await clock.sleep(Math.min(retryMs * (0.5 + random()), Math.max(1, remaining)));
            retryMs = Math.min(2 * retryMs, maxRetryMs);
        }
    };

    const createRef = (req: ClaimRequest, shard: number, keyHash: string): AttemptRef => {
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
        const shardCount = await getShards();
        const keyHash = hashKey(req.service, req.key);
        const ref = createRef(req, pickShard(keyHash, shardCount), keyHash);
        if (!table.add(ref, req.deadlineAt)) {
            throw new ClaimsUnavailableError(
                "this entry holds too many unfinished claims; repeat the request later",
            );
        }
        const isFinal = (result: ClaimResult) => result.state !== ClaimState.Running;
        const answer = await askOwner(ref.shard, req.deadlineAt, isFinal, (owner, timeoutMs) =>
            callOwner(owner, beginMethod, ref, () => serveBegin(ref), timeoutMs),
        );
        const { result, maybeCommitted } = answer;
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
                cause: toError(answer.lastError),
            });
        }
        return result;
    };

    return {
        begin,
        finish: (req, end) => table.end(req.attemptId, limitOutcome(end, limits().maxOutcomeBytes)),
        find: async (service, key) => {
            const shardCount = await getShards();
            const keyHash = hashKey(service, key);
            const msg: FindMessage = { shard: pickShard(keyHash, shardCount), keyHash };
            const { result, lastError } = await askOwner(
                msg.shard,
                clock.now() + giveUpMs,
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

interface OwnerAnswer {
    result: ClaimResult | undefined;
    /** Whether the attempt's claim may be in the store, or may get there. */
    maybeCommitted: boolean;
    lastError: unknown;
}

/** Leaves out a body that is larger than the limit. */
function limitOutcome(end: ClaimOutcome, maxOutcomeBytes: number): ClaimOutcome {
    if (end.kind !== "ran" || end.response.body === undefined) {
        return end;
    }
    const { body } = end.response;
    const bytes = Math.floor((body.length * 3) / 4);
    const fits = bytes <= maxOutcomeBytes && body.length <= maxStoredBodyLength;
    return fits ? end : { kind: "ran", response: { ...end.response, body: undefined } };
}
