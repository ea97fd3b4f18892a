/** Prediction of how long a drain takes, for the check of a manifest before it is pushed. */
import type { DrainSpec } from "@waxwingdale/manifest";
import { planTraffic } from "./plan-traffic.js";
import type { Plan, PlanBound, PlanInput } from "./plan-types.js";

export interface DrainPrediction {
    /** Seconds from the drain's start until the traffic has moved as far as the limits let it. */
    seconds: number;
    /** Traffic that no other region takes: it stays on the drained place. */
    waitingPerSecond: number;
    /** Traffic that neither the drained place nor another region can carry. */
    unplacedPerSecond: number;
    /** Limits that hold the rest back. */
    bounds: PlanBound[];
}

/** Longest drain that is predicted. */
const maxSeconds = 4 * 3600;
/** A change of the plan below this rate, in requests per second, counts as none. */
const settledRate = 1e-3;

/**
 * Runs planning steps from the drain's start with unchanged demand, capacity and reports. The input is that of the
 * moment before the drain; `secondsSincePrevious` and `wallTime` are ignored.
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
