/** Finds out whether a backend server still lives after a request to it has ended without a response. */
import type { BackendState } from "@waxwingdale/balancing";
import { setBounded } from "@waxwingdale/core";
import type { Clock } from "@waxwingdale/core";
import { ProbeResult } from "./upstream-pool.js";
import type { UpstreamPool } from "./upstream-pool.js";

export enum ServerVerdict {
    Alive = "alive",
    /** It accepts no connection. */
    Gone = "gone",
    /** Another server has its address. */
    Replaced = "replaced",
    /** It closed all its connections at the same time, and lives. */
    Restarted = "restarted",
    /** It accepts connections and does not respond, or cannot be reached. */
    Silent = "silent",
    /**
     * It accepts connections and must get no health check now, or no server responds to this instance, or it had already
     * ended when the attempt was sent.
     */
    Unknown = "unknown",
}

/** An attempt to have a server run a request. */
export interface WatchedAttempt {
    server: BackendState;
    /** Clock time at which the server was chosen. */
    sentAt: number;
}

export interface ServerExaminer {
    /** Examines the server of an attempt whose connection was lost at the given clock time. */
    examineLoss(attempt: WatchedAttempt, lostAt: number): Promise<ServerVerdict>;
    /**
     * Examines the server of an attempt that had no response at the clock time `silentAt`. Any response that has come since
     * `aliveSince` shows that it lives.
     */
    examineSilence(attempt: WatchedAttempt, silentAt: number, aliveSince: number): Promise<ServerVerdict>;
    /**
     * Examines the server of an attempt that is late at the clock time `delayedAt`, and may yet get its response. A server
     * that has responded lately is taken to be alive, as a busy one makes many attempts late.
     */
    examineDelay(attempt: WatchedAttempt, delayedAt: number): Promise<ServerVerdict>;
    /** Whether the server responds to a health check now, or must get none and accepts connections. */
    isResponding(server: BackendState): Promise<boolean>;
}

export interface ServerExaminerOptions {
    clock: Clock;
    pool: UpstreamPool;
    /** Whether the server may get a health check; otherwise a connection is opened only. */
    mayCheckHealth: (server: BackendState) => boolean;
}

/** Time in milliseconds within which a process that ends closes all its connections. */
const closeTogetherMs = 20;
/** Number of connections that a server closes together when it ends; fewer may be lost for other reasons. */
const minClosedTogether = 3;
/** Time in milliseconds before a delay in which a response shows that the server lives. */
const recentResponseMs = 500;
/** Time in milliseconds in which a server must respond to be found responding. */
const promptResponseMs = 200;
/** Number of servers whose end is kept. */
const maxEnds = 1000;
/** Time in milliseconds for which the result of a probe is kept. */
const resultMs = 2000;

interface Probe {
    startedAt: number;
    result: Promise<ProbeResult>;
}

export function createServerExaminer({ clock, pool, mayCheckHealth }: ServerExaminerOptions): ServerExaminer {
    /** The last probe of each server. */
    const probes = new Map<string, Probe>();

    /** Returns the result of a probe that began at the given time or later. */
    const probe = (server: BackendState, since: number): Promise<ProbeResult> => {
        const { id } = server.record;
        const last = probes.get(id);
        if (last !== undefined && last.startedAt >= since) {
            return last.result;
        }
        const next = { startedAt: clock.now(), result: pool.probe(server, mayCheckHealth(server)) };
        probes.set(id, next);
        clock.setTimer(resultMs, () => {
            if (probes.get(id) === next) {
                probes.delete(id);
            }
        });
        return next.result;
    };

    /** Whether this instance reaches any other server. */
    const isConnected = async (server: BackendState, since: number): Promise<boolean> => {
        const other = pool.lastResponder(server);
        if (other === undefined) {
            return false;
        }
        return pool.respondedAt(other) >= since || (await probe(other, since)) === ProbeResult.Responded;
    };

    const examine = async (server: BackendState, since: number): Promise<ServerVerdict> => {
        const result = await probe(server, since);
        switch (result) {
            case ProbeResult.Responded:
                return ServerVerdict.Alive;
            case ProbeResult.Connected:
                return ServerVerdict.Unknown;
            case ProbeResult.Refused:
                return ServerVerdict.Gone;
            case ProbeResult.Replaced:
                return ServerVerdict.Replaced;
            case ProbeResult.NoResponse:
                if (pool.respondedAt(server) >= since) {
                    return ServerVerdict.Alive;
                }
                return (await isConnected(server, since)) ? ServerVerdict.Silent : ServerVerdict.Unknown;
        }
    };

    /** Clock times at which servers were first missed, until they respond again. */
    const endedAt = new Map<string, number>();

    /** Excludes a server that had been missed when the attempt was sent, which so did not end it. */
    const excludeEarlierEnd = (
        { server, sentAt }: WatchedAttempt,
        missedAt: number,
        verdict: ServerVerdict,
    ): ServerVerdict => {
        const { id } = server.record;
        if (!isCrash(verdict)) {
            return verdict;
        }
        const last = endedAt.get(id);
        const isSameEnd = last !== undefined && pool.respondedAt(server) < last;
        if (isSameEnd && sentAt > last) {
            return ServerVerdict.Unknown;
        }
        setBounded(endedAt, id, isSameEnd ? Math.min(last, missedAt) : missedAt, maxEnds);
        return verdict;
    };

    const examineSilence = async (attempt: WatchedAttempt, silentAt: number, aliveSince: number) =>
        pool.respondedAt(attempt.server) >= aliveSince
            ? ServerVerdict.Alive
            : excludeEarlierEnd(attempt, silentAt, await examine(attempt.server, aliveSince));

    return {
        examineLoss: async (attempt, lostAt) => {
            const { server } = attempt;
            await clock.sleep(closeTogetherMs);
            if (pool.hasConnectionFrom(server, lostAt)) {
                return ServerVerdict.Alive;
            }
            const verdict = await examine(server, lostAt);
            const closed = pool.countLost(server, lostAt - closeTogetherMs, lostAt + closeTogetherMs);
            const isRestarted = verdict === ServerVerdict.Alive && closed >= minClosedTogether;
            return excludeEarlierEnd(attempt, lostAt, isRestarted ? ServerVerdict.Restarted : verdict);
        },
        examineSilence,
        examineDelay: (attempt, delayedAt) =>
            examineSilence(attempt, delayedAt, Math.min(attempt.sentAt, delayedAt - recentResponseMs)),
        isResponding: async server => {
            const timeout = clock.sleep(promptResponseMs).then(() => ProbeResult.NoResponse);
            const result = await Promise.race([probe(server, clock.now()), timeout]);
            return result === ProbeResult.Responded || result === ProbeResult.Connected;
        },
    };
}

/** Whether the verdict counts as a crash of the server. */
export function isCrash(verdict: ServerVerdict): boolean {
    return verdict !== ServerVerdict.Alive && verdict !== ServerVerdict.Unknown;
}
