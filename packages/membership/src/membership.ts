/**
 * Gossip membership. Each interval an entry exchanges recent rows with the next peer of a shuffled order. A peer that
 * answers neither directly nor through others becomes suspect, and dead when it does not refute in time. The cost for
 * each entry does not grow with the fleet, but for the number of recent changes.
 */
import { MemberStatus } from "@waxwingdale/core";
import type {
    Clock,
    Logger,
    Member,
    MemberView,
    PeerTransport,
    Random,
    RpcRegistry,
} from "@waxwingdale/core";
import { createIsolationDetector } from "./isolation-detector.js";
import { createFailureDetector } from "./failure-detector.js";
import type { GossipExtension } from "./gossip-message.js";
import { createLocalView } from "./local-view.js";
import { createMemberTable } from "./member-table.js";
import { defaultMembershipLimits } from "./membership-limits.js";
import type { MembershipLimits } from "./membership-limits.js";
import { createPauseDetector } from "./pause-detector.js";
import { createPeerOrder } from "./peer-order.js";
import { createPeerDiscovery } from "./peer-discovery.js";
import { createRowBudget } from "./row-budget.js";
import { createRumors } from "./rumors.js";
import { createSuspicions } from "./suspicions.js";
import { createViewExchange } from "./view-exchange.js";

export interface MembershipOptions {
    self: Member;
    transport: PeerTransport;
    rpc: RpcRegistry;
    clock: Clock;
    random: Random;
    logger: Logger;
    limits?: Partial<MembershipLimits>;
    /** Peer addresses to join by, read again while no peer is known and at a low rate later. */
    findSeeds: () => Promise<string[]>;
}

export interface Membership extends MemberView {
    addExtension(name: string, extension: GossipExtension): void;
    setReady(ready: boolean): void;
    /** Marks this entry as leaving and tells a few peers at once. */
    leave(): Promise<void>;
    /** Marks this entry as dead for its peers, as the last step of a planned stop. */
    announceStopped(): Promise<void>;
    /** Gossips until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
    /** Time of the clock of the last successful exchange with any peer, or undefined. */
    lastContactAt(): number | undefined;
    state(): unknown;
}

/** Peers that hear of a planned stop, or of the end of a pause, directly. */
const directPeers = 4;
/** Checks of members at the same time: silent members take longer than an interval and must not hold up the others. */
const maxChecks = 8;

/** Creates the membership of one entry instance. */
export function createMembership(options: MembershipOptions): Membership {
    const { transport, clock, random, logger } = options;
    const limits = { ...defaultMembershipLimits, ...options.limits };
    const table = createMemberTable();
    const rumors = createRumors(table);
    const contact = createIsolationDetector(clock, logger, limits.isolationThreshold);
    const order = createPeerOrder(table, options.self.id, random);
    const budget = createRowBudget(clock, limits.rowsPerSecond, limits.rowBurst);
    const guard = createPauseDetector(clock, limits.pauseThresholdMs, gapMs => resume(gapMs));
    const suspicions = createSuspicions({
        clock,
        guard,
        suspicionMs: limits.suspicionMs,
        isTrusted: () => contact.isTrusted(),
        onExpired: row => view.declareDead(row),
    });
    const view = createLocalView({
        self: options.self,
        table,
        rumors,
        suspicions: () => suspicions,
        clock,
        logger,
        limits,
        onNewMember: id => order.insert(id),
    });
    const parts = { view, table, rumors, budget, contact, order, guard, transport, clock, random };
    const exchange = createViewExchange({ ...parts, logger, limits });
    const detector = createFailureDetector({ ...parts, exchange, logger, limits });
    const reunion = createPeerDiscovery({
        self: () => view.self(),
        table,
        exchange,
        findSeeds: options.findSeeds,
        clock,
        random,
        logger,
        limits,
    });
    const running = new Set<Promise<unknown>>();

    const start = (task: Promise<unknown>) => {
        running.add(task);
        void task.finally(() => running.delete(task));
    };

    const tellSome = async () => {
        const peers = order.sample(directPeers);
        await Promise.allSettled(peers.map(peer => exchange.exchange(peer.peerAddress)));
    };

    /** Others may have declared this entry dead in the pause; what it holds against them is out of date. */
    const resume = (gapMs: number) => {
        logger.warn("process-paused", { gapMs: Math.round(gapMs) });
        contact.requireContact();
        suspicions.restartAll();
        if (view.self().status !== MemberStatus.Dead) {
            view.changeSelf({});
            start(tellSome());
        }
    };

    const gossip = () => {
        const peer = order.next();
        if (peer !== undefined && running.size < maxChecks) {
            start(detector.check(peer));
        }
        if (running.size < maxChecks) {
            start(reunion.reconnect());
        }
        view.forgetOld();
    };

    const joinOnce = async (failures: number, signal: AbortSignal): Promise<number> => {
        if (await reunion.join()) {
            return 0;
        }
        await clock.sleep(reunion.joinBackoffMs(failures), signal);
        return failures + 1;
    };

    const runRounds = async (signal: AbortSignal) => {
        let joinFailures = 0;
        while (!signal.aborted) {
            if (view.self().status !== MemberStatus.Dead) {
                if (order.sample(1).length === 0) {
                    joinFailures = await joinOnce(joinFailures, signal);
                }
                gossip();
            }
            await clock.sleep(limits.gossipIntervalMs * (0.8 + 0.4 * random()), signal);
        }
    };

    const { rpc } = options;
    const guarded =
        <Result>(handle: (params: unknown) => Result) =>
        (params: unknown) => {
            guard.check();
            return handle(params);
        };
    rpc.addMethod(
        "gossip.exchange",
        guarded(params => exchange.handleExchange(params)),
    );
    rpc.addMethod(
        "gossip.sync",
        guarded(params => exchange.handleSync(params)),
    );
    rpc.addMethod(
        "gossip.probe",
        guarded(params => detector.handleProbe(params)),
    );

    return {
        self: () => view.self(),
        members: () => table.all(),
        liveInRegion: region => table.servingInRegion(region),
        find: id => table.find(id),
        onChange: listener => view.onChange(listener),
        addExtension: (name, extension) => exchange.addExtension(name, extension),
        setReady: ready => {
            if (view.self().ready !== ready) {
                view.changeSelf({ ready });
            }
        },
        leave: async () => {
            view.changeSelf({ status: MemberStatus.Leaving });
            await tellSome();
        },
        announceStopped: async () => {
            view.changeSelf({ status: MemberStatus.Dead });
            await tellSome();
        },
        run: async signal => {
            guard.start();
            try {
                await runRounds(signal);
                await Promise.allSettled(running);
            } finally {
                guard.stop();
                suspicions.cancelAll();
            }
        },
        lastContactAt: () => contact.lastContactAt(),
        state: () => ({
            self: view.self(),
            members: table.all(),
            pendingRows: rumors.size(),
            lastContactAt: contact.lastContactAt(),
            isTrusted: contact.isTrusted(),
        }),
    };
}
