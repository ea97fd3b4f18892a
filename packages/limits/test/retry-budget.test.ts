import assert from "node:assert/strict";
import { test } from "node:test";
import { createRetryBudget } from "@waxwingdale/limits";
import fc from "fast-check";

// Guards against retries multiplying the load when every request fails.
test("retries stay within the ratio of requests plus the initial allowance", () => {
    const shares = fc.double({ min: 0, max: 1, noNaN: true });
    const steps = fc.array(fc.boolean(), { maxLength: 500 });
    fc.assert(
        fc.property(shares, steps, (share, isRequest) => {
            const budget = createRetryBudget(share, { initialTokens: 2 });
            let requests = 0;
            let retries = 0;
            for (const isFirst of isRequest) {
                if (isFirst) {
                    budget.countRequest();
                    requests++;
                } else if (budget.tryRetry()) {
                    retries++;
                }
                assert.ok(retries <= share * requests + (share === 0 ? 0 : 2) + 1e-6);
            }
        }),
    );
});

// Guards against a burst of retries after a long period without failures.
test("unused retries accumulate up to a limit", () => {
    const budget = createRetryBudget(0.5, { maxTokens: 4 });
    for (let count = 0; count < 1000; count++) {
        budget.countRequest();
    }
    let retries = 0;
    while (budget.tryRetry()) {
        retries++;
    }
    assert.equal(retries, 4);
});

// Guards against a ratio given as a percentage.
test("a ratio above 1 is rejected", () => {
    assert.throws(() => createRetryBudget(10), /from 0 to 1/);
});
