/** Guards against a workspace that is served far less than the others without anybody noticing. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createLogger, createManualClock } from "@waxwingdale/core";
import { RequestOutcome } from "@waxwingdale/relay";
import type { RequestRecord } from "@waxwingdale/relay";
import { createServedShares } from "../src/served-shares.js";

function setUp() {
    const clock = createManualClock(100_000);
    const lines: string[] = [];
    const shares = createServedShares(clock, createLogger(clock, { write: line => lines.push(line) }));
    const observe = (workspace: string | undefined, outcome: RequestOutcome, count: number, status = 503) => {
        for (let index = 0; index < count; index++) {
            shares.observe({ workspace, outcome, status } as RequestRecord);
        }
    };
    return { clock, lines, shares, observe };
}

test("the worst-served tenth of the workspaces is measured, and logged at most every 30 s", () => {
    const { clock, lines, shares, observe } = setUp();
    const serveAll = () => {
        for (let index = 0; index < 19; index++) {
            observe(`w-${index}`, RequestOutcome.Answered, 30);
        }
        observe("starved", RequestOutcome.Answered, 6);
        observe("starved", RequestOutcome.Refused, 24);
    };
    serveAll();
    assert.equal(shares.worstShare(), (1 + 0.2) / 2, "two of twenty workspaces are a tenth");
    observe("w-0", RequestOutcome.TimedOut, 270);
    assert.ok(Math.abs(shares.worstShare() - (0.1 + 0.2) / 2) < 1e-9);
    for (let index = 0; index < 4; index++) {
        clock.jump(5000);
        serveAll();
    }
    assert.equal(lines.length, 1);
    assert.match(
        lines[0]!,
        /workspaces-served-unevenly worstShare=0.15 shareOfAll=0.6\d worst=w-0 workspaces=20/,
    );
    clock.jump(60_000);
    assert.equal(shares.worstShare(), 1, "the window is over");
});

// Guards against alarms about callers that are themselves the reason.
test("requests over the quota, malformed ones and those of few requests do not count", () => {
    const { shares, observe } = setUp();
    observe("over", RequestOutcome.Answered, 20, 200);
    observe("over", RequestOutcome.QuotaExceeded, 100, 429);
    observe("over", RequestOutcome.Refused, 100, 413);
    observe("over", RequestOutcome.CallerLeft, 100, 0);
    observe("few", RequestOutcome.Refused, 19);
    observe(undefined, RequestOutcome.Refused, 100);
    assert.equal(shares.worstShare(), 1);
});
