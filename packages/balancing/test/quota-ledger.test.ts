import assert from "node:assert/strict";
import { test } from "node:test";
import {
    QuotaVerdict,
    createQuotaAccount,
    createQuotaLedger,
    getTokenLifetimeMs,
    planQuota,
} from "../src/index.js";
import type { QuotaDecision, QuotaDemand, Workspace } from "../src/index.js";

const bounds = { windowMs: 5000, overage: 0.1, slack: 20 };
const lifetimeMs = getTokenLifetimeMs(bounds);
const takeoverMs = 2000;
const first = { id: "g-1", session: 1 };
const second = { id: "g-2", session: 1 };

function createWorkspace(requestsPerSecond: number, burst: number): Workspace {
    return { name: "w", apiKeys: [], priority: 0, requestsPerSecond, burst, allowedRegions: [] };
}

function want(demand: Partial<QuotaDemand>): QuotaDemand {
    return { held: 0, owed: 0, needed: 0, ahead: 0, ...demand };
}

function createLedger(workspace = createWorkspace(10, 10)) {
    let share = 1;
    const ledger = createQuotaLedger({
        bounds: () => bounds,
        share: () => share,
        tokenLifetimeMs: () => lifetimeMs,
        takeoverMs,
    });
    ledger.update([workspace], 0);
    const lend = (borrower: typeof first, demand: Partial<QuotaDemand>, now: number) =>
        ledger.lend("w", borrower, want(demand), now);
    const fillUntil = (now: number) => {
        for (let time = 0; time <= now; time += 100) {
            ledger.update([workspace], time);
        }
    };
    return { ledger, lend, fillUntil, setShare: (value: number) => void (share = value) };
}

const planCases = [
    { rate: 2, burst: 0, overage: 0.1, slack: 20 },
    { rate: 2, burst: 2, overage: 0.1, slack: 20 },
    { rate: 20, burst: 5, overage: 0.1, slack: 20 },
    { rate: 1000, burst: 0, overage: 0.1, slack: 20 },
    { rate: 100, burst: 300, overage: 0, slack: 0 },
    { rate: 1, burst: 0, overage: 0, slack: 0 },
    { rate: 0.1, burst: 0, overage: 0, slack: 0 },
];

for (const { rate, burst, overage, slack } of planCases) {
    // Guards against parts of the plan that add up to more than the bound, or that use less than the rate without need.
    test(`the plan keeps to the bound: ${rate} per second, burst ${burst}, overage ${overage}, slack ${slack}`, () => {
        const plan = planQuota(createWorkspace(rate, burst), { windowMs: 5000, overage, slack });
        const allowed = (rate * 5 + burst) * (1 + overage) + slack;
        assert.ok(plan.tokensPerSecond * 5 + plan.stock + plan.debt <= allowed + 1e-9);
        assert.ok(slack === 0 || plan.tokensPerSecond >= 0.95 * rate);
        assert.ok(slack === 0 || plan.stock >= Math.max(1, burst));
    });
}

// Guards against two owners that lend at the same time (QUOTA): the old one, and the new one that it has not heard of.
test("a new owner lends nothing until the takeover time, and begins with an empty bucket", () => {
    const { lend, fillUntil } = createLedger();
    assert.ok(takeoverMs > lifetimeMs);
    fillUntil(takeoverMs - 100);
    assert.equal(lend(first, { needed: 5 }, takeoverMs - 1), undefined);
    assert.equal(lend(first, { needed: 5 }, takeoverMs)?.granted, 0);
    assert.equal(lend(first, { needed: 5 }, takeoverMs + 300)?.granted, 3);
});

// Guards against a bucket that fills up while the tokens of an earlier window are still at borrowers.
test("tokens in the bucket and those lent do not exceed the stock", () => {
    const { lend, fillUntil, ledger } = createLedger();
    const { stock } = planQuota(createWorkspace(10, 10), bounds);
    fillUntil(30_000);
    const lent = lend(first, { needed: 1000 }, 30_000)!.granted;
    assert.equal(lent, Math.floor(stock));
    assert.equal(lend(second, { needed: 1000 }, 30_000 + lifetimeMs - 1)?.granted, 0);
    const { tokens, lent: outstanding } = ledger.describe("w")!;
    assert.ok(tokens + outstanding <= stock);
});

// Guards against debts that keep tokens from accruing although the requests have been sent long ago.
test("tokens that pay debts are not lent any more", () => {
    const { lend, fillUntil, ledger } = createLedger();
    fillUntil(30_000);
    assert.equal(lend(first, { owed: 3, needed: 2 }, 30_000)?.granted, 5);
    assert.equal(ledger.describe("w")?.lent, 2);
});

// Guards against requests that are rejected while other instances keep tokens for requests that may never come.
test("a part of the stock is only lent for requests that have arrived", () => {
    const { lend, fillUntil } = createLedger();
    fillUntil(30_000);
    lend(first, { ahead: 1000 }, 30_000);
    assert.ok(lend(second, { needed: 3 }, 30_000)!.granted === 3);
});

// Guards against a delayed call that overwrites what a later one has reported.
test("a call is served once, and not after a later one of the same process", () => {
    const { ledger } = createLedger();
    const sequences: [typeof first, number, boolean][] = [
        [first, 2, true],
        [first, 2, false],
        [first, 1, false],
        [second, 1, true],
        [{ id: "g-1", session: 2 }, 1, true],
    ];
    sequences.forEach(([borrower, sequence, expected]) =>
        assert.equal(ledger.isCurrent(borrower, sequence), expected),
    );
});

// Guards against the sides of a partition that lend the whole quota each.
test("rate and stock follow the share of the instances that are visible", () => {
    const { lend, fillUntil, setShare } = createLedger();
    fillUntil(30_000);
    setShare(0.25);
    fillUntil(30_000);
    const { stock } = planQuota(createWorkspace(10, 10), bounds);
    const atOnce = lend(first, { needed: 1000 }, 30_000)!;
    assert.equal(atOnce.granted, Math.floor(stock / 4));
    assert.ok(atOnce.nextTokenMs > 0 && atOnce.nextTokenMs <= 400);
});

// Guards against a lowered limit that becomes binding only when the old tokens are used up.
test("a lowered limit cuts the bucket at once, a raised one fills it at its rate", () => {
    const { ledger, lend, fillUntil } = createLedger(createWorkspace(100, 100));
    fillUntil(30_000);
    const lowered = createWorkspace(2, 1);
    ledger.update([lowered], 30_000);
    assert.equal(
        lend(first, { needed: 1000 }, 30_000)?.granted,
        Math.floor(planQuota(lowered, bounds).stock),
    );
    ledger.update([createWorkspace(100, 100)], 32_000);
    assert.ok(lend(first, { needed: 1000 }, 32_000 + 100)!.granted <= 14);
    ledger.update([], 32_200);
    assert.equal(lend(first, { needed: 1 }, 32_200), undefined);
});

function createAccount(debtLimit = 0) {
    const account = createQuotaAccount({
        borrowIntervalMs: lifetimeMs / 2,
        windowMs: bounds.windowMs,
        tokenLifetimeMs: lifetimeMs,
    });
    account.setDebtLimit(debtLimit);
    const decisions: QuotaDecision[] = [];
    const acquire = (now: number, count = 1) => {
        for (let index = 0; index < count; index++) {
            account.acquire(decision => decisions.push(decision), now);
        }
    };
    const verdicts = () => decisions.map(({ verdict }) => verdict);
    return { account, acquire, decisions, verdicts };
}

const { Admitted, Exceeded, Unavailable } = QuotaVerdict;

// Guards against tokens that outlive the time for which their owner counts them.
test("tokens expire at the end of their lifetime, counted from the call", () => {
    const { account, acquire, verdicts } = createAccount();
    account.applyGrant({ granted: 2, nextTokenMs: 0 }, 0, 200);
    acquire(lifetimeMs - 1);
    acquire(lifetimeMs);
    assert.deepEqual(verdicts(), [Admitted]);
    assert.equal(account.waiting(), 1);
    account.refund(lifetimeMs);
    assert.equal(account.tokens(), 0);
});

// Guards against an instance without an owner that admits more than its share of the debt in a window.
test("without an owner, an instance admits its debt once per window and answers others in time", () => {
    const { account, acquire, verdicts } = createAccount(2);
    acquire(0, 3);
    account.expire(299);
    assert.deepEqual(verdicts(), [Admitted, Admitted]);
    account.expire(300);
    acquire(4999);
    account.expire(5299);
    acquire(5300, 3);
    assert.deepEqual(verdicts(), [Admitted, Admitted, Unavailable, Unavailable, Admitted, Admitted]);
});

// Guards against requests that wait, or come back, while it is known that a new owner does not lend yet.
test("until a new owner lends, requests beyond the debt are rejected at once with the time that is left", () => {
    const { account, acquire, verdicts } = createAccount(1);
    acquire(0, 2);
    account.awaitOwner(2000, 100);
    acquire(1000);
    account.applyGrant({ granted: 2, nextTokenMs: 0 }, 1900, 1950);
    acquire(2000);
    assert.deepEqual(verdicts(), [Admitted, Unavailable, Unavailable, Admitted]);
    account.awaitOwner(250, 2050);
    acquire(2060, 2);
    assert.equal(account.waiting(), 1, "a short time is waited for");
});

// Guards against tokens that neither the owner counts as lent nor a debt has used (QUOTA, found with 121 of 120).
test("what was granted for a debt that has expired since is dropped", () => {
    const { account, acquire } = createAccount(2);
    acquire(0, 2);
    assert.equal(account.getDemand(4990).owed, 2);
    account.applyGrant({ granted: 3, nextTokenMs: 0 }, 4990, 5010);
    assert.deepEqual([account.debt(), account.tokens()], [0, 1]);
});

// Guards against callers over the quota that wait for an answer, and against retry times at which nothing is left.
test("after an empty answer, requests are rejected at once with the time of the owner", () => {
    const { account, acquire, decisions, verdicts } = createAccount();
    acquire(0);
    account.applyGrant({ granted: 0, nextTokenMs: 450 }, 0, 10);
    acquire(110);
    assert.deepEqual(verdicts(), [Exceeded, Exceeded]);
    assert.deepEqual(
        decisions.map(({ retryAfterMs }) => retryAfterMs),
        [450, 350],
    );
    assert.ok(account.isIdle(110));
    acquire(460, 2);
    assert.deepEqual(verdicts(), [Exceeded, Exceeded, Exceeded]);
    account.applyGrant({ granted: 1, nextTokenMs: 500 }, 460, 470);
    assert.deepEqual(verdicts().slice(3), [Admitted]);
});

// Guards against quota that is lost with requests that were never sent.
test("a refund pays a debt, or returns the token", () => {
    const { account, acquire } = createAccount(1);
    acquire(0);
    account.refund(10);
    assert.equal(account.debt(), 0);
    account.applyGrant({ granted: 1, nextTokenMs: 0 }, 10, 20);
    acquire(30);
    account.refund(40);
    assert.equal(account.tokens(), 1);
});
