/** Shares the slots of a region's backend servers between the region's entries. */
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
    /** Current backend servers of the own region, draining ones included. */
    servers: () => readonly BackendServer[];
    clock: Clock;
    random: Random;
    logger: Logger;
    /** @default defaultLimitsConfig */
    cfg?: Partial<LimitsConfig>;
}

/** What the limiter of an entry knows, for the state dump. */
export interface SlotBrokerState {
    services: {
        service: string;
        serviceMs: number;
        waiting: Record<string, number>;
        /** Slots owned or borrowed, and not lent. */
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
    /** To be called after each change of the list of servers. */
    onServersChanged(): void;
    state(): SlotBrokerState;
    counters(): Readonly<BrokerCounters>;
    /** Refuses new requests, gives all slots to peers and resolves when they know. */
    close(): Promise<void>;
}

const anySlot: SlotRequirements = {
    avoid: new Set(),
    isSuspect: false,
    until: -Infinity,
    requiresHealthy: false,
};
/** A request is refused when less than this many service times are left to its deadline. */
const minServiceTimes = 2;
/**
 * Service times that a waiting request keeps for its run. With exponential service times, 1 request in 160,000 takes
 * longer than 12 times the mean; with 2 times, 1 in 8 started last would end as unknown at its deadline.
 */
const reservedServiceTimes = 12;
/** A request waits at most for this part of its time, if service times are long in comparison with it. */
const maxQueueTimeShare = 0.75;

export function createSlotBroker(options: SlotBrokerOptions): SlotBroker {
    const { view, transport, rpc, clock, random, logger } = options;
    const cfg: LimitsConfig = { ...defaultLimitsConfig, ...options.cfg };
    const counters = createBrokerCounters();
    const run = hash64Hex(`${view.self().id} ${view.self().incarnation} ${clock.wallTime()} ${random()}`);
    const pools = new Map<string, ServicePool>();
    const serverById = new Map<string, { pool: ServicePool; entry: PoolServer }>();
    const board = createPeerWants(4 * cfg.wantResendMs);
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

    const sender = createWantSender({
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
        wantSentAt: seq => sender.sentAt(seq),
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

    const needOf = (req: SlotRequest): SlotRequirements => ({
        avoid: req.avoid,
        isSuspect: req.suspect,
        until: req.deadlineAt,
        requiresHealthy: false,
    });

    const needOfPeer = (want: PeerWant, now: number): SlotRequirements => ({
        avoid: want.avoid,
        isSuspect: want.suspectsOnly,
        until: now,
        accepts: record => lending.canLend(record, want, now),
        requiresHealthy: true,
    });

    const start = (pool: ServicePool, record: SlotRecord, entry: PoolServer, req: SlotRequest): Slot => {
        const startedAt = clock.now();
        const isProbe = entry.monitor.recordStart();
        table.setUse(record, SlotUse.Running);
        entry.running++;
        runningCount++;
        counters.acquired++;
        let isReleased = false;

        const finish = (isServerClosed: boolean) => {
            entry.running--;
            runningCount--;
            if (record.loan && (isServerClosed || isClosed || record.loan.expiresAt <= clock.now())) {
                endLoan(record, isServerClosed);
            } else {
                table.setUse(record, SlotUse.Free);
            }
            void abandonWhenIdle();
        };

        return {
            server: entry.server,
            release: (result, busySlots) => {
                if (isReleased) {
                    return;
                }
                isReleased = true;
                const now = clock.now();
                if (result === SlotResult.Completed) {
                    pool.recordServiceTime(entry, now - startedAt);
                }
                if (busySlots !== undefined) {
                    entry.monitor.recordReport(busySlots, now);
                }
                const isServerClosed = entry.monitor.recordResult(result, now, isProbe);
                if (isServerClosed) {
                    onServerClosed(pool, entry, result);
                }
                if (result === SlotResult.Broken && now < req.deadlineAt) {
                    // The server may still run the request, so the slot counts as used until the deadline.
                    clock.setTimer(req.deadlineAt - now, () => finish(isServerClosed));
                } else {
                    finish(isServerClosed);
                }
            },
        };
    };

    const endLoan = (record: SlotRecord, isServerClosed: boolean) => {
        // A slot that has become its own in the meantime stays in the table.
        lending.returnLoan(record, isServerClosed);
        if (record.isOwn) {
            table.setUse(record, SlotUse.Free);
        }
    };

    const onServerClosed = (pool: ServicePool, { server, monitor: gate }: PoolServer, result: SlotResult) => {
        counters.closures++;
        logger.warn("server-closed", { server: server.id, result });
        scheduleReopening(pool, gate.reopensAt());
    };

    const scheduleReopening = (pool: ServicePool, at: number) => {
        clock.setTimer(Math.max(0, at - clock.now()) + 1, () => dispatch(pool.service));
    };

    const onFree = (record: SlotRecord) => {
        dispatch(record.service);
        if (record.loan && record.use === SlotUse.Free) {
            const isWanted =
                (pools.get(record.service)?.queue.size() ?? 0) > 0 ||
                board.hasWants(record.service, clock.now());
            if (isWanted || isClosed) {
                // Nobody who waits can use the rest of the loan, but the owner can.
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

    /** Whether a peer's request goes before the next one of this entry. */
    const isRemoteFirst = (pool: ServicePool, head: PeerQueueHead, local: Waiter | undefined) => {
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
        const canStart = (waiter: Waiter) => pool.findSlot(needOf(waiter.req), now) !== undefined;
        const local = pool.queue.findNext(canStart);
        const head = board.findHead(
            pool.service,
            now,
            want => pool.findSlot(needOfPeer(want, now), now) !== undefined,
        );
        if (head && isRemoteFirst(pool, head, local)) {
            lending.lend(pool.findSlot(needOfPeer(head.want, now), now)!.record, head.want);
            board.recordGrant(head);
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
            // The process was paused, or its timers are late.
            refuseWaiter(pool, waiter, ReasonCode.Overloaded);
            return;
        }
        const { record, server } = pool.findSlot(needOf(waiter.req), now)!;
        pool.queue.dequeue(waiter, now);
        counters.queued++;
        counters.waitedMs += now - waiter.enqueuedAt;
        waiter.resolve(start(pool, record, server, waiter.req));
    };

    const dispatch = (service: string) => {
        const pool = pools.get(service);
        if (!pool || dispatching.has(service)) {
            return;
        }
        checkPause();
        const before = pool.queue.size();
        dispatching.add(service);
        while (dispatchOne(pool)) {
            // Each round gives away one slot or refuses one request.
        }
        dispatching.delete(service);
        if (pool.queue.size() !== before) {
            sender.scheduleSend();
        }
    };

    const refuse = (reason: ReasonCode, pool: ServicePool | undefined, message: string) => {
        counters.refused[reason] = (counters.refused[reason] ?? 0) + 1;
        const isPermanent = reason === ReasonCode.DeadlineTooShort || reason === ReasonCode.CallerAborted;
        const seconds = isPermanent ? undefined : suggestRetryAfter(pool);
        return new AdmissionRefusedError(reason, seconds, message);
    };

    /** Whole seconds until the queue has gone down, with jitter so that the callers do not return together. */
    const suggestRetryAfter = (pool: ServicePool | undefined) => {
        const queueMs = pool
            ? (pool.queue.size() * pool.serviceMs()) / Math.max(1, table.countHeld(pool.service))
            : 0;
        return Math.max(1, Math.round((1 + queueMs / 1000) * (0.5 + 2 * random())));
    };

    const refuseWaiter = (pool: ServicePool, waiter: Waiter, reason: ReasonCode) => {
        if (pool.queue.remove(waiter)) {
            const waitedMs = Math.round(clock.now() - waiter.enqueuedAt);
            waiter.reject(
                refuse(reason, pool, `service ${pool.service}: no slot became free in ${waitedMs} ms`),
            );
            sender.scheduleSend();
        }
    };

    const estimateWaitMs = (pool: ServicePool, requestClass: RequestClass) => {
        const slots = Math.max(1, table.countHeld(pool.service));
        const inOrder = ((pool.queue.countAhead(requestClass) + 1) * pool.serviceMs()) / slots;
        // Later requests of higher classes go first, which only the recent service of the class shows.
        return Math.max(inOrder, pool.queue.expectedWaitMs(requestClass));
    };

    /** Throws if the request cannot be served in time, or makes room for it. */
    const admit = (pool: ServicePool | undefined, req: SlotRequest): ServicePool => {
        const now = clock.now();
        if (isClosed) {
            throw refuse(ReasonCode.ShuttingDown, pool, "the entry is stopping; use another one");
        }
        if (req.signal?.aborted) {
            throw refuse(ReasonCode.CallerAborted, pool, "the caller has gone");
        }
        const open =
            pool?.servers.filter(({ server }) => !server.draining && !req.avoid.has(server.id)) ?? [];
        if (
            !pool ||
            !open.some(({ monitor: gate }) => gate.isOpen(now) || gate.reopensAt() < req.deadlineAt)
        ) {
            throw refuse(ReasonCode.NoBackend, pool, `service ${req.service} has no backend server to use`);
        }
        const leftMs = req.deadlineAt - now;
        if (leftMs <= 0 || leftMs < Math.min(minServiceTimes * pool.serviceMs(), cfg.initialServiceMs)) {
            throw refuse(
                ReasonCode.DeadlineTooShort,
                pool,
                `${Math.round(leftMs)} ms are left to the deadline`,
            );
        }
        return pool;
    };

    const admitToQueue = (pool: ServicePool, req: SlotRequest) => {
        const leftMs = req.deadlineAt - clock.now();
        const waitMs = estimateWaitMs(pool, req.requestClass);
        if (waitMs > cfg.maxWaitShare * leftMs) {
            const inputs = `${pool.queue.size()} requests wait, ${table.countHeld(pool.service)} slots are held`;
            throw refuse(
                ReasonCode.Overloaded,
                pool,
                `the estimated wait is ${Math.round(waitMs)} ms: ${inputs}`,
            );
        }
        if (pool.queue.size() >= cfg.maxQueueLength) {
            const victim = pool.queue.findEvictable(req.requestClass);
            if (!victim) {
                throw refuse(
                    ReasonCode.Overloaded,
                    pool,
                    `${cfg.maxQueueLength} requests are waiting already`,
                );
            }
            refuseWaiter(pool, victim, ReasonCode.Overloaded);
        }
    };

    const enqueue = (pool: ServicePool, req: SlotRequest): Promise<Slot> =>
        new Promise((resolve, reject) => {
            const now = clock.now();
            const leftMs = req.deadlineAt - now;
            const reserveMs = Math.min(
                reservedServiceTimes * pool.serviceMs(),
                (1 - maxQueueTimeShare) * leftMs,
            );
            const latestStartAt = req.deadlineAt - reserveMs;
            const onAbort = () => refuseWaiter(pool, waiter, ReasonCode.CallerAborted);
            const timer = clock.setTimer(latestStartAt - now, () =>
                refuseWaiter(pool, waiter, ReasonCode.Overloaded),
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
            sender.scheduleSend();
        });

    /** Notices that the process stood still for so long that peers may have taken its slots over. */
    const checkPause = () => {
        const now = clock.now();
        const gapMs = now - lastTickAt;
        if (gapMs > cfg.takeoverDelayMs + cfg.tickMs) {
            lastTickAt = now;
            counters.pauses++;
            logger.warn("limits-paused", { gapMs: Math.round(gapMs) });
            table.restartClaims();
            sender.scheduleSend();
        }
    };

    const tick = () => {
        checkPause();
        lastTickAt = clock.now();
        table.refresh();
        lending.reclaimExpired();
        board.removeUnknownPeers(peer => view.find(peer) !== undefined);
        if (table.claims().length > 0) {
            sender.scheduleSend();
        }
        for (const record of [...table.records()]) {
            const isUseless = isClosed || (record.loan && record.loan.expiresAt <= clock.now());
            if (record.loan && record.use === SlotUse.Free && isUseless) {
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
        checkPause();
        table.refresh();
        if (table.claims().length > 0) {
            sender.scheduleSend();
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
        checkPause();
        const msg = v.parse(wantSchema, params);
        const answers = msg.claims.map(claim => ({ key: claim.key, answer: table.answerClaim(claim, from) }));
        if (!isClosed && board.update(from, msg, clock.now())) {
            msg.wants.forEach(({ service }) => dispatch(service));
        }
        return { answers };
    });

    rpc.addMethod("slots.grant", (params): GrantResponse => {
        checkPause();
        return { accepted: lending.receiveGrant(v.parse(grantSchema, params)) };
    });

    rpc.addMethod("slots.return", (params, from) => {
        checkPause();
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
            checkPause();
            const pool = admit(pools.get(req.service), req);
            // A free slot means that no request that could use it is waiting.
            const found = pool.findSlot(needOf(req), clock.now());
            if (found) {
                return start(pool, found.record, found.server, req);
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
            servers: [...serverById.values()].map(({ entry: { server, monitor: gate, running } }) => ({
                id: server.id,
                running,
                draining: server.draining,
                isOpen: gate.isOpen(clock.now()),
                serviceMs: gate.serviceMs(),
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
                    refuseWaiter(pool, waiter, ReasonCode.ShuttingDown);
                }
            }
            for (const record of [...table.records()]) {
                if (record.loan && record.use === SlotUse.Free) {
                    lending.returnLoan(record, false);
                }
            }
            sender.close();
            stopListening();
            table.abandon();
            await abandonWhenIdle();
        },
    };
}
