/**
 * Gossip membership. Each interval an entry exchanges recent rows with the next peer of a shuffled order. A peer that
 * answers neither directly nor through others becomes suspect, and dead when it does not refute in time. The cost for
 * each entry does not grow with the fleet, but for the number of recent changes.
 */
import { MemberStatus, PeerUnreachableError, getErrorMessage } from "@waxwingdale/core";
import type {
    Clock,
    Logger,
    Member,
    MemberView,
    PeerTransport,
    Random,
    RpcRegistry,
    Timer,
} from "@waxwingdale/core";
import { isMember } from "./gossip-message.js";
import type { GossipExtension, GossipMessage, ProbeMessage, ProbeResult } from "./gossip-message.js";
import { createMemberTable, isNewer, isServing } from "./member-table.js";

export interface MembershipLimits {
    /** @default 500 */
    intervalMs: number;
    /** @default 800 */
    callTimeoutMs: number;
    /**
     * Time in milliseconds that a suspect has to refute.
     * @default 3000
     */
    suspicionMs: number;
    /**
     * Suspicion time in milliseconds when the peer's address refused the connection: its process is gone.
     * @default 1000
     */
    refusedSuspicionMs: number;
    /**
     * Time in milliseconds that the row of a dead member is kept, so that old gossip cannot bring it back.
     * @default 120000
     */
    deadRetentionMs: number;
    /** @default 2 */
    indirectProbes: number;
}

export const defaultMembershipLimits: MembershipLimits = {
    intervalMs: 500,
    callTimeoutMs: 800,
    suspicionMs: 3000,
    refusedSuspicionMs: 1000,
    deadRetentionMs: 120_000,
    indirectProbes: 2,
};

export interface MembershipOptions {
    self: Member;
    transport: PeerTransport;
    rpc: RpcRegistry;
    clock: Clock;
    random: Random;
    logger: Logger;
    limits?: Partial<MembershipLimits>;
    /** Peer addresses to join by, read again while no peer is known. */
    findSeeds: () => Promise<string[]>;
}

export interface Membership extends MemberView {
    addExtension(name: string, extension: GossipExtension): void;
    setReady(ready: boolean): void;
    /** Marks this entry as leaving and tells a few peers at once. */
    leave(): Promise<void>;
    /** Marks this entry as dead for its peers, as the last step of a planned stop. */
    stopServing(): Promise<void>;
    /** Gossips until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
    /** Time of the clock of the last successful exchange with any peer, or undefined. */
    lastContactAt(): number | undefined;
    state(): unknown;
}

/** Exchanges that carry a changed row: a multiple of the rounds that an epidemic needs to reach all members. */
const retransmitFactor = 3;
/** Peers that hear of a planned stop directly. */
const farewellPeers = 4;

/** Creates the membership of one entry instance. */
export function createMembership(options: MembershipOptions): Membership {
    const { transport, clock, random, logger } = options;
    const limits = { ...defaultMembershipLimits, ...options.limits };
    const table = createMemberTable();
    const pending = new Map<string, number>();
    const suspicions = new Map<string, Timer>();
    const extensions = new Map<string, GossipExtension>();
    const listeners = new Set<() => void>();
    let self: Member = { ...options.self };
    let order: string[] = [];
    let lastContact: number | undefined;

    const retransmits = () => retransmitFactor * Math.ceil(Math.log2(table.all().length + 1));

    const apply = (member: Member) => {
        table.set(member);
        pending.set(member.id, retransmits());
        for (const listener of listeners) {
            listener();
        }
    };

    const setSelf = (change: Partial<Member>) => {
        self = { ...self, ...change };
        apply(self);
    };

    const refute = (row: Member) => {
        const keepsStatus = row.incarnation < self.incarnation;
        if (keepsStatus || (row.incarnation === self.incarnation && row.status === self.status)) {
            return;
        }
        logger.warn("membership-refuted", { status: row.status, incarnation: row.incarnation });
        setSelf({ incarnation: row.incarnation + 1 });
    };

    const mergeRow = (row: Member) => {
        if (row.id === self.id) {
            refute(row);
            return;
        }
        const current = table.find(row.id);
        if (!isNewer(row, current)) {
            return;
        }
        apply(row);
        if (current?.status !== row.status) {
            logger.info("member-status", {
                member: row.id,
                status: row.status,
                incarnation: row.incarnation,
            });
        }
        watchSuspicion(row, limits.suspicionMs);
    };

    const watchSuspicion = (row: Member, waitMs: number) => {
        suspicions.get(row.id)?.cancel();
        suspicions.delete(row.id);
        if (row.status === MemberStatus.Suspect) {
            suspicions.set(
                row.id,
                clock.setTimer(waitMs, () => declareDead(row)),
            );
        } else if (row.status === MemberStatus.Dead) {
            suspicions.set(
                row.id,
                clock.setTimer(limits.deadRetentionMs, () => forget(row)),
            );
        }
    };

    const declareDead = (row: Member) => {
        const current = table.find(row.id);
        if (current?.incarnation === row.incarnation && current.status === MemberStatus.Suspect) {
            mergeRow({ ...current, status: MemberStatus.Dead });
        }
    };

    const forget = (row: Member) => {
        if (table.find(row.id)?.status === MemberStatus.Dead) {
            table.remove(row.id);
            pending.delete(row.id);
        }
    };

    const suspect = (member: Member, waitMs: number) => {
        const current = table.find(member.id);
        if (current?.incarnation !== member.incarnation || current.status !== MemberStatus.Live) {
            return;
        }
        mergeRow({ ...current, status: MemberStatus.Suspect });
        watchSuspicion({ ...current, status: MemberStatus.Suspect }, waitMs);
    };

    const takePendingRows = (): Member[] => {
        const rows: Member[] = [];
        for (const [id, left] of pending) {
            const row = table.find(id);
            if (row !== undefined) {
                rows.push(row);
            }
            if (left <= 1) {
                pending.delete(id);
            } else {
                pending.set(id, left - 1);
            }
        }
        return rows;
    };

    const createMessage = (rows: Member[], wantAll: boolean): GossipMessage => ({
        from: self,
        rows,
        viewHash: table.viewHash(),
        wantAll,
        digests: Object.fromEntries([...extensions].map(([name, extension]) => [name, extension.digest()])),
    });

    const mergeMessage = (message: GossipMessage) => {
        lastContact = clock.now();
        mergeContact(message.from);
        message.rows.filter(isMember).forEach(mergeRow);
        for (const [name, digest] of Object.entries(message.digests)) {
            extensions.get(name)?.merge(digest, message.from.peerAddress);
        }
    };

    /** A member that speaks is not suspect, but only a greater incarnation clears the row at the other entries. */
    const mergeContact = (from: Member) => {
        if (!isMember(from)) {
            return;
        }
        const known = table.find(from.id);
        if (known?.incarnation === from.incarnation && known.ready !== from.ready) {
            table.set({ ...known, ready: from.ready });
        }
        mergeRow(from);
    };

    const exchange = async (peerAddress: string): Promise<void> => {
        const sent = createMessage(takePendingRows(), false);
        const reply = await call(peerAddress, sent);
        mergeMessage(reply);
        if (reply.viewHash !== table.viewHash()) {
            mergeMessage(await call(peerAddress, createMessage([...table.all()], true)));
        }
    };

    const call = (peerAddress: string, message: GossipMessage) =>
        transport.call<GossipMessage>(peerAddress, "gossip.exchange", message, limits.callTimeoutMs);

    const probe = async (member: Member): Promise<boolean> => {
        const helpers = shuffle(others().filter(other => other.id !== member.id)).slice(
            0,
            limits.indirectProbes,
        );
        const params: ProbeMessage = { peerAddress: member.peerAddress };
        const results = await Promise.all(
            helpers.map(async helper => {
                try {
                    const timeoutMs = 2 * limits.callTimeoutMs;
                    const result = await transport.call<ProbeResult>(
                        helper.peerAddress,
                        "gossip.probe",
                        params,
                        timeoutMs,
                    );
                    return result.reachable;
                } catch {
                    return false;
                }
            }),
        );
        return results.includes(true);
    };

    const others = () => table.all().filter(member => member.id !== self.id && isServing(member));

    const shuffle = <T>(items: T[]): T[] => {
        for (let i = items.length - 1; i > 0; i--) {
            const j = Math.floor(random() * (i + 1));
            [items[i], items[j]] = [items[j]!, items[i]!];
        }
        return items;
    };

    const nextPeer = (): Member | undefined => {
        for (;;) {
            const id = order.pop();
            if (id === undefined) {
                order = shuffle(others().map(member => member.id));
                return order.length === 0 ? undefined : table.find(order.pop()!);
            }
            const member = table.find(id);
            if (member !== undefined && isServing(member)) {
                return member;
            }
        }
    };

    const gossipWith = async (member: Member) => {
        try {
            await exchange(member.peerAddress);
        } catch (err) {
            logger.debug("gossip-failed", { peer: member.id, error: getErrorMessage(err) });
            if (!(await probe(member))) {
                const refused = err instanceof PeerUnreachableError;
                suspect(member, refused ? limits.refusedSuspicionMs : limits.suspicionMs);
            }
        }
    };

    const join = async () => {
        try {
            const seeds = (await options.findSeeds()).filter(address => address !== self.peerAddress);
            await Promise.any(shuffle(seeds).slice(0, 3).map(exchange));
        } catch (err) {
            logger.debug("join-failed", { error: getErrorMessage(err) });
        }
    };

    const tellSome = async () => {
        const peers = shuffle(others()).slice(0, farewellPeers);
        await Promise.allSettled(peers.map(peer => exchange(peer.peerAddress)));
    };

    options.rpc.addMethod("gossip.exchange", params => {
        const message = params as GossipMessage;
        mergeMessage(message);
        const differs = message.wantAll || message.viewHash !== table.viewHash();
        return createMessage(differs ? [...table.all()] : takePendingRows(), false);
    });

    options.rpc.addMethod("gossip.probe", async (params): Promise<ProbeResult> => {
        try {
            await exchange((params as ProbeMessage).peerAddress);
            return { reachable: true };
        } catch {
            return { reachable: false };
        }
    });

    apply(self);

    return {
        self: () => self,
        members: () => table.all(),
        liveInRegion: region => table.servingInRegion(region),
        find: id => table.find(id),
        onChange: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        addExtension: (name, extension) => void extensions.set(name, extension),
        setReady: ready => {
            if (self.ready !== ready) {
                setSelf({ ready, incarnation: self.incarnation + 1 });
            }
        },
        leave: async () => {
            setSelf({ status: MemberStatus.Leaving });
            await tellSome();
        },
        stopServing: async () => {
            setSelf({ status: MemberStatus.Dead });
            await tellSome();
        },
        run: async signal => {
            while (!signal.aborted) {
                const peer = nextPeer();
                await (peer === undefined ? join() : gossipWith(peer));
                await clock.sleep(limits.intervalMs * (0.8 + 0.4 * random()), signal);
            }
        },
        lastContactAt: () => lastContact,
        state: () => ({ self, members: table.all(), pendingRows: pending.size, lastContactAt: lastContact }),
    };
}
