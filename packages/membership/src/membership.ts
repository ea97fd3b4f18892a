/**
 * Gossip membership. In each interval, a member exchanges recently changed rows with the next peer in a shuffled
 * order. A peer that responds neither directly nor through others becomes suspect, and then dead if it does not refute
 * in time. The cost per member grows with the number of recent changes, but not with the size of the fleet.
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
import { createIsolationResolver } from "./isolation-resolver.js";
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
import type { Witness } from "./witness.js";

export interface MembershipOptions {
    self: Member;
    transport: PeerTransport;
    rpc: RpcRegistry;
    clock: Clock;
    random: Random;
    logger: Logger;
    limits?: Partial<MembershipLimits>;
    /** Returns peer addresses for joining. Called repeatedly while no peer is known, and rarely afterwards. */
    findSeeds: () => Promise<string[]>;
    /**
     * Returns addresses of members that may not be among the seeds. Called while no seed responds and no peer is known.
     * @default none
     */
    findPeers?: () => Promise<string[]>;
    /**
     * Tells whether this member is cut off or all others are gone, once none of them responds.
     * @default none: a member that several others do not respond to declares nobody dead until a contact
     */
    witness?: Witness;
}

export interface Membership extends MemberView {
    addExtension(name: string, extension: GossipExtension): void;
    setReady(ready: boolean): void;
    /** Marks this member as leaving and notifies a few peers immediately. */
    leave(): Promise<void>;
    /** Marks this member as dead and notifies a few peers, as the last step of a graceful shutdown. */
    announceStopped(): Promise<void>;
    /** Gossips until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
    /** Clock time of the last contact with any peer, or undefined if there was none. */
    lastContactAt(): number | undefined;
    /** Whether this member knows its peers, or has found that there are none. */
    hasJoined(): boolean;
    /** Whether a witness has found that all others are gone, and none has been in contact since. */
    isAlone(): boolean;
    state(): unknown;
}

/** Number of peers that are notified directly of a graceful shutdown or the end of a pause. */
const notifiedPeerCount = 4;
/** Limit for concurrent checks. Unresponsive members take longer than an interval and must not delay the others. */
const maxConcurrentChecks = 8;

export function createMembership(options: MembershipOptions): Membership {
    const { transport, clock, random, logger } = options;
    const limits = { ...defaultMembershipLimits, ...options.limits };
    const table = createMemberTable();
    const rumors = createRumors(table);
    const { witness } = options;
    const isolationDetector = createIsolationDetector({
        clock,
        logger,
        // A witness is asked as soon as there is no contact.
        threshold: witness === undefined ? limits.isolationThreshold : 1,
        needsEvidence: witness !== undefined,
        onReconnected: silentMs => {
            if (silentMs > limits.suspicionMs) {
                suspicions.restartAll();
                witness?.withdrawReports();
            }
        },
    });
    const order = createPeerOrder(table, options.self.id, random);
    const budget = createRowBudget(clock, limits.rowsPerSecond, limits.rowBurst);
    const pauseDetector = createPauseDetector(clock, limits.pauseThresholdMs, gapMs => resume(gapMs));
    const suspicions = createSuspicions({
        clock,
        pauseDetector,
        suspicionMs: limits.suspicionMs,
        mayDeclareDead: suspectedAt => isolationDetector.mayDeclareDead(suspectedAt),
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
    const components = {
        view,
        table,
        rumors,
        budget,
        isolationDetector,
        order,
        pauseDetector,
        transport,
        clock,
        random,
    };
    const exchange = createViewExchange({ ...components, logger, limits });
    const detector = createFailureDetector({
        ...components,
        exchange,
        logger,
        limits,
        countsRefusals: witness !== undefined,
        onProbed: outcome => resolver.recordCheck(outcome),
        onMissing: member => witness?.reportMissing([member]),
    });
    const resolver = createIsolationResolver({ ...components, detector, witness, logger });
    const peerDiscovery = createPeerDiscovery({
        self: () => view.self(),
        table,
        exchange,
        findSeeds: options.findSeeds,
        findPeers: options.findPeers,
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

    const notifyPeers = async () => {
        const peers = order.sample(notifiedPeerCount);
        await Promise.allSettled(peers.map(peer => exchange.exchange(peer.peerAddress)));
    };

    /** Others may have declared this member dead during the pause, and its own suspicions are out of date. */
    const resume = (gapMs: number) => {
        logger.warn("process-paused", { gapMs: Math.round(gapMs) });
        isolationDetector.requireContact();
        suspicions.restartAll();
        if (view.self().status !== MemberStatus.Dead) {
            view.renew();
            start(notifyPeers());
        }
    };

    const gossip = () => {
        const peer = order.next();
        if (peer !== undefined && running.size < maxConcurrentChecks) {
            start(detector.check(peer));
        }
        if (running.size < maxConcurrentChecks) {
            start(peerDiscovery.reconnect());
        }
        view.removeExpired();
    };

    const joinOnce = async (failures: number, signal: AbortSignal): Promise<number> => {
        if (await peerDiscovery.join()) {
            return 0;
        }
        await clock.sleep(peerDiscovery.joinBackoffMs(failures), signal);
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
    const withPauseCheck =
        <Result>(handle: (params: unknown) => Result) =>
        (params: unknown) => {
            pauseDetector.check();
            return handle(params);
        };
    rpc.addMethod(
        "gossip.exchange",
        withPauseCheck(params => exchange.handleExchange(params)),
    );
    rpc.addMethod(
        "gossip.sync",
        withPauseCheck(params => exchange.handleSync(params)),
    );
    rpc.addMethod(
        "gossip.probe",
        withPauseCheck(params => detector.handleProbe(params)),
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
                view.updateSelf({ ready });
            }
        },
        leave: async () => {
            view.updateSelf({ status: MemberStatus.Leaving });
            await notifyPeers();
        },
        announceStopped: async () => {
            view.updateSelf({ status: MemberStatus.Dead });
            await notifyPeers();
        },
        run: async signal => {
            pauseDetector.start();
            try {
                await runRounds(signal);
                await Promise.allSettled(running);
            } finally {
                pauseDetector.stop();
                resolver.stop();
                suspicions.cancelAll();
            }
        },
        lastContactAt: () => isolationDetector.lastContactAt(),
        hasJoined: () => isolationDetector.lastContactAt() !== undefined || peerDiscovery.hasFoundNobody(),
        isAlone: () => isolationDetector.isAlone(),
        state: () => ({
            self: view.self(),
            members: table.all(),
            pendingRows: rumors.size(),
            lastContactAt: isolationDetector.lastContactAt(),
            isTrusted: isolationDetector.isTrusted(),
        }),
    };
}
