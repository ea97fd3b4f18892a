/** Guards against metrics whose number of time series grows with the configured routes. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestKind } from "@waxwingdale/balancing";
import { AccessDenial, RequestOutcome, ResponseMismatch } from "@waxwingdale/relay";
import type { RequestRecord } from "@waxwingdale/relay";
import { createGatewayMetrics } from "../src/gateway-metrics.js";

function createRecord(fields: Partial<RequestRecord>): RequestRecord {
    return {
        requestId: "aa",
        route: "r-1",
        kind: RequestKind.Idempotent,
        service: "files",
        workspace: undefined,
        object: "",
        outcome: RequestOutcome.Answered,
        status: 200,
        reason: "",
        configVersion: 1,
        unreadMs: 0,
        waitedMs: 0,
        tookMs: 20,
        deadlineMs: 1000,
        attempts: [
            {
                server: "i-1",
                zone: "n-a",
                result: "status 200",
                expectedMs: 20,
                tookMs: 20,
                writtenAfterMs: 0,
                wasCallerPaused: false,
                isReused: true,
            },
        ],
        ...fields,
    };
}

test("the number of time series does not grow with routes and servers", async () => {
    const metrics = createGatewayMetrics();
    const countSeries = async () =>
        (await metrics.registry.metrics()).split("\n").filter(line => !line.startsWith("#")).length;
    metrics.observe(createRecord({}));
    const before = await countSeries();
    for (let i = 0; i < 200; i++) {
        const attempts = createRecord({}).attempts.map(attempt => ({ ...attempt, server: `i-${i}` }));
        metrics.observe(createRecord({ route: `r-${i}`, object: `o-${i}`, attempts }));
    }
    assert.equal(await countSeries(), before);
});

test("counts a lost response by its kind of failure, without the detail", async () => {
    const metrics = createGatewayMetrics();
    const [attempt] = createRecord({}).attempts;
    metrics.observe(
        createRecord({
            outcome: RequestOutcome.Failed,
            status: 502,
            attempts: [{ ...attempt!, result: "cut: read ECONNRESET" }],
        }),
    );
    const text = await metrics.registry.metrics();
    assert.match(text, /attempts_total\{service="files",zone="n-a",result="cut"\} 1/);
    assert.match(text, /requests_total\{kind="idempotent",service="files",outcome="failed",status="502"\} 1/);
});

test("counts requests rejected for their key by reason", async () => {
    const metrics = createGatewayMetrics();
    metrics.observe(createRecord({ outcome: RequestOutcome.Unauthorized, denial: AccessDenial.UnknownKey }));
    metrics.observe(createRecord({ outcome: RequestOutcome.Refused, denial: AccessDenial.StaleView }));
    metrics.observe(createRecord({}));
    const text = await metrics.registry.metrics();
    assert.match(text, /key_rejections_total\{reason="unknown-key"\} 1/);
    assert.match(text, /key_rejections_total\{reason="stale-view"\} 1/);
});

test("counts skipped responses by service and reason", async () => {
    const metrics = createGatewayMetrics();
    metrics.countSkipped("files", {
        mismatch: ResponseMismatch.NoId,
        requestId: "a",
        responseIds: [],
        status: 500,
        isReused: true,
    });
    const text = await metrics.registry.metrics();
    assert.match(text, /skipped_responses_total\{service="files",reason="no-id"\} 1/);
});

// Guards against the spread of a service that a new configuration no longer has.
test("the spread of slots in use is reported for the current services", async () => {
    const metrics = createGatewayMetrics();
    let spreads = new Map([["files", 0.25]]);
    metrics.addUtilizationSpreads(() => spreads);
    assert.match(
        await metrics.registry.metrics(),
        /waxwingdale_gateway_utilization_spread\{service="files"\} 0\.25/,
    );
    spreads = new Map([["mail", 0.5]]);
    const text = await metrics.registry.metrics();
    assert.match(text, /utilization_spread\{service="mail"\} 0\.5/);
    assert.doesNotMatch(text, /utilization_spread\{service="files"\}/);
});

// Guards against counters that add up the totals again with each collection.
test("quota totals are read at collection time, without names of workspaces", async () => {
    const metrics = createGatewayMetrics();
    const totals = { rejected: 3, unavailable: 1, borrowed: 70, calls: 9, debt: 2 };
    metrics.addQuotaTotals(() => totals);
    await metrics.registry.metrics();
    const text = await metrics.registry.metrics();
    const values = text.split("\n").filter(line => line.startsWith("waxwingdale_gateway_quota_"));
    assert.deepEqual(values, [
        "waxwingdale_gateway_quota_rejections_total 3",
        "waxwingdale_gateway_quota_unknown_total 1",
        "waxwingdale_gateway_quota_borrowed_tokens_total 70",
        "waxwingdale_gateway_quota_calls_total 9",
        "waxwingdale_gateway_quota_debt 2",
    ]);
});
