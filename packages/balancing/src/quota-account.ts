/**
 * Tokens that an instance has borrowed for a workspace. Without tokens it admits some requests in debt, and holds others
 * until the owner has answered.
 */
import { QuotaVerdict, admittedByQuota } from "./quota-gate.js";
import type { QuotaDecision } from "./quota-gate.js";
import type { QuotaDemand, QuotaGrant } from "./quota-ledger.js";

export type QuotaCallback = (decision: QuotaDecision) => void;

export interface QuotaAccountOptions {
    /** Interval in milliseconds between two calls to the owner. */
    borrowIntervalMs: number;
    /** Time in milliseconds after a call in which the same debt counts. */
    windowMs: number;
    tokenLifetimeMs: number;
}

export interface QuotaAccount {
    /** Decides on a request at once, or holds it. Returns whether it is decided. */
    acquire(onDecision: QuotaCallback, now: number): boolean;
    refund(now: number): void;
    /** Returns what to borrow. */
    getDemand(now: number): QuotaDemand;
    /** Applies what the owner has granted in response to a call that began at `sentAt`. */
    applyGrant(grant: QuotaGrant, sentAt: number, now: number): void;
    /** Rejects requests at once until a new owner begins to lend, unless that is soon. */
    awaitOwner(lendsInMs: number, now: number): void;
    /** Rejects requests that have waited for too long, and drops expired tokens and debts. */
    expire(now: number): void;
    setDebtLimit(requests: number): void;
    /** Scales the tokens held, after the limit was changed, and ends the time for which the quota counts as used up. */
    cut(fraction: number): void;
    /** Rejects the requests that wait, since the workspace has been removed. */
    close(): void;
    /** Whether no call to the owner is due: there is nothing to borrow, renew or repay, or the quota is used up. */
    isIdle(now: number): boolean;
    waiting(): number;
    debt(): number;
    tokens(): number;
    /** Expected requests per second. */
    demand(now: number): number;
}

interface WaitingRequest {
    onDecision: QuotaCallback;
    rejectAt: number;
}

/** Time in milliseconds that a request waits for the owner. */
const maxWaitMs = 300;
/** Requests of a workspace that wait for the owner at the same time. */
const maxWaiting = 512;
/** Retry delay in milliseconds sent to callers while the owner does not answer. */
const unavailableRetryMs = 300;
/** Minimum time in milliseconds between calls for a workspace that is over its quota. */
const minExhaustedMs = 200;
/** Time in milliseconds for which requests wait for further tokens before the quota counts as used up. */
const maxShortMs = 200;
/** Time in milliseconds after the quota was used up in which requests are rejected without such a wait. */
const calmMs = 2000;
/** Time constant in milliseconds of the estimated demand. */
const demandTimeMs = 2000;
/** Expected requests below which no token is borrowed ahead, since most would not be used. */
const minExpected = 0.25;

function unavailableFor(retryAfterMs: number): QuotaDecision {
    return { verdict: QuotaVerdict.Unavailable, retryAfterMs };
}

const unavailable = unavailableFor(unavailableRetryMs);

export function createQuotaAccount(options: QuotaAccountOptions): QuotaAccount {
    let held = 0;
    let expiresAt = -Infinity;
    /** Clock times of the requests in debt, oldest first. */
    const debts: number[] = [];
    let debtLimit = 0;
    let exhaustedUntil = -Infinity;
    /** Clock time at which the owner begins to lend. */
    let ownerLendsAt = -Infinity;
    /** Clock time since when the owner has had too few tokens for the requests that wait. */
    let shortSince: number | undefined;
    let waiting: WaitingRequest[] = [];
    /** Requests rejected since the last call. */
    let rejected = 0;
    /** Debt in the last call. */
    let owedInCall = 0;
    /** What the last call asked for, if requests had been rejected before it. */
    let lastDemandAfterRejection = 0;
    /** Tokens in the last answer, which is about what the next one has while the workspace is over its quota. */
    let lastGranted = 0;
    let requestsPerMs = 0;
    let estimatedAt = 0;

    const decayDemand = (now: number) => {
        requestsPerMs *= Math.exp((estimatedAt - now) / demandTimeMs);
        estimatedAt = now;
        return requestsPerMs;
    };

    /** Tokens for the requests that are expected until the next call. */
    const getTarget = (now: number) => {
        const expected = decayDemand(now) * options.borrowIntervalMs;
        return expected < minExpected ? 0 : Math.ceil(expected + Math.sqrt(expected) / 2);
    };

    const dropExpired = (now: number) => {
        if (now >= expiresAt) {
            held = 0;
        }
        while (debts.length > 0 && debts[0]! <= now - options.windowMs) {
            debts.shift();
        }
    };

    const exceeded = (now: number): QuotaDecision => {
        rejected += 1;
        const untilMs = exhaustedUntil > now ? exhaustedUntil - now : minExhaustedMs;
        return { verdict: QuotaVerdict.Exceeded, retryAfterMs: Math.ceil(untilMs) };
    };

    /** Returns undefined if only the owner can decide. */
    const decide = (now: number): QuotaDecision | undefined => {
        dropExpired(now);
        if (held > 0) {
            held -= 1;
            return admittedByQuota;
        }
        if (now < exhaustedUntil) {
            return exceeded(now);
        }
        if (debts.length < debtLimit) {
            debts.push(now);
            return admittedByQuota;
        }
        if (now < ownerLendsAt) {
            return unavailableFor(ownerLendsAt - now);
        }
        const isOver = now < exhaustedUntil + calmMs;
        if (isOver && waiting.length >= Math.max(1, lastGranted)) {
            return exceeded(now);
        }
        return waiting.length >= maxWaiting ? unavailable : undefined;
    };

    /**
     * Adds what the owner has lent. The owner counts the part for the debt of the call as spent, so what is left of that
     * part, because a debt has expired since, is dropped.
     */
    const addTokens = (granted: number) => {
        const forOwed = Math.min(granted, owedInCall);
        debts.splice(0, forOwed);
        held += granted - forOwed;
        const paid = Math.min(held, debts.length);
        debts.splice(0, paid);
        held -= paid;
    };

    const admitWaiting = () => {
        const served = waiting.splice(0, held);
        held -= served.length;
        served.forEach(({ onDecision }) => onDecision(admittedByQuota));
    };

    /**
     * Whether tokens may only be short for a moment, because others have just borrowed some, although the workspace is
     * below its quota.
     */
    const mayBeBrief = (nextTokenMs: number, now: number) =>
        now >= exhaustedUntil + calmMs && now + nextTokenMs < (shortSince ?? now) + maxShortMs;

    /** The owner has no more tokens: requests are rejected without calls until it has. */
    const rejectUntil = (nextTokenMs: number, now: number) => {
        exhaustedUntil = now + Math.max(nextTokenMs, minExhaustedMs);
        const refused = waiting;
        waiting = [];
        refused.forEach(({ onDecision }) => onDecision(exceeded(now)));
    };

    return {
        acquire: (onDecision, now) => {
            requestsPerMs = decayDemand(now) + 1 / demandTimeMs;
            const decision = decide(now);
            if (decision === undefined) {
                waiting.push({ onDecision, rejectAt: now + maxWaitMs });
                return false;
            }
            onDecision(decision);
            return true;
        },
        refund: now => {
            dropExpired(now);
            if (debts.length > 0) {
                debts.pop();
            } else if (now < expiresAt) {
                held += 1;
            }
        },
        getDemand: now => {
            dropExpired(now);
            const target = getTarget(now);
            const owed = debts.length;
            owedInCall = owed;
            const needed = waiting.length + rejected;
            lastDemandAfterRejection = rejected > 0 ? owed + needed : 0;
            rejected = 0;
            held = Math.min(held, Math.max(target, needed));
            return { held, owed, needed: Math.max(0, needed - held), ahead: Math.max(0, target - held) };
        },
        applyGrant: ({ granted, nextTokenMs }, sentAt, now) => {
            dropExpired(now);
            ownerLendsAt = -Infinity;
            lastGranted = granted;
            addTokens(granted);
            expiresAt = Math.max(expiresAt, sentAt + options.tokenLifetimeMs);
            dropExpired(now);
            admitWaiting();
            const isShort = waiting.length > 0 || granted < lastDemandAfterRejection;
            shortSince = isShort ? (shortSince ?? now) : undefined;
            if (isShort && !mayBeBrief(nextTokenMs, now)) {
                rejectUntil(nextTokenMs, now);
            }
        },
        awaitOwner: (lendsInMs, now) => {
            ownerLendsAt = lendsInMs > maxWaitMs ? now + lendsInMs : -Infinity;
            if (now < ownerLendsAt) {
                const refused = waiting;
                waiting = [];
                refused.forEach(({ onDecision }) => onDecision(unavailableFor(lendsInMs)));
            }
        },
        expire: now => {
            dropExpired(now);
            const late = waiting.filter(({ rejectAt }) => rejectAt <= now);
            waiting = waiting.filter(({ rejectAt }) => rejectAt > now);
            if (late.length > 0 && shortSince !== undefined) {
                exhaustedUntil = now + minExhaustedMs;
            }
            const decision = () => (shortSince === undefined ? unavailable : exceeded(now));
            late.forEach(({ onDecision }) => onDecision(decision()));
        },
        setDebtLimit: requests => {
            debtLimit = requests;
        },
        cut: fraction => {
            held = Math.floor(held * fraction);
            exhaustedUntil = -Infinity;
        },
        close: () => {
            held = 0;
            const left = waiting;
            waiting = [];
            left.forEach(({ onDecision }) => onDecision(unavailable));
        },
        isIdle: now => {
            dropExpired(now);
            const isUnused = held === 0 && debts.length === 0 && waiting.length === 0 && rejected === 0;
            return now < exhaustedUntil || (isUnused && getTarget(now) === 0);
        },
        waiting: () => waiting.length,
        debt: () => debts.length,
        tokens: () => held,
        demand: now => decayDemand(now) * 1000,
    };
}
