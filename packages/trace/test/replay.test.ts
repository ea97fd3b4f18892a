import assert from "node:assert/strict";
import { readFileSync, readdirSync } from "node:fs";
import { test } from "node:test";
import { MemberStatus, Outcome, ReasonCode, SteeringReason } from "@waxwingdale/core";
import { ShiftReason } from "@waxwingdale/steering";
import { TraceRule, checkTrace, parseTrace } from "@waxwingdale/trace";
import type { TraceEvent, TraceEventOf, TraceLine } from "@waxwingdale/trace";

const folder = new URL("traces/", import.meta.url);

/** Reads the traces of all entries of one run. Each call returns a new copy, which a test may modify. */
function readRun(name: string): TraceLine[] {
    return readdirSync(folder)
        .filter(file => file.startsWith(name))
        .flatMap(file => parseTrace(readFileSync(new URL(file, folder), "utf8"), file));
}

function eventsOfType<Type extends TraceEvent["type"]>(
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

/** Asserts that a modified trace violates only this rule, and that a violation refers to the modified event. */
function assertViolates(lines: readonly TraceLine[], rule: TraceRule, modified: TraceEvent): void {
    const violations = checkTrace(lines);
    assert.deepEqual(new Set(violations.map(row => row.rule)), new Set([rule]));
    const { file, line } = lines.find(({ event }) => event === modified)!;
    const locations = violations.flatMap(row => row.lines);
    assert.ok(locations.includes(`${file}:${line}`), `a violation refers to ${file}:${line}`);
}

// 9 requests per second. After 2.5 s, site north-a of the service register is drained; 4 s later, an entry shuts down.
test("a site drain and a graceful shutdown lose no request and violate no rule", () => {
    const lines = readRun("site-drain");
    assert.deepEqual(checkTrace(lines), []);
    const requests = eventsOfType(lines, "request");
    assert.deepEqual(countBy(requests.map(row => row.outcome)), { [Outcome.Ran]: 109 });
    assert.deepEqual(countBy(requests.map(row => row.regionReason)), { [SteeringReason.Home]: 109 });
    const drains = eventsOfType(lines, "drain");
    assert.deepEqual([...new Set(drains.map(row => row.server))].sort(), [
        "register-north-a-1",
        "register-north-a-2",
        "register-north-a-3",
        "register-north-a-4",
    ]);
    assert.deepEqual(countBy(drains.map(row => row.source)), { manifest: 8 });
    assert.deepEqual(countBy(eventsOfType(lines, "manifest").map(row => `generation ${row.generation}`)), {
        "generation 1": 6,
        "generation 2": 6,
    });
    const stopped = eventsOfType(lines, "member").filter(row => row.status === MemberStatus.Leaving);
    assert.deepEqual([...new Set(stopped.map(row => row.id))], ["entry-south-2"]);
});

// 8 requests per second. After 2.5 s, all entries and backend servers of region south are killed.
test("after a region is killed, other regions serve its callers at the rate that the ramp allows", () => {
    const lines = readRun("region-kill");
    assert.deepEqual(checkTrace(lines), []);
    const requests = eventsOfType(lines, "request");
    assert.deepEqual(countBy(requests.map(row => row.outcome)), { [Outcome.Ran]: 70, [Outcome.NotRun]: 79 });
    const rejected = requests.filter(row => row.outcome === Outcome.NotRun);
    assert.deepEqual(countBy(rejected.map(row => row.reason)), { [ReasonCode.ShiftCapReached]: 79 });
    assert.deepEqual(countBy(rejected.map(row => `${row.home} ${row.attempts.length}`)), { "south 0": 79 });
    const shifted = requests.filter(row => row.regionReason === SteeringReason.Plan);
    assert.deepEqual(countBy(shifted.map(row => `${row.home} ${row.outcome}`)), { "south ran": 15 });
    const dead = eventsOfType(lines, "member").filter(row => row.status === MemberStatus.Dead);
    assert.deepEqual([...new Set(dead.map(row => row.region))], ["south"]);
    const last = eventsOfType(lines, "plan").at(-1)!.plan;
    const reasons = last.routes.flatMap(route => route.shifts.map(({ reason }) => `${route.home} ${reason}`));
    assert.deepEqual(new Set(reasons), new Set([`south ${ShiftReason.DeadRegion}`]));
});

// Excerpt of a run at 900 requests per second in which servers were killed. A request on an idempotent route lost its
// connection, was retried and rejected as overloaded, and was then reported to its caller as not-run.
test("requests of a recorded run that were wrongly reported as not-run are detected", () => {
    const lines = readRun("backend-kill");
    const violations = checkTrace(lines);
    assert.deepEqual(countBy(violations.map(row => row.rule)), {
        [TraceRule.OutcomeNotRun]: eventsOfType(lines, "request").length,
    });
    assert.ok(violations.length > 0, "the excerpt has requests");
});

// (a) Guards against a caller that retries a request which has already run.
test("the outcome not-run after an attempt that may have run is detected", () => {
    const lines = readRun("region-kill");
    const request = eventsOfType(lines, "request").find(row => row.attempts.length > 0)!;
    request.outcome = Outcome.NotRun;
    request.attempts[0]!.result = ReasonCode.BackendConnectionLost;
    assertViolates(lines, TraceRule.OutcomeNotRun, request);
    request.attempts[0]!.result = ReasonCode.BackendRefused;
    assert.deepEqual(checkTrace(lines), [], "not-run is correct after a rejection");
});

// (b) Guards against two entries that run requests with the same idempotency key.
test("an idempotency key that ran twice is detected", () => {
    const lines = readRun("site-drain");
    const [first, second] = eventsOfType(lines, "request").filter(row => row.keyHash !== undefined);
    second!.keyHash = first!.keyHash;
    assertViolates(lines, TraceRule.KeyRanTwice, second!);
    Object.assign(second!, { attempts: [], replayed: true, reason: ReasonCode.Replayed });
    assert.deepEqual(checkTrace(lines), [], "a replayed response is not a second run");
    const { attempts } = first!;
    Object.assign(second!, { attempts, outcome: Outcome.Unknown, reason: ReasonCode.DeadlineExceeded });
    second!.attempts = [{ ...attempts[0]!, result: ReasonCode.DeadlineExceeded }];
    assertViolates(lines, TraceRule.KeyRanTwice, second!);
});

// (c) Guards against entries that each stay within their share but together exceed the cap.
test("shifted requests of all entries that together exceed the cap are detected", () => {
    const lines = readRun("region-kill");
    const shifted = eventsOfType(lines, "request").filter(row => row.regionReason === SteeringReason.Plan);
    const toNorth = shifted.filter(row => row.region === "north");
    assert.ok(new Set(toNorth.map(row => row.entry)).size > 1, "more than one entry shifts requests");
    const start = toNorth[0]!.time;
    for (const [i, row] of toNorth.entries()) {
        row.time = start + i * 10;
        row.attempts.forEach(attempt => (attempt.waitedMs = 0));
    }
    for (const { manifest } of eventsOfType(lines, "manifest")) {
        const cap = manifest.shiftCaps.find(row => row.from === "south" && row.to === "north")!;
        cap.maxRequestsPerSecond = toNorth.length;
    }
    const rules = () => checkTrace(lines).map(row => row.rule);
    assert.ok(!rules().includes(TraceRule.ShiftCap), "the cap itself may be reached");
    for (const { manifest } of eventsOfType(lines, "manifest")) {
        manifest.shiftCaps.find(row => row.from === "south" && row.to === "north")!.maxRequestsPerSecond--;
    }
    assert.ok(rules().includes(TraceRule.ShiftCap), "one request above the cap is detected");
    toNorth.at(-1)!.time = start + 999;
    assert.ok(rules().includes(TraceRule.ShiftCap), "still within one second");
    toNorth.at(-1)!.time = start + 1000;
    assert.ok(!rules().includes(TraceRule.ShiftCap), "the window is one second");
});

// (d) Guards against a planner whose decisions depend on more than its input.
test("a plan that differs from the replay of its input is detected", () => {
    const lines = readRun("region-kill");
    const plan = eventsOfType(lines, "plan").find(row =>
        row.plan.routes.some(route => route.shifts.length > 0),
    )!;
    plan.plan.routes.find(route => route.shifts.length > 0)!.shifts[0]!.perSecond *= 0.99;
    const violations = checkTrace(lines);
    assert.ok(
        violations.some(row => row.rule === TraceRule.PlanDiffers),
        "the changed route is detected",
    );
});

// (d) Guards against a former planner whose plan replaces that of its successor.
test("a plan applied after a newer one and two plans with the same position are detected", () => {
    const lines = readRun("region-kill");
    const applied = eventsOfType(lines, "applied").filter(row => row.entry === "entry-north-1");
    const epoch = applied.at(-1)!.epoch;
    Object.assign(applied[1]!, { epoch: epoch + 1 });
    assertViolates(lines, TraceRule.PlanOrder, applied[1]!);
    Object.assign(applied[1]!, { epoch });
    const [first, second] = eventsOfType(lines, "plan");
    second!.plan.step = first!.plan.step;
    assertViolates(lines, TraceRule.PlanOrder, second!);
});

// (e) Guards against a plan that moves an overload to another region instead of resolving it.
test("a plan that overloads a region is detected", () => {
    const lines = readRun("region-kill");
    const plan = eventsOfType(lines, "plan").at(-1)!;
    plan.plan.routes.find(route => route.home === "north")!.homePerSecond = 1e6;
    const violations = checkTrace(lines).filter(row => row.rule === TraceRule.Overplanned);
    assert.equal(violations.length, 1);
});

// (f) Guards against an entry that is not informed of a drain.
test("a request sent to a server more than 5 s after its drain started is detected", () => {
    const lines = readRun("site-drain");
    const [drain] = eventsOfType(lines, "drain").sort((a, b) => a.time - b.time);
    const request = eventsOfType(lines, "request").find(
        row => row.service === "register" && row.home === "north",
    )!;
    const [attempt] = request.attempts;
    attempt!.target = drain!.server;
    request.time = drain!.time + 5000 - attempt!.waitedMs;
    assert.deepEqual(checkTrace(lines), [], "requests are allowed for 5 s");
    request.time += 1;
    assertViolates(lines, TraceRule.LateForDrain, request);
    lines.push({ ...lines[0]!, event: { ...drain!, time: drain!.time + 4000, draining: false } });
    assert.deepEqual(checkTrace(lines), [], "the drain ended before the request");
});

// (g) Guards against an entry that returns to a manifest that was replaced.
test("a manifest generation that does not increase is detected", () => {
    const lines = readRun("site-drain");
    const [first, second] = eventsOfType(lines, "manifest").filter(row => row.entry === "entry-north-1");
    assert.deepEqual([first!.generation, second!.generation], [1, 2]);
    second!.generation = 1;
    assertViolates(lines, TraceRule.GenerationOrder, second!);
});

// Guards against a check that passes because the trace is missing the data it needs.
test("plans and shifts without any manifest are reported as incomplete", () => {
    const lines = readRun("region-kill").filter(({ event }) => event.type !== "manifest");
    const rules = new Set(checkTrace(lines).map(row => row.rule));
    assert.deepEqual(rules, new Set([TraceRule.Incomplete]));
});
