/**
 * Passes load reports of servers between the active instances of a region, where servers state their work time. A server
 * answers any one instance only every second or two, but the instances of the region together several times a second.
 */
import type { BackendState, BackendTable } from "@waxwingdale/balancing";
import { getErrorMessage, rankOwners } from "@waxwingdale/core";
import type { Clock, Logger, Member, PeerTransport, RpcRegistry } from "@waxwingdale/core";
import * as v from "valibot";
import { createRotation } from "./rotation.js";

export interface LoadReportExchange {
    /** Sends the reports that are new since the last call to other active instances; called at `loadReportIntervalMs`. */
    send(): void;
    /** Returns the number of peers, and of messages and reports since the start. */
    describe(): Record<string, number>;
}

export interface LoadReportExchangeOptions {
    table: BackendTable;
    selfId: string;
    /** Ids of the active instances of the local region; a new array whenever they change. */
    activeInRegion: () => readonly string[];
    members: () => readonly Member[];
    transport: PeerTransport;
    rpc: RpcRegistry;
    clock: Clock;
    logger: Logger;
}

/** Interval in milliseconds at which an instance sends reports: about half the time for which a load lasts. */
export const loadReportIntervalMs = 250;
/** Peers that get a message at each interval. Where there are more, reports are passed on by those that get them. */
const maxPeers = 3;
/** Reports in a message, the newest ones, which bounds its bytes. */
const maxReports = 40;
/** Age in milliseconds beyond which a report says nothing of the load any more. */
const maxAgeMs = 2000;
/** Instances that pass a report on, one after the other; enough for the active instances of a region of 300. */
const maxHops = 6;
/** Time in milliseconds added for the way of a message. Without it, a report that comes back would count as a newer one. */
const transitMs = 5;
/** Time in milliseconds between two calls of `send` from which the process was paused. */
const maxGapMs = 1000;
/** Time in milliseconds after a pause in which messages and responses arrive that are as old as the pause. */
const settleMs = 250;
const callTimeoutMs = 500;
const reportMethod = "load.report";

const nonNegativeNumber = v.pipe(v.number(), v.finite(), v.minValue(0));
/** A report as a tuple, which takes a third of the bytes of an object. The age is relative, as clocks have no common zero. */
const reportSchema = v.strictTuple([
    v.string(), // server
    v.number(), // start time of the server: after a restart it has other requests
    nonNegativeNumber, // running
    nonNegativeNumber, // waiting
    nonNegativeNumber, // work time factor
    nonNegativeNumber, // age in milliseconds
    nonNegativeNumber, // instances that have passed it on
]);
const messageSchema = v.pipe(v.array(reportSchema), v.maxLength(maxReports));

type WireReport = v.InferOutput<typeof reportSchema>;
type LatestReport = NonNullable<ReturnType<BackendState["load"]["latest"]>>;

function toWire({ record }: BackendState, { load, ageMs }: LatestReport, hopCount: number): WireReport {
    const { running, waiting, workTimeFactor = 1 } = load;
    return [record.id, record.startedAt, running, waiting, workTimeFactor, Math.round(ageMs), hopCount];
}

export function createLoadReportExchange(options: LoadReportExchangeOptions): LoadReportExchange {
    const { table, selfId, transport, clock, logger } = options;
    /** Clock times of the reports that were sent last. */
    const sentReportedAt = new WeakMap<BackendState, number>();
    /** Instances that had passed on the newest report of a peer. */
    const hops = new WeakMap<BackendState, number>();
    const takePeers = createRotation<string>();
    let calledAt = clock.now();
    let calledAtWallTime = clock.wallTime();
    let trustedAt = -Infinity;
    let rankedActive: readonly string[] | undefined;
    let peers: readonly string[] = [];
    const pendingPeers = new Set<string>();
    const counts = { peers: 0, messages: 0, sentReports: 0, receivedReports: 0, mergedReports: 0 };

    /** Returns the peers in an order that differs between instances, so that reports spread fast. */
    const findPeers = (): readonly string[] => {
        const active = options.activeInRegion();
        if (active !== rankedActive) {
            rankedActive = active;
            peers = active.includes(selfId) ? rankOwners(selfId, active).filter(id => id !== selfId) : [];
        }
        return peers;
    };

    /**
     * Notices a pause of the process. After a pause, which the monotonic clock may not have counted, what arrives is older
     * than it seems.
     */
    const updatePause = (now: number) => {
        const wallTime = clock.wallTime();
        if (Math.max(now - calledAt, wallTime - calledAtWallTime) > maxGapMs) {
            trustedAt = now + settleMs;
        }
        calledAt = now;
        calledAtWallTime = wallTime;
    };

    const mayPassOn = (server: BackendState, { isOwn, ageMs }: LatestReport, hasMorePeers: boolean) =>
        server.load.statesWorkTime() &&
        ageMs <= maxAgeMs &&
        (isOwn || (hasMorePeers && (hops.get(server) ?? maxHops) < maxHops));

    /** Returns the reports that are new since the last call, newest first. */
    const takeReports = (hasMorePeers: boolean, now: number): WireReport[] => {
        const reports: { server: BackendState; latest: LatestReport; reportedAt: number }[] = [];
        for (const server of table.all()) {
            const latest = server.load.latest(now);
            if (latest !== undefined && mayPassOn(server, latest, hasMorePeers)) {
                const reportedAt = now - latest.ageMs;
                if (reportedAt > (sentReportedAt.get(server) ?? -Infinity)) {
                    reports.push({ server, latest, reportedAt });
                }
            }
        }
        reports.sort((a, b) => b.reportedAt - a.reportedAt);
        return reports.slice(0, maxReports).map(({ server, latest, reportedAt }) => {
            sentReportedAt.set(server, reportedAt);
            return toWire(server, latest, latest.isOwn ? 0 : (hops.get(server) ?? 0));
        });
    };

    const sendTo = async (id: string, peerAddress: string, reports: readonly WireReport[]) => {
        pendingPeers.add(id);
        try {
            await transport.call(peerAddress, reportMethod, reports, callTimeoutMs);
        } catch (err) {
            // The next message has newer reports.
            logger.debug("load-reports-failed", { peer: id, error: getErrorMessage(err) });
        } finally {
            pendingPeers.delete(id);
        }
    };

    const applyReport = ([id, startedAt, running, waiting, workTimeFactor, ageMs, hopCount]: WireReport) => {
        const server = table.find(id);
        if (server?.record.startedAt !== startedAt || ageMs > maxAgeMs) {
            return;
        }
        const load = { running, waiting, slots: server.record.slots, workTimeFactor };
        if (server.load.merge({ load, ageMs: ageMs + transitMs }, clock.now())) {
            hops.set(server, hopCount + 1);
            counts.mergedReports += 1;
        }
    };

    options.rpc.addMethod(reportMethod, params => {
        const parsed = v.safeParse(messageSchema, params);
        if (!parsed.success) {
            logger.warn("load-reports-rejected", { error: parsed.issues[0].message });
            return {};
        }
        counts.receivedReports += parsed.output.length;
        const now = clock.now();
        if (now >= trustedAt && clock.wallTime() - calledAtWallTime <= maxGapMs) {
            parsed.output.forEach(applyReport);
        }
        return {};
    });

    return {
        send: () => {
            const now = clock.now();
            updatePause(now);
            const all = findPeers();
            counts.peers = all.length;
            if (all.length === 0) {
                return;
            }
            // Reports known before a pause are dropped.
            const reports = takeReports(all.length > maxPeers, now);
            if (reports.length === 0 || now < trustedAt) {
                return;
            }
            const addresses = new Map(options.members().map(({ id, peerAddress }) => [id, peerAddress]));
            // A peer that does not respond gets one call at a time.
            for (const id of takePeers(all, maxPeers).filter(peer => !pendingPeers.has(peer))) {
                const peerAddress = addresses.get(id);
                if (peerAddress !== undefined) {
                    counts.messages += 1;
                    counts.sentReports += reports.length;
                    void sendTo(id, peerAddress, reports);
                }
            }
        },
        describe: () => ({ ...counts }),
    };
}
