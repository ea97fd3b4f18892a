/** Predicts how long a drain takes, to check a manifest before it is pushed. */
import type { DrainSpec } from "@waxwingdale/manifest";
import { planTraffic } from "./plan-traffic.js";
import type { Plan, PlanBound, PlanInput } from "./plan-types.js";

export interface DrainPrediction {
    /** Seconds from the start of the drain until the limits allow no further shift. */
    seconds: number;
    /** Traffic that no other region can accept and that therefore remains at the drained place. */
    waitingPerSecond: number;
    /** Traffic that neither the drained place nor another region can handle. */
    unplacedPerSecond: number;
    /** Limits that prevent further shifts. */
    bounds: PlanBound[];
}

/** Maximum duration that is predicted, in seconds. */
const maxSeconds = 4 * 3600;
/** Change of the shifted rate below which the plan is considered settled, in requests per second. */
const settledRate = 1e-3;

/**
 * Simulates planning steps from the start of the drain with constant demand, capacity and report ages. `input` is the
 * state right before the drain; its `secondsSincePrevious` and `wallTime` are ignored.
 */
export function predictDrain(input: PlanInput, drain: DrainSpec): DrainPrediction {
    const startsAt = Date.parse(drain.startsAt);
    let previous = planTraffic({ ...input, wallTime: startsAt - 1, secondsSincePrevious: 1 });
    for (let seconds = 1; seconds <= maxSeconds; seconds++) {
        const plan = planTraffic({ ...input, previous, wallTime: startsAt, secondsSincePrevious: 1 });
        if (Math.abs(sumShifts(plan) - sumShifts(previous)) < settledRate) {
            return summarize(plan, seconds - 1);
        }
        previous = plan;
    }
    return summarize(previous, maxSeconds);
}

function sumShifts(plan: Plan): number {
    return plan.routes.flatMap(route => route.shifts).reduce((sum, shift) => sum + shift.perSecond, 0);
}

function summarize(plan: Plan, seconds: number): DrainPrediction {
    return {
        seconds,
        waitingPerSecond: plan.routes.reduce((sum, route) => sum + route.waitingPerSecond, 0),
        unplacedPerSecond: plan.routes.reduce((sum, route) => sum + route.unplacedPerSecond, 0),
        bounds: plan.routes.flatMap(route => route.bounds),
    };
}
