/** Whether a backend server is worth sending to, from the outcome of the requests of this instance. */

/** How a request at a backend server ended, as far as it tells about the server. */
export enum ServerOutcome {
    Success = "success",
    /** The server answered with a failure of its own. */
    Failure = "failure",
    /** The connection could not be opened in time, or was refused. */
    Unreachable = "unreachable",
    /** The connection broke or brought something that is not the answer. */
    Broken = "broken",
    /** No answer in the time that was allowed. */
    NoResponse = "silent",
    /** The server said that it did not start the request. */
    Shed = "shed",
    /** The caller left or another attempt answered first: tells nothing about the server. */
    Cancelled = "cancelled",
}

export interface ServerHealth {
    /** Whether new requests may go there. After a failure to connect, or several refusals, one request at a time tries again. */
    isUsable(now: number, inFlight: number): boolean;
    /** Expected share of failed requests, from 0 to 1. */
    failureRate(now: number): number;
    recordOutcome(outcome: ServerOutcome, now: number): void;
}

/** Time in milliseconds without new requests after the first failure to connect. */
const minBackoffMs = 250;
/** Longest such time; a server that is back gets requests at most this much later. */
const maxBackoffMs = 2000;
/** Time in milliseconds without new requests after the server refused one for lack of room: about the work of one request. */
const minShedBackoffMs = 60;
/** Longest such time: a server may refuse everything for seconds, and each refusal takes a retry of the request. */
const maxShedBackoffMs = 1000;
/** Refusals in a row from which one request at a time asks whether the server takes work again. */
const shedsBeforeProbe = 3;
/** Weight of one outcome: the last ten or so decide. */
const failureWeight = 0.12;
/** Time constant in milliseconds by which the failure rate falls without new outcomes, so that the server is tried again. */
const forgivenessMs = 3000;

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
    let learnedAt = 0;
    let unreachableInARow = 0;
    let shedsInARow = 0;
    let closedUntil = -Infinity;

    const currentRate = (now: number) =>
        rate === 0 ? 0 : rate * Math.exp(-(now - learnedAt) / forgivenessMs);

    return {
        isUsable: (now, inFlight) => {
            const isProbed = unreachableInARow > 0 || shedsInARow >= shedsBeforeProbe;
            return now >= closedUntil && (!isProbed || inFlight === 0);
        },
        failureRate: currentRate,
        recordOutcome: (outcome, now) => {
            if (outcome === ServerOutcome.Cancelled) {
                return;
            }
            rate = currentRate(now) * (1 - failureWeight) + severity[outcome] * failureWeight;
            learnedAt = now;
            shedsInARow = outcome === ServerOutcome.Shed ? shedsInARow + 1 : 0;
            if (outcome === ServerOutcome.Unreachable) {
                unreachableInARow += 1;
                closedUntil = now + Math.min(maxBackoffMs, minBackoffMs * 2 ** (unreachableInARow - 1));
            } else if (outcome === ServerOutcome.Shed) {
                const backoffMs = Math.min(maxShedBackoffMs, minShedBackoffMs * 2 ** (shedsInARow - 1));
                closedUntil = Math.max(closedUntil, now + backoffMs);
            } else if (outcome !== ServerOutcome.NoResponse) {
                unreachableInARow = 0;
            }
        },
    };
}
