/** Decides whether a request is within the quota of its workspace. */
import type { Workspace } from "./traffic-config.js";

export enum QuotaVerdict {
    Admitted = "admitted",
    /** The workspace has used up its quota. */
    Exceeded = "exceeded",
    /** It is not known whether the quota allows the request. */
    Unavailable = "unavailable",
}

export interface QuotaDecision {
    verdict: QuotaVerdict;
    /** Time in milliseconds after which the caller may retry, if the request was not admitted. */
    retryAfterMs: number;
}

/** The decision on a request that the quota allows. */
export const admittedByQuota: QuotaDecision = { verdict: QuotaVerdict.Admitted, retryAfterMs: 0 };

/** Creates a gate that admits every request, for a fleet without quotas. */
export function createOpenQuotaGate(): QuotaGate {
    return {
        acquire: (_workspace, onDecision) => onDecision(admittedByQuota),
        refund: () => undefined,
    };
}

export interface QuotaGate {
    /** Calls `onDecision` once, synchronously if possible. */
    acquire(workspace: Workspace, onDecision: (decision: QuotaDecision) => void): void;
    /** Returns what an admitted request has taken, if it was never sent to a backend server. */
    refund(workspace: Workspace): void;
}
