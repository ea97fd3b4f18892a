/** Passive health check of a backend server, based on the outcomes of this instance's requests. */

/** Outcome of a request to a backend server, as far as it concerns the health of the server. */
export enum ServerOutcome {
    Success = "success",
    /** The server responded with a server error. */
    Failure = "failure",
    /** The connection timed out or was refused. */
    Unreachable = "unreachable",
    /** The connection broke or the response was invalid. */
    Broken = "broken",
    /** The server did not respond in time. */
    NoResponse = "silent",
    /** The server reported that it did not start the request. */
    Shed = "shed",
    /** The caller disconnected or another attempt completed first, which says nothing about the server. */
    Cancelled = "cancelled",
}

export interface ServerHealth {
    /**
     * Whether the server may receive new requests; only one at a time after a connection failure or several rejections.
     */
    isUsable(now: number, inFlight: number): boolean;
    /** Estimated failure rate, from 0 to 1. */
    failureRate(now: number): number;
    recordOutcome(outcome: ServerOutcome, now: number): void;
    /** Sends nothing to the server for the given time, as it has asked for. */
    pause(forMs: number, now: number): void;
    /** Clock time until which the server has asked to get nothing. */
    pausedUntil(): number;
}

/** Backoff in milliseconds after the first connection failure. */
const minBackoffMs = 250;
/** Maximum backoff; a recovered server is used again after at most this time. */
const maxBackoffMs = 2000;
/**
 * Backoff in milliseconds after the server rejected a request for lack of capacity; about the duration of one request.
 */
const minShedBackoffMs = 60;
/** Maximum backoff after rejections: a server may reject everything for seconds, and each rejection costs a retry. */
const maxShedBackoffMs = 1000;
/** Consecutive rejections after which the server is probed with one request at a time. */
const shedsBeforeProbe = 3;
/** Weight of one outcome in the moving average, which covers about the last ten. */
const outcomeWeight = 0.12;
/** Time constant in milliseconds with which the failure rate decays, so that the server is eventually tried again. */
const failureDecayMs = 3000;

/** Longest pause in milliseconds, so that a faulty value does not exclude a server for good. */
const maxPauseMs = 3_600_000;

const severity: Record<ServerOutcome, number> = {
    [ServerOutcome.Success]: 0,
    [ServerOutcome.Failure]: 1,
    [ServerOutcome.Unreachable]: 1,
    [ServerOutcome.Broken]: 1,
    [ServerOutcome.NoResponse]: 1,
    [ServerOutcome.Shed]: 0,
    [ServerOutcome.Cancelled]: 0,
};

export function createServerHealth(): ServerHealth {
    let rate = 0;
    let updatedAt = 0;
    let consecutiveUnreachable = 0;
    let consecutiveSheds = 0;
    let backoffUntil = -Infinity;
    let pausedUntil = -Infinity;

    const currentRate = (now: number) =>
        rate === 0 ? 0 : rate * Math.exp(-(now - updatedAt) / failureDecayMs);

    return {
        isUsable: (now, inFlight) => {
            const isProbing = consecutiveUnreachable > 0 || consecutiveSheds >= shedsBeforeProbe;
            return now >= backoffUntil && (!isProbing || inFlight === 0);
        },
        failureRate: currentRate,
        pause: (forMs, now) => {
            pausedUntil = Math.max(pausedUntil, now + Math.min(forMs, maxPauseMs));
        },
        pausedUntil: () => pausedUntil,
        recordOutcome: (outcome, now) => {
            if (outcome === ServerOutcome.Cancelled) {
                return;
            }
            rate = currentRate(now) * (1 - outcomeWeight) + severity[outcome] * outcomeWeight;
            updatedAt = now;
            consecutiveSheds = outcome === ServerOutcome.Shed ? consecutiveSheds + 1 : 0;
            if (outcome === ServerOutcome.Unreachable) {
                consecutiveUnreachable += 1;
                backoffUntil = now + Math.min(maxBackoffMs, minBackoffMs * 2 ** (consecutiveUnreachable - 1));
            } else if (outcome === ServerOutcome.Shed) {
                const backoffMs = Math.min(maxShedBackoffMs, minShedBackoffMs * 2 ** (consecutiveSheds - 1));
                backoffUntil = Math.max(backoffUntil, now + backoffMs);
            } else if (outcome !== ServerOutcome.NoResponse) {
                consecutiveUnreachable = 0;
            }
        },
    };
}
