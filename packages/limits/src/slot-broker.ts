/** Distributes the slots of a region's backend servers among the entries of the region. */
import {
    AdmissionRefusedError,
    ReasonCode,
    SlotResult,
    classesByImportance,
    hash64Hex,
} from "@waxwingdale/core";
import type {
    BackendServer,
    Clock,
    Logger,
    MemberView,
    PeerTransport,
    Random,
    RequestClass,
    RpcRegistry,
    Slot,
    SlotRequest,
    SlotSource,
} from "@waxwingdale/core";
import * as v from "valibot";
import type { Waiter } from "./admission-queue.js";
import { createBrokerCounters } from "./broker-counters.js";
import type { BrokerCounters } from "./broker-counters.js";
import { defaultLimitsConfig } from "./limits-config.js";
import type { LimitsConfig } from "./limits-config.js";
import { grantSchema, returnSchema, wantSchema } from "./messages.js";
import type { GrantResponse, ServiceWant, WantResponse } from "./messages.js";
import { createServicePool } from "./service-pool.js";
import type { PoolServer, ServicePool, SlotRequirements } from "./service-pool.js";
import { createSlotLending } from "./slot-lending.js";
import { SlotUse, createSlotTable } from "./slot-table.js";
import type { SlotRecord } from "./slot-table.js";
import { createPeerWants } from "./peer-wants.js";
import type { PeerQueueHead, PeerWant } from "./peer-wants.js";
import { createWantSender } from "./want-sender.js";

export interface SlotBrokerOptions {
    view: MemberView;
    transport: PeerTransport;
    rpc: RpcRegistry;
    /** Current backend servers of the local region, including draining ones. */
    servers: () => readonly BackendServer[];
    clock: Clock;
    random: Random;
    logger: Logger;
    /** @default defaultLimitsConfig */
    cfg?: Partial<LimitsConfig>;
}

/** State of an entry's slot broker, for the state dump. */
export interface SlotBrokerState {
    services: {
        service: string;
        serviceMs: number;
        waiting: Record<string, number>;
        /** Number of slots that are owned or borrowed and not lent. */
        held: number;
    }[];
    servers: { id: string; running: number; draining: boolean; isOpen: boolean; serviceMs?: number }[];
    slots: {
        key: string;
        use: SlotUse;
        isOwn: boolean;
        isConfirmed: boolean;
        borrowedFrom?: string;
        lentTo?: string;
    }[];
    counters: BrokerCounters;
}

export interface SlotBroker extends SlotSource {
    /** Must be called after every change of the server list. */
    onServersChanged(): void;
    state(): SlotBrokerState;
    counters(): Readonly<BrokerCounters>;
    /**
     * Rejects new requests and hands over all slots. Resolves when the peers have been notified, or immediately while
     * requests are running, whose slots are handed over as they finish.
     */
    close(): Promise<void>;
}

const anySlot: SlotRequirements = {
    avoid: new Set(),
    isSuspect: false,
    until: -Infinity,
    requiresHealthy: false,
};
/** A request is rejected if fewer than this many service times are left until its deadline. */
const minServiceTimes = 2;
/**
 * Service times reserved for running a request after its wait. With exponentially distributed service times,
 * 1 request in 160,000 takes longer than 12 times the mean. With a reserve of 2, 1 in 8 of the requests that start
 * at the last moment would reach their deadline while running, with an unknown outcome.
 */
const reservedServiceTimes = 12;
/** Fraction of the remaining time that a request may spend waiting even if service times are long. */
const minQueueTimeShare = 0.75;

export function createSlotBroker(options: SlotBrokerOptions): SlotBroker {
    const { view, transport, rpc, clock, random, logger } = options;
    const cfg: LimitsConfig = { ...defaultLimitsConfig, ...options.cfg };
    const counters = createBrokerCounters();
    const run = hash64Hex(`${view.self().id} ${view.self().incarnation} ${clock.wallTime()} ${random()}`);
    const pools = new Map<string, ServicePool>();
    const serverById = new Map<string, { pool: ServicePool; entry: PoolServer }>();
    const peerWants = createPeerWants(4 * cfg.wantResendMs);
    const dispatching = new Set<string>();
    let lastTickAt = clock.now();
    let isClosed = false;
    let hasAbandoned = false;
    let runningCount = 0;

    const table = createSlotTable({
        view,
        servers: options.servers,
        clock,
        cfg,
        run,
        onFree: record => onFree(record),
        onReleased: claims => claims.forEach(({ peer, claim }) => lending.sendHandover(peer, claim)),
    });

    const wantSender = createWantSender({
        view,
        transport,
        clock,
        random,
        cfg,
        run,
        counters,
        buildWants: () => [...pools.values()].filter(({ queue }) => queue.size() > 0).map(buildWant),
        claims: () => table.claims(),
        claimPeers: () => table.claimPeers(),
        onClaimAnswer: (claim, peer, answer) => table.applyAnswer(claim, peer, answer),
    });

    const lending = createSlotLending({
        table,
        view,
        transport,
        clock,
        random,
        cfg,
        run,
        counters,
        findServer: id => serverById.get(id)?.entry.server,
        canUseServer: server => !isClosed && !server.draining && isOpen(server.id),
        wantSentAt: seq => wantSender.sentAt(seq),
    });

    const isOpen = (serverId: string) => serverById.get(serverId)?.entry.monitor.isOpen(clock.now()) ?? false;

    const buildWant = ({ service, queue }: ServicePool): ServiceWant => {
        const now = clock.now();
        const waiters = queue.waitersByClass().flat();
        const avoid = [...waiters[0]!.req.avoid].filter(id => waiters.every(({ req }) => req.avoid.has(id)));
        return {
            service,
            classes: queue.waitersByClass().map(list => ({
                count: list.length,
                oldestWaitMs: list.length === 0 ? 0 : now - list[0]!.enqueuedAt,
                newestWaitMs: list.length === 0 ? 0 : now - list.at(-1)!.enqueuedAt,
            })),
            needMs: Math.max(0, ...waiters.map(({ req }) => req.deadlineAt - now)),
            avoid,
            suspectsOnly: waiters.every(({ req }) => req.suspect),
        };
    };

    const requirementsOf = (req: SlotRequest): SlotRequirements => ({
        avoid: req.avoid,
        isSuspect: req.suspect,
        until: req.deadlineAt,
        requiresHealthy: false,
    });

    const requirementsOfPeer = (want: PeerWant, now: number): SlotRequirements => ({
        avoid: want.avoid,
        isSuspect: want.suspectsOnly,
        until: now,
        accepts: record => lending.canLend(record, want, now),
        requiresHealthy: true,
    });

    const startRequest = (
        pool: ServicePool,
        record: SlotRecord,
        poolServer: PoolServer,
        req: SlotRequest,
    ): Slot => {
        const startedAt = clock.now();
        const isProbe = poolServer.monitor.recordStart();
        table.setUse(record, SlotUse.Running);
        poolServer.running++;
        runningCount++;
        counters.acquired++;
        let isReleased = false;

        const finish = (isServerClosed: boolean) => {
            poolServer.running--;
            runningCount--;
            if (record.loan && (isServerClosed || isClosed || record.loan.expiresAt <= clock.now())) {
                endLoan(record, isServerClosed);
            } else {
                table.setUse(record, SlotUse.Free);
            }
            void abandonWhenIdle();
        };

        return {
            server: poolServer.server,
            release: (result, busySlots) => {
                if (isReleased) {
                    return;
                }
                isReleased = true;
                const now = clock.now();
                if (result === SlotResult.Completed) {
                    pool.recordServiceTime(poolServer, now - startedAt);
                }
                if (busySlots !== undefined) {
                    poolServer.monitor.recordReport(busySlots, now);
                }
                const isServerClosed = poolServer.monitor.recordResult(result, now, isProbe);
                if (isServerClosed) {
                    onServerClosed(pool, poolServer, result);
                }
                if (result === SlotResult.Broken && now < req.deadlineAt) {
                    // The server may still be running the request, so the slot remains in use until the deadline.
                    clock.setTimer(req.deadlineAt - now, () => finish(isServerClosed));
                } else {
                    finish(isServerClosed);
                }
            },
        };
    };

    const endLoan = (record: SlotRecord, isServerClosed: boolean) => {
        // If this entry has become the owner of the slot in the meantime, the record stays in the table.
        lending.returnLoan(record, isServerClosed);
        if (record.isOwn) {
            table.setUse(record, SlotUse.Free);
        }
    };

    const onServerClosed = (pool: ServicePool, { server, monitor }: PoolServer, result: SlotResult) => {
        counters.closures++;
        logger.warn("server-closed", { server: server.id, result });
        scheduleReopening(pool, monitor.reopensAt());
    };

    const scheduleReopening = (pool: ServicePool, at: number) => {
        clock.setTimer(Math.max(0, at - clock.now()) + 1, () => dispatch(pool.service));
    };

    const onFree = (record: SlotRecord) => {
        dispatch(record.service);
        if (record.loan && record.use === SlotUse.Free) {
            const isWanted =
                (pools.get(record.service)?.queue.size() ?? 0) > 0 ||
                peerWants.hasWants(record.service, clock.now());
            if (isWanted || isClosed) {
                // No waiting request can use the rest of the loan, but the owner can use the slot.
                lending.returnLoan(record, false);
                return;
            }
            const { freeSince } = record;
            clock.setTimer(cfg.idleLoanTimeoutMs, () => {
                if (record.loan && record.use === SlotUse.Free && record.freeSince === freeSince) {
                    lending.returnLoan(record, false);
                }
            });
        }
    };

    /** Whether a peer's request takes precedence over the next local one. */
    const isPeerFirst = (pool: ServicePool, head: PeerQueueHead, local: Waiter | undefined) => {
        if (!local) {
            return true;
        }
        const rank = classesByImportance.indexOf(local.req.requestClass);
        if (head.rank !== rank) {
            return head.rank < rank && !pool.queue.isDueByShare(local.req.requestClass);
        }
        return head.since + cfg.localPreferenceMs < local.enqueuedAt;
    };

    const dispatchOne = (pool: ServicePool): boolean => {
        const now = clock.now();
        if (pool.findSlot(anySlot, now) === undefined) {
            return false;
        }
        const canStart = (waiter: Waiter) => pool.findSlot(requirementsOf(waiter.req), now) !== undefined;
        const local = pool.queue.findNext(canStart);
        const head = peerWants.findHead(
            pool.service,
            now,
            want => pool.findSlot(requirementsOfPeer(want, now), now) !== undefined,
        );
        if (head && isPeerFirst(pool, head, local)) {
            lending.lend(pool.findSlot(requirementsOfPeer(head.want, now), now)!.record, head.want);
            peerWants.recordGrant(head);
            pool.queue.recordServed(classesByImportance[head.rank]!);
            return true;
        }
        if (!local) {
            return false;
        }
        startWaiter(pool, local, now);
        return true;
    };

    const startWaiter = (pool: ServicePool, waiter: Waiter, now: number) => {
        if (now > waiter.latestStartAt) {
            // The process was paused, or the timer is late.
            rejectWaiter(pool, waiter, ReasonCode.Overloaded);
            return;
        }
        const { record, server } = pool.findSlot(requirementsOf(waiter.req), now)!;
        pool.queue.dequeue(waiter, now);
        counters.queued++;
        counters.waitedMs += now - waiter.enqueuedAt;
        waiter.resolve(startRequest(pool, record, server, waiter.req));
    };

    const dispatch = (service: string) => {
        const pool = pools.get(service);
        if (!pool || dispatching.has(service)) {
            return;
        }
        detectPause();
        const before = pool.queue.size();
        dispatching.add(service);
        while (dispatchOne(pool)) {
            // Each iteration assigns one slot or rejects one request.
        }
        dispatching.delete(service);
        if (pool.queue.size() !== before) {
            wantSender.scheduleSend();
        }
    };

    const createAdmissionError = (reason: ReasonCode, pool: ServicePool | undefined, message: string) => {
        counters.refused[reason] = (counters.refused[reason] ?? 0) + 1;
        const isPermanent = reason === ReasonCode.DeadlineTooShort || reason === ReasonCode.CallerAborted;
        const seconds = isPermanent ? undefined : suggestRetryAfter(pool);
        return new AdmissionRefusedError(reason, seconds, message);
    };

    /** Estimated seconds until the queue has drained, with jitter so that callers do not all retry at the same time. */
    const suggestRetryAfter = (pool: ServicePool | undefined) => {
        const queueMs = pool
            ? (pool.queue.size() * pool.serviceMs()) / Math.max(1, table.countHeld(pool.service))
            : 0;
        return Math.max(1, Math.round((1 + queueMs / 1000) * (0.5 + 2 * random())));
    };

    const rejectWaiter = (pool: ServicePool, waiter: Waiter, reason: ReasonCode) => {
        if (pool.queue.remove(waiter)) {
            const waitedMs = Math.round(clock.now() - waiter.enqueuedAt);
            waiter.reject(
                createAdmissionError(
                    reason,
                    pool,
                    `service ${pool.service}: no slot became free in ${waitedMs} ms`,
                ),
            );
            wantSender.scheduleSend();
        }
    };

    const estimateWaitMs = (pool: ServicePool, requestClass: RequestClass) => {
        const slots = Math.max(1, table.countHeld(pool.service));
        const queueWaitMs = ((pool.queue.countAhead(requestClass) + 1) * pool.serviceMs()) / slots;
        // Higher-priority requests that arrive later go first, which only the recent service intervals account for.
        return Math.max(queueWaitMs, pool.queue.expectedWaitMs(requestClass));
    };

    /** @throws AdmissionRefusedError if the request cannot be served before its deadline */
    const admit = (pool: ServicePool | undefined, req: SlotRequest): ServicePool => {
        const now = clock.now();
        if (isClosed) {
            throw createAdmissionError(
                ReasonCode.ShuttingDown,
                pool,
                "the entry is stopping; use another one",
            );
        }
        if (req.signal?.aborted) {
            throw createAdmissionError(ReasonCode.CallerAborted, pool, "the caller has gone");
        }
        const candidates =
            pool?.servers.filter(({ server }) => !server.draining && !req.avoid.has(server.id)) ?? [];
        if (
            !pool ||
            !candidates.some(({ monitor }) => monitor.isOpen(now) || monitor.reopensAt() < req.deadlineAt)
        ) {
            throw createAdmissionError(
                ReasonCode.NoBackend,
                pool,
                `service ${req.service} has no backend server to use`,
            );
        }
        const remainingMs = req.deadlineAt - now;
        if (
            remainingMs <= 0 ||
            remainingMs < Math.min(minServiceTimes * pool.serviceMs(), cfg.initialServiceMs)
        ) {
            throw createAdmissionError(
                ReasonCode.DeadlineTooShort,
                pool,
                `${Math.round(remainingMs)} ms are left to the deadline`,
            );
        }
        return pool;
    };

    const admitToQueue = (pool: ServicePool, req: SlotRequest) => {
        const remainingMs = req.deadlineAt - clock.now();
        const waitMs = estimateWaitMs(pool, req.requestClass);
        if (waitMs > cfg.maxWaitShare * remainingMs) {
            const inputs = `${pool.queue.size()} requests wait, ${table.countHeld(pool.service)} slots are held`;
            throw createAdmissionError(
                ReasonCode.Overloaded,
                pool,
                `the estimated wait is ${Math.round(waitMs)} ms: ${inputs}`,
            );
        }
        if (pool.queue.size() >= cfg.maxQueueLength) {
            const evicted = pool.queue.findEvictable(req.requestClass);
            if (!evicted) {
                throw createAdmissionError(
                    ReasonCode.Overloaded,
                    pool,
                    `${cfg.maxQueueLength} requests are waiting already`,
                );
            }
            rejectWaiter(pool, evicted, ReasonCode.Overloaded);
        }
    };

    const enqueue = (pool: ServicePool, req: SlotRequest): Promise<Slot> =>
        new Promise((resolve, reject) => {
            const now = clock.now();
            const remainingMs = req.deadlineAt - now;
            const reserveMs = Math.min(
                reservedServiceTimes * pool.serviceMs(),
                (1 - minQueueTimeShare) * remainingMs,
            );
            const latestStartAt = req.deadlineAt - reserveMs;
            const onAbort = () => rejectWaiter(pool, waiter, ReasonCode.CallerAborted);
            const timer = clock.setTimer(latestStartAt - now, () =>
                rejectWaiter(pool, waiter, ReasonCode.Overloaded),
            );
            const waiter: Waiter = {
                req,
                enqueuedAt: now,
                latestStartAt,
                resolve,
                reject,
                dispose: () => {
                    timer.cancel();
                    req.signal?.removeEventListener("abort", onAbort);
                },
            };
            req.signal?.addEventListener("abort", onAbort, { once: true });
            pool.queue.push(waiter);
            wantSender.scheduleSend();
        });

    /** Detects pauses of the process long enough for peers to have taken over its slots. */
    const detectPause = () => {
        const now = clock.now();
        const gapMs = now - lastTickAt;
        if (gapMs > cfg.takeoverDelayMs + cfg.tickMs) {
            lastTickAt = now;
            counters.pauses++;
            logger.warn("limits-paused", { gapMs: Math.round(gapMs) });
            table.restartClaims();
            wantSender.scheduleSend();
        }
    };

    const tick = () => {
        detectPause();
        lastTickAt = clock.now();
        table.refresh();
        lending.reclaimExpired();
        peerWants.removeUnknownPeers(peer => view.find(peer) !== undefined);
        if (table.claims().length > 0) {
            wantSender.scheduleSend();
        }
        for (const record of [...table.records()]) {
            const mustReturn = isClosed || (record.loan && record.loan.expiresAt <= clock.now());
            if (record.loan && record.use === SlotUse.Free && mustReturn) {
                lending.returnLoan(record, false);
            }
        }
        for (const service of pools.keys()) {
            dispatch(service);
        }
        const isDone = hasAbandoned && [...table.records()].length === 0;
        if (!isDone) {
            clock.setTimer(cfg.tickMs, tick);
        }
    };

    const onServersChanged = () => {
        const servers = options.servers();
        serverById.clear();
        for (const service of new Set([...pools.keys(), ...servers.map(server => server.service)])) {
            const pool = pools.get(service) ?? createServicePool(service, cfg, table, random);
            pools.set(service, pool);
            pool.setServers(servers.filter(server => server.service === service));
            pool.servers.forEach(entry => serverById.set(entry.server.id, { pool, entry }));
        }
        onMembersChanged();
        for (const record of [...table.records()]) {
            const server = serverById.get(record.serverId)?.entry.server;
            if (record.loan && record.use === SlotUse.Free && (!server || server.draining)) {
                lending.returnLoan(record, false);
            }
        }
        pools.forEach(({ service }) => dispatch(service));
    };

    const onMembersChanged = () => {
        detectPause();
        table.refresh();
        if (table.claims().length > 0) {
            wantSender.scheduleSend();
        }
    };

    const abandonWhenIdle = (): Promise<void> | undefined => {
        if (!isClosed || hasAbandoned || runningCount > 0) {
            return undefined;
        }
        hasAbandoned = true;
        return lending.announceAbandoned(table.abandon());
    };

    rpc.addMethod("slots.want", (params, from): WantResponse => {
        detectPause();
        const msg = v.parse(wantSchema, params);
        const answers = msg.claims.map(claim => ({ key: claim.key, answer: table.answerClaim(claim, from) }));
        if (!isClosed && peerWants.update(from, msg, clock.now())) {
            msg.wants.forEach(({ service }) => dispatch(service));
        }
        return { answers };
    });

    rpc.addMethod("slots.grant", (params): GrantResponse => {
        detectPause();
        return { accepted: lending.receiveGrant(v.parse(grantSchema, params)) };
    });

    rpc.addMethod("slots.return", (params, from) => {
        detectPause();
        const msg = v.parse(returnSchema, params);
        for (const id of msg.closedServers) {
            const known = serverById.get(id);
            if (known) {
                known.entry.monitor.close(clock.now());
                scheduleReopening(known.pool, known.entry.monitor.reopensAt());
            }
        }
        lending.receiveReturn(msg.grants);
        msg.handovers.forEach(claim => table.applyHandover(claim, from));
        if (msg.abandoned) {
            table.applyAbandoned(from, msg.abandoned);
        }
        return {};
    });

    const stopListening = view.onChange(onMembersChanged);
    onServersChanged();
    clock.setTimer(cfg.tickMs, tick);

    return {
        acquire: async req => {
            detectPause();
            const pool = admit(pools.get(req.service), req);
            // If a slot is free, no waiting request can use it, so this request does not jump the queue.
            const found = pool.findSlot(requirementsOf(req), clock.now());
            if (found) {
                return startRequest(pool, found.record, found.server, req);
            }
            admitToQueue(pool, req);
            return enqueue(pool, req);
        },
        onServersChanged,
        counters: () => counters,
        state: () => ({
            services: [...pools.values()].map(({ service, queue, ...pool }) => ({
                service,
                serviceMs: pool.serviceMs(),
                waiting: Object.fromEntries(
                    classesByImportance.map((name, rank) => [name, queue.waitersByClass()[rank]!.length]),
                ),
                held: table.countHeld(service),
            })),
            servers: [...serverById.values()].map(({ entry: { server, monitor, running } }) => ({
                id: server.id,
                running,
                draining: server.draining,
                isOpen: monitor.isOpen(clock.now()),
                serviceMs: monitor.serviceMs(),
            })),
            slots: [...table.records()].map(record => ({
                key: record.key,
                use: record.use,
                isOwn: record.isOwn,
                isConfirmed: record.isConfirmed,
                borrowedFrom: record.loan?.owner,
                lentTo: record.lent?.borrower,
            })),
            counters: { ...counters, refused: { ...counters.refused } },
        }),
        close: async () => {
            isClosed = true;
            for (const pool of pools.values()) {
                for (const waiter of pool.queue.waitersByClass().flat()) {
                    rejectWaiter(pool, waiter, ReasonCode.ShuttingDown);
                }
            }
            for (const record of [...table.records()]) {
                if (record.loan && record.use === SlotUse.Free) {
                    lending.returnLoan(record, false);
                }
            }
            wantSender.close();
            stopListening();
            table.abandon();
            await abandonWhenIdle();
        },
    };
}
