/**
 * Divides the requests that a quota allows in a window: what accrues at the rate, the stock of tokens that may exist at
 * its start, and the debts of all instances. Their sum never exceeds the bound, see docs/design/quotas.md.
 */
import type { Workspace } from "./traffic-config.js";

/** Declared bounds of quotas. */
export interface QuotaBounds {
    windowMs: number;
    /** Fraction by which a quota may be exceeded in a window. */
    overage: number;
    /** Requests by which it may be exceeded in addition. */
    slack: number;
}

export interface QuotaPlan {
    tokensPerSecond: number;
    /** Maximum number of tokens in the bucket of the owner and at all borrowers together. */
    stock: number;
    /** Maximum number of requests that all instances together admit ahead of tokens. */
    debt: number;
}

export type QuotaLimits = Pick<Workspace, "requestsPerSecond" | "burst">;

/** Maximum lifetime in milliseconds of a borrowed token that its owner does not renew. */
const maxTokenLifetimeMs = 1000;
/** The same as a fraction of the window. */
const tokenLifetimeFraction = 0.2;
/** With less stock, tokens that borrowers have spent since their last call would keep the bucket from filling. */
const minStockSeconds = 0.75;

/** Debt up to which a workspace with a low rate uses what its quota allows in addition: a request at each instance. */
const minDebt = 12;

/** Returns the lifetime in milliseconds of a borrowed token that its owner does not renew. */
export function getTokenLifetimeMs({ windowMs }: QuotaBounds): number {
    return Math.min(maxTokenLifetimeMs, windowMs * tokenLifetimeFraction);
}

/** Returns the plan of a workspace with a quota. */
export function planQuota({ requestsPerSecond, burst }: QuotaLimits, bounds: QuotaBounds): QuotaPlan {
    const windowSeconds = bounds.windowMs / 1000;
    const allowed = (requestsPerSecond * windowSeconds + burst) * (1 + bounds.overage) + bounds.slack;
    const wantedStock = Math.max(burst, 1 + requestsPerSecond * minStockSeconds);
    const extra = Math.max(0, allowed - requestsPerSecond * windowSeconds - wantedStock);
    const debt = Math.floor(Math.min(extra, Math.max(minDebt, extra / 2)));
    const stock = Math.min(allowed, wantedStock + extra - debt);
    const tokensPerSecond = Math.min(requestsPerSecond, (allowed - stock - debt) / windowSeconds);
    return { tokensPerSecond, stock, debt };
}
