/** Checks the planner: replays its decisions, and checks the order of its plans and the planned load. */
import { isDeepStrictEqual } from "node:util";
import type { Manifest } from "@waxwingdale/manifest";
import { computeCapacities, isNewerPlan, planTraffic } from "@waxwingdale/steering";
import type { CapacityReport, PlanObject } from "@waxwingdale/steering";
import { pickLines } from "./trace-lines.js";
import type { LinesOf } from "./trace-lines.js";
import type { TraceLine } from "./parse-trace.js";
import { TraceRule, createViolation } from "./violation.js";
import type { TraceViolation } from "./violation.js";

type PlanLine = LinesOf<"plan">[number];
type PlanEvent = PlanLine["event"];

/** Differences below this, in requests per second, are rounding errors. */
const rateTolerance = 1e-6;

export function checkPlans(merged: readonly TraceLine[]): TraceViolation[] {
    const manifests = new Map(
        pickLines(merged, "manifest").map(({ event }) => [event.generation, event.manifest]),
    );
    const plans = pickLines(merged, "plan");
    return [
        ...plans.flatMap(line => checkPlan(line, manifests.get(line.event.plan.generation))),
        ...checkPositions(plans),
    ];
}

function checkPlan(line: PlanLine, manifest: Manifest | undefined): TraceViolation[] {
    const { plan } = line.event;
    if (manifest === undefined) {
        const message = `no trace has the manifest of generation ${plan.generation}`;
        return [createViolation(TraceRule.Incomplete, message, line)];
    }
    const replayed = planTraffic({
        ...line.event.input,
        manifest,
        deadRegions: new Set(line.event.input.deadRegions),
        previous: line.event.input.previous,
    });
    const differing = plan.routes.filter((route, i) => !isSameJson(route, replayed.routes[i]));
    const violations = differing.map(route =>
        createViolation(
            TraceRule.PlanDiffers,
            `replaying plan ${describePosition(plan)} gives a different route for ${route.service} of ${route.home}`,
            line,
        ),
    );
    if (replayed.routes.length > plan.routes.length) {
        const message = `replaying plan ${describePosition(plan)} gives routes that are missing from it`;
        violations.push(createViolation(TraceRule.PlanDiffers, message, line));
    }
    return [...violations, ...checkLoads(line, manifest)];
}

/** Compares values after a round trip through JSON, which drops undefined fields. */
function isSameJson(a: unknown, b: unknown): boolean {
    const roundTrip = (value: unknown) => JSON.parse(JSON.stringify(value ?? {})) as unknown;
    return isDeepStrictEqual(roundTrip(a), roundTrip(b));
}

function checkLoads(line: PlanLine, manifest: Manifest): TraceViolation[] {
    const { plan, input } = line.event;
    return plan.routes
        .filter(route => !route.held)
        .flatMap(({ service, home }) => {
            const load = computeLoad(plan, service, home);
            const usable = computeUsableCapacity(input, manifest, service, home);
            if (load <= usable + rateTolerance) {
                return [];
            }
            const message = `plan ${describePosition(plan)} assigns ${load.toFixed(1)} requests per second of ${service} to ${home}, whose capacity is ${usable.toFixed(1)}`;
            return [createViolation(TraceRule.Overplanned, message, line)];
        });
}

function computeLoad(plan: PlanObject, service: string, region: string): number {
    const routes = plan.routes.filter(route => route.service === service);
    return routes.reduce((sum, route) => {
        const homeRate = route.home === region ? route.homePerSecond : 0;
        const shifted = route.shifts.filter(shift => shift.region === region);
        return shifted.reduce((total, { perSecond }) => total + perSecond, sum + homeRate);
    }, 0);
}

/** Includes draining servers, which still handle the traffic that cannot be moved yet. */
function computeUsableCapacity(
    input: PlanEvent["input"],
    manifest: Manifest,
    service: string,
    region: string,
): number {
    const spec = manifest.services.find(({ name }) => name === service);
    if (spec === undefined || input.deadRegions.includes(region)) {
        return 0;
    }
    const reports = new Map<string, CapacityReport>();
    for (const report of input.capacities.filter(row => row.service === service)) {
        const known = reports.get(report.site);
        if (known === undefined || report.ageMs < known.ageMs) {
            reports.set(report.site, report);
        }
    }
    const capacity = computeCapacities(manifest, spec, reports, input.wallTime).get(region);
    return capacity === undefined ? 0 : capacity.undrainedRate + capacity.draining;
}

/** A position identifies one plan. Two planners that store different plans for a position violate the lease. */
function checkPositions(plans: readonly PlanLine[]): TraceViolation[] {
    const known = new Map<string, PlanLine>();
    return plans.flatMap(line => {
        const position = describePosition(line.event.plan);
        const existing = known.get(position);
        known.set(position, existing ?? line);
        if (existing === undefined || isSameJson(existing.event.plan, line.event.plan)) {
            return [];
        }
        return [createViolation(TraceRule.PlanOrder, `two plans have position ${position}`, existing, line)];
    });
}

/** Checks that the entry of a recording applied plans in order. */
export function checkAppliedPlans(recording: readonly TraceLine[]): TraceViolation[] {
    const lines = pickLines(recording, "applied");
    const toPlan = ({ event }: (typeof lines)[number]) => ({ ...event, generation: 0, routes: [] });
    return lines.flatMap((line, i) => {
        const previousLine = lines[i - 1];
        if (previousLine === undefined || isNewerPlan(toPlan(line), toPlan(previousLine))) {
            return [];
        }
        const message = `entry ${line.event.entry} applied plan ${describePosition(line.event)} after ${describePosition(previousLine.event)}`;
        return [createViolation(TraceRule.PlanOrder, message, previousLine, line)];
    });
}

function describePosition({ epoch, step }: { epoch: number; step: number }): string {
    return `(${epoch}, ${step})`;
}
