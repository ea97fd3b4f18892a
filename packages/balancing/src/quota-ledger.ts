/**
 * Lends the tokens of the workspaces that an instance owns. The tokens in a bucket and those known to be lent together
 * never exceed the stock of the plan, so that a window begins with no more than that.
 */
import { setBounded } from "@waxwingdale/core";
import { planQuota } from "./quota-plan.js";
import type { QuotaBounds, QuotaPlan } from "./quota-plan.js";
import { createTokenBucket } from "./token-bucket.js";
import type { TokenBucket } from "./token-bucket.js";
import type { Workspace } from "./traffic-config.js";

/** What an instance wants to borrow for a workspace. */
export interface QuotaDemand {
    /** Tokens that it holds, which the owner renews. */
    held: number;
    /** Tokens for requests that it has admitted in debt. */
    owed: number;
    /** Tokens for requests that have arrived and wait, or have been rejected. */
    needed: number;
    /** Tokens for requests that it expects. */
    ahead: number;
}

export interface QuotaGrant {
    granted: number;
    /** Time in milliseconds until the bucket has a token for this borrower, after those that wait for one as well. */
    nextTokenMs: number;
}

/** A running process that borrows. */
export interface QuotaBorrower {
    id: string;
    /** Differs after each start. */
    session: number;
}

export interface QuotaLedgerOptions {
    bounds: () => QuotaBounds;
    /** Fraction of the known instances that are visible, by which rate and stock are scaled. */
    share: () => number;
    /** Lifetime in milliseconds of a token that is not renewed. */
    tokenLifetimeMs: () => number;
    /**
     * Time in milliseconds from becoming the owner until the first loan, in which the previous owner has to learn of the
     * change. It exceeds the lifetime of a token.
     */
    takeoverMs: number;
}

export interface QuotaLedger {
    /** Sets the workspaces that this instance owns, fills their buckets and applies changed limits and shares. */
    update(owned: readonly Workspace[], now: number): void;
    /** Returns whether a call is newer than all earlier ones of its borrower; others must not be served. */
    isCurrent(borrower: QuotaBorrower, sequence: number): boolean;
    /** Returns undefined if this instance does not lend tokens of the workspace (yet). */
    lend(
        workspace: string,
        borrower: QuotaBorrower,
        demand: QuotaDemand,
        now: number,
    ): QuotaGrant | undefined;
    /** Returns the time in milliseconds until the first loan of a workspace, or undefined if this instance does not own it. */
    lendsInMs(workspace: string, now: number): number | undefined;
    /** Returns the whole tokens in the bucket and those that are lent, or undefined for a workspace that it does not own. */
    describe(workspace: string): { tokens: number; lent: number } | undefined;
}

interface Loan {
    tokens: number;
    expiresAt: number;
}

interface Entry {
    plan: QuotaPlan;
    /** Clock time of the first loan. */
    lendsFrom: number;
    bucket: TokenBucket;
    loans: Map<string, Loan>;
    /** Borrowers that were granted too little, with the time of their calls. */
    refused: Map<string, number>;
}

/** Borrowers whose last call is remembered. */
const maxBorrowers = 2048;
/** Time in milliseconds for which a borrower that was granted too little counts as waiting. */
const refusedMs = 1000;
/** Fraction of the stock that is kept for requests that have arrived. */
const reservedFraction = 0.25;

export function createQuotaLedger(options: QuotaLedgerOptions): QuotaLedger {
    const entries = new Map<string, Entry>();
    const lastSequences = new Map<string, number>();

    const keyOf = ({ id, session }: QuotaBorrower) => `${session}/${id}`;
    const countLent = ({ loans }: Entry) => [...loans.values()].reduce((sum, { tokens }) => sum + tokens, 0);

    const fill = (entry: Entry, now: number) => {
        const { plan, bucket } = entry;
        const share = options.share();
        const capacity = Math.max(0, plan.stock * share - countLent(entry));
        bucket.update(now, plan.tokensPerSecond * share, capacity);
    };

    /** Fills the bucket while the loans of the past still count, and only then removes those that have expired. */
    const advance = (entry: Entry, now: number) => {
        if (now < entry.lendsFrom) {
            entry.bucket.update(now, 0, 0);
            return;
        }
        fill(entry, now);
        for (const [key, { expiresAt }] of entry.loans) {
            if (expiresAt <= now) {
                entry.loans.delete(key);
            }
        }
    };

    const createEntry = (plan: QuotaPlan, now: number): Entry => ({
        plan,
        lendsFrom: now + options.takeoverMs,
        bucket: createTokenBucket(now),
        loans: new Map(),
        refused: new Map(),
    });

    const forgetOthers = (owned: readonly Workspace[]) => {
        const names = new Set(owned.map(({ name }) => name));
        [...entries.keys()].filter(name => !names.has(name)).forEach(name => entries.delete(name));
    };

    /** Requests that have arrived go before those that are expected. */
    const divideTokens = ({ plan, bucket }: Entry, { owed, needed, ahead }: QuotaDemand) => {
        const tokens = Math.max(0, Math.floor(bucket.tokens()));
        const forOwed = Math.min(owed, tokens);
        const forNeeded = Math.min(needed, tokens - forOwed);
        const reserve = Math.ceil(plan.stock * options.share() * reservedFraction);
        const forAhead = Math.min(ahead, Math.max(0, tokens - forOwed - forNeeded - reserve));
        return { forOwed, forNew: forNeeded + forAhead };
    };

    const recordRefusal = ({ refused }: Entry, key: string, isRefused: boolean, now: number) => {
        refused.delete(key);
        if (isRefused) {
            refused.set(key, now);
        }
        for (const [other, at] of refused) {
            if (at <= now - refusedMs) {
                refused.delete(other);
            }
        }
    };

    const getNextTokenMs = ({ plan, bucket, refused }: Entry) => {
        const missing = Math.max(refused.size, 1) - bucket.tokens();
        const waitMs = missing <= 0 ? 0 : (missing / (plan.tokensPerSecond * options.share())) * 1000;
        return Math.ceil(Math.min(waitMs, options.bounds().windowMs));
    };

    return {
        update: (owned, now) => {
            forgetOthers(owned);
            for (const workspace of owned) {
                const plan = planQuota(workspace, options.bounds());
                const entry = entries.get(workspace.name) ?? createEntry(plan, now);
                entry.plan = plan;
                entries.set(workspace.name, entry);
                advance(entry, now);
            }
        },
        isCurrent: (borrower, sequence) => {
            const key = keyOf(borrower);
            const isNew = sequence > (lastSequences.get(key) ?? -1);
            if (isNew) {
                setBounded(lastSequences, key, sequence, maxBorrowers);
            }
            return isNew;
        },
        lend: (workspace, borrower, demand, now) => {
            const entry = entries.get(workspace);
            if (entry === undefined || now < entry.lendsFrom) {
                return undefined;
            }
            advance(entry, now);
            const key = keyOf(borrower);
            const { forOwed, forNew } = divideTokens(entry, demand);
            recordRefusal(entry, key, forOwed + forNew < demand.owed + demand.needed, now);
            entry.bucket.take(forOwed + forNew);
            // What pays a debt has been spent.
            const tokens = demand.held + forNew;
            if (tokens > 0) {
                entry.loans.set(key, { tokens, expiresAt: now + options.tokenLifetimeMs() });
            } else {
                entry.loans.delete(key);
            }
            fill(entry, now);
            return { granted: forOwed + forNew, nextTokenMs: getNextTokenMs(entry) };
        },
        lendsInMs: (workspace, now) => {
            const entry = entries.get(workspace);
            return entry && Math.max(0, Math.ceil(entry.lendsFrom - now));
        },
        describe: workspace => {
            const entry = entries.get(workspace);
            return entry && { tokens: Math.floor(entry.bucket.tokens()), lent: countLent(entry) };
        },
    };
}
