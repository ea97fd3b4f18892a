import assert from "node:assert/strict";
import { readFileSync, readdirSync } from "node:fs";
import { test } from "node:test";
import { MemberStatus, Outcome, ReasonCode, SteeringReason } from "@waxwingdale/core";
import { ShiftReason } from "@waxwingdale/steering";
import { TraceRule, checkTrace, parseTrace } from "@waxwingdale/trace";
import type { TraceEvent, TraceEventOf, TraceLine } from "@waxwingdale/trace";

const folder = new URL("traces/", import.meta.url);

/** Reads the traces that the entries of one run recorded. Each call returns a new copy, which a test may alter. */
function readRun(name: string): TraceLine[] {
    return readdirSync(folder)
        .filter(file => file.startsWith(name))
        .flatMap(file => parseTrace(readFileSync(new URL(file, folder), "utf8"), file));
}

function pick<Type extends TraceEvent["type"]>(
    lines: readonly TraceLine[],
    type: Type,
): TraceEventOf<Type>[] {
    return lines.map(({ event }) => event).filter(event => event.type === type) as TraceEventOf<Type>[];
}

function countBy(values: readonly (string | undefined)[]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const value of values) {
        counts[value ?? "none"] = (counts[value ?? "none"] ?? 0) + 1;
    }
    return counts;
}

/** Checks that an altered trace breaks one rule, at the line of the altered event. */
function assertBreaks(lines: readonly TraceLine[], rule: TraceRule, altered: TraceEvent): void {
    const violations = checkTrace(lines);
    assert.deepEqual(new Set(violations.map(row => row.rule)), new Set([rule]));
    const { file, line } = lines.find(({ event }) => event === altered)!;
    const named = violations.flatMap(row => row.lines);
    assert.ok(named.includes(`${file}:${line}`), `the violation names ${file}:${line}`);
}

// 9 requests per second; 2.5 s after the start the site north-a of the register is drained, 4 s later an entry stops.
test("a site drain and a planned stop lose nothing and keep every rule", () => {
    const lines = readRun("site-drain");
    assert.deepEqual(checkTrace(lines), []);
    const requests = pick(lines, "request");
    assert.deepEqual(countBy(requests.map(row => row.outcome)), { [Outcome.Ran]: 109 });
    assert.deepEqual(countBy(requests.map(row => row.regionReason)), { [SteeringReason.Home]: 109 });
    const drains = pick(lines, "drain");
    assert.deepEqual([...new Set(drains.map(row => row.server))].sort(), [
        "register-north-a-1",
        "register-north-a-2",
        "register-north-a-3",
        "register-north-a-4",
    ]);
    assert.deepEqual(countBy(drains.map(row => row.source)), { manifest: 8 });
    assert.deepEqual(countBy(pick(lines, "manifest").map(row => `generation ${row.generation}`)), {
        "generation 1": 6,
        "generation 2": 6,
    });
    const stopped = pick(lines, "member").filter(row => row.status === MemberStatus.Leaving);
    assert.deepEqual([...new Set(stopped.map(row => row.id))], ["entry-south-2"]);
});

// 8 requests per second; 2.5 s after the start all entries and backend servers of the region south are killed.
test("after the kill of a region its callers are served elsewhere, paced by the ramp", () => {
    const lines = readRun("region-kill");
    assert.deepEqual(checkTrace(lines), []);
    const requests = pick(lines, "request");
    assert.deepEqual(countBy(requests.map(row => row.outcome)), { [Outcome.Ran]: 70, [Outcome.NotRun]: 79 });
    const refused = requests.filter(row => row.outcome === Outcome.NotRun);
    assert.deepEqual(countBy(refused.map(row => row.reason)), { [ReasonCode.ShiftCapReached]: 79 });
    assert.deepEqual(countBy(refused.map(row => `${row.home} ${row.attempts.length}`)), { "south 0": 79 });
    const shifted = requests.filter(row => row.regionReason === SteeringReason.Plan);
    assert.deepEqual(countBy(shifted.map(row => `${row.home} ${row.outcome}`)), { "south ran": 15 });
    const dead = pick(lines, "member").filter(row => row.status === MemberStatus.Dead);
    assert.deepEqual([...new Set(dead.map(row => row.region))], ["south"]);
    const last = pick(lines, "plan").at(-1)!.plan;
    const reasons = last.routes.flatMap(route => route.shifts.map(({ reason }) => `${route.home} ${reason}`));
    assert.deepEqual(new Set(reasons), new Set([`south ${ShiftReason.DeadRegion}`]));
});

// Excerpt of a run at 900 requests per second in which servers were killed. A request of an idempotent route lost its
// connection, was sent again, was refused as overloaded, and its caller was told not-run.
test("a recorded run in which not-run was told wrongly is found", () => {
    const lines = readRun("backend-kill");
    const violations = checkTrace(lines);
    assert.deepEqual(countBy(violations.map(row => row.rule)), {
        [TraceRule.OutcomeNotRun]: pick(lines, "request").length,
    });
    assert.ok(violations.length > 0, "the excerpt has requests");
});

// (a) Guards against a caller that sends a request again which has run.
test("an answer not-run after an attempt that may have run is found", () => {
    const lines = readRun("region-kill");
    const request = pick(lines, "request").find(row => row.attempts.length > 0)!;
    request.outcome = Outcome.NotRun;
    request.attempts[0]!.result = ReasonCode.BackendConnectionLost;
    assertBreaks(lines, TraceRule.OutcomeNotRun, request);
    request.attempts[0]!.result = ReasonCode.BackendRefused;
    assert.deepEqual(checkTrace(lines), [], "a certain refusal allows not-run");
});

// (b) Guards against an idempotency key that runs at two entries.
test("a key that ran twice is found", () => {
    const lines = readRun("site-drain");
    const [first, second] = pick(lines, "request").filter(row => row.keyHash !== undefined);
    second!.keyHash = first!.keyHash;
    assertBreaks(lines, TraceRule.KeyRanTwice, second!);
    Object.assign(second!, { attempts: [], replayed: true, reason: ReasonCode.Replayed });
    assert.deepEqual(checkTrace(lines), [], "a replayed answer is no second run");
    const { attempts } = first!;
    Object.assign(second!, { attempts, outcome: Outcome.Unknown, reason: ReasonCode.DeadlineExceeded });
    second!.attempts = [{ ...attempts[0]!, result: ReasonCode.DeadlineExceeded }];
    assertBreaks(lines, TraceRule.KeyRanTwice, second!);
});

// (c) Guards against entries that each keep their share and together pass the cap.
test("more shifted requests in a second than the cap are found over all entries", () => {
    const lines = readRun("region-kill");
    const shifted = pick(lines, "request").filter(row => row.regionReason === SteeringReason.Plan);
    const toNorth = shifted.filter(row => row.region === "north");
    assert.ok(new Set(toNorth.map(row => row.entry)).size > 1, "two entries shift");
    const start = toNorth[0]!.time;
    for (const [i, row] of toNorth.entries()) {
        row.time = start + i * 10;
        row.attempts.forEach(attempt => (attempt.waitedMs = 0));
    }
    for (const { manifest } of pick(lines, "manifest")) {
        const cap = manifest.shiftCaps.find(row => row.from === "south" && row.to === "north")!;
        cap.maxRequestsPerSecond = toNorth.length;
    }
    const rules = () => checkTrace(lines).map(row => row.rule);
    assert.ok(!rules().includes(TraceRule.ShiftCap), "as many as the cap are allowed");
    for (const { manifest } of pick(lines, "manifest")) {
        manifest.shiftCaps.find(row => row.from === "south" && row.to === "north")!.maxRequestsPerSecond--;
    }
    assert.ok(rules().includes(TraceRule.ShiftCap), "one more is found");
    toNorth.at(-1)!.time = start + 999;
    assert.ok(rules().includes(TraceRule.ShiftCap), "still within one second");
    toNorth.at(-1)!.time = start + 1000;
    assert.ok(!rules().includes(TraceRule.ShiftCap), "the window is one second");
});

// (d) Guards against a planner whose decisions depend on more than its input.
test("a plan that its input does not give is found", () => {
    const lines = readRun("region-kill");
    const plan = pick(lines, "plan").find(row => row.plan.routes.some(route => route.shifts.length > 0))!;
    plan.plan.routes.find(route => route.shifts.length > 0)!.shifts[0]!.perSecond *= 0.99;
    const violations = checkTrace(lines);
    assert.ok(
        violations.some(row => row.rule === TraceRule.PlanDiffers),
        "the changed route is found",
    );
});

// (d) Guards against a former planner whose plan replaces the one of its successor.
test("a plan applied after a newer one is found, and two plans of one position", () => {
    const lines = readRun("region-kill");
    const applied = pick(lines, "applied").filter(row => row.entry === "entry-north-1");
    const epoch = applied.at(-1)!.epoch;
    Object.assign(applied[1]!, { epoch: epoch + 1 });
    assertBreaks(lines, TraceRule.PlanOrder, applied[1]!);
    Object.assign(applied[1]!, { epoch });
    const [first, second] = pick(lines, "plan");
    second!.plan.step = first!.plan.step;
    assertBreaks(lines, TraceRule.PlanOrder, second!);
});

// (e) Guards against a plan that moves an overload instead of ending it.
test("a plan that overloads a region is found", () => {
    const lines = readRun("region-kill");
    const plan = pick(lines, "plan").at(-1)!;
    plan.plan.routes.find(route => route.home === "north")!.homePerSecond = 1e6;
    const violations = checkTrace(lines).filter(row => row.rule === TraceRule.Overplanned);
    assert.equal(violations.length, 1);
});

// (f) Guards against an entry that does not hear of a drain.
test("a request to a server more than 5 s after its drain is found", () => {
    const lines = readRun("site-drain");
    const [drain] = pick(lines, "drain").sort((a, b) => a.time - b.time);
    const request = pick(lines, "request").find(row => row.service === "register" && row.home === "north")!;
    const [attempt] = request.attempts;
    attempt!.target = drain!.server;
    request.time = drain!.time + 5000 - attempt!.waitedMs;
    assert.deepEqual(checkTrace(lines), [], "5 s are allowed");
    request.time += 1;
    assertBreaks(lines, TraceRule.LateForDrain, request);
    lines.push({ ...lines[0]!, event: { ...drain!, time: drain!.time + 4000, draining: false } });
    assert.deepEqual(checkTrace(lines), [], "the drain ended before");
});

// (g) Guards against an entry that goes back to a manifest that was replaced.
test("a generation that goes back is found", () => {
    const lines = readRun("site-drain");
    const [first, second] = pick(lines, "manifest").filter(row => row.entry === "entry-north-1");
    assert.deepEqual([first!.generation, second!.generation], [1, 2]);
    second!.generation = 1;
    assertBreaks(lines, TraceRule.GenerationOrder, second!);
});

// Guards against a check that passes because the trace lacks what it needs.
test("plans and shifts without any manifest are reported as incomplete", () => {
    const lines = readRun("region-kill").filter(({ event }) => event.type !== "manifest");
    const rules = new Set(checkTrace(lines).map(row => row.rule));
    assert.deepEqual(rules, new Set([TraceRule.Incomplete]));
});
