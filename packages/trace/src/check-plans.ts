/** Checks of the planner: replay of its decisions, order of its plans, and planned load. */
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

/** Rates below this are rounding errors. */
const minRate = 1e-6;

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
            `the input of plan ${describePosition(plan)} gives another route for ${route.service} of ${route.home}`,
            line,
        ),
    );
    if (replayed.routes.length > plan.routes.length) {
        const message = `plan ${describePosition(plan)} lacks routes that its input gives`;
        violations.push(createViolation(TraceRule.PlanDiffers, message, line));
    }
    return [...violations, ...checkLoads(line, manifest)];
}

/** Compares values as they are after a way through JSON, which drops fields that are undefined. */
function isSameJson(a: unknown, b: unknown): boolean {
    const copy = (value: unknown) => JSON.parse(JSON.stringify(value ?? {})) as unknown;
    return isDeepStrictEqual(copy(a), copy(b));
}

function checkLoads(line: PlanLine, manifest: Manifest): TraceViolation[] {
    const { plan, input } = line.event;
    return plan.routes
        .filter(route => !route.held)
        .flatMap(({ service, home }) => {
            const load = computeLoad(plan, service, home);
            const usable = computeUsable(input, manifest, service, home);
            if (load <= usable + minRate) {
                return [];
            }
            const message = `plan ${describePosition(plan)} puts ${load.toFixed(1)} requests per second of ${service} on ${home}, which carries ${usable.toFixed(1)}`;
            return [createViolation(TraceRule.Overplanned, message, line)];
        });
}

function computeLoad(plan: PlanObject, service: string, region: string): number {
    const routes = plan.routes.filter(route => route.service === service);
    return routes.reduce((sum, route) => {
        const own = route.home === region ? route.homePerSecond : 0;
        const shifted = route.shifts.filter(shift => shift.region === region);
        return shifted.reduce((total, { perSecond }) => total + perSecond, sum + own);
    }, 0);
}

/** Drained servers still carry what cannot leave yet. */
function computeUsable(
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

/** A position names one plan: two planners that store different ones at one position broke the lease. */
function checkPositions(plans: readonly PlanLine[]): TraceViolation[] {
    const known = new Map<string, PlanLine>();
    return plans.flatMap(line => {
        const position = describePosition(line.event.plan);
        const other = known.get(position);
        known.set(position, other ?? line);
        if (other === undefined || isSameJson(other.event.plan, line.event.plan)) {
            return [];
        }
        return [createViolation(TraceRule.PlanOrder, `two plans have position ${position}`, other, line)];
    });
}

/** Checks that one recording applies its plans in their order. */
export function checkAppliedPlans(recording: readonly TraceLine[]): TraceViolation[] {
    const lines = pickLines(recording, "applied");
    const toPlan = ({ event }: (typeof lines)[number]) => ({ ...event, generation: 0, routes: [] });
    return lines.flatMap((line, i) => {
        const before = lines[i - 1];
        if (before === undefined || isNewerPlan(toPlan(line), toPlan(before))) {
            return [];
        }
        const message = `entry ${line.event.entry} applied plan ${describePosition(line.event)} after ${describePosition(before.event)}`;
        return [createViolation(TraceRule.PlanOrder, message, before, line)];
    });
}

function describePosition({ epoch, step }: { epoch: number; step: number }): string {
    return `(${epoch}, ${step})`;
}
