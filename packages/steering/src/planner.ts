/** Computes and stores the traffic plan while this entry holds the planner lease. */
import { StoreConflictError, StoreOutcomeUnknownError, getErrorMessage } from "@waxwingdale/core";
import type { Clock, Logger, ObjectStore } from "@waxwingdale/core";
import type { AcceptedManifest } from "@waxwingdale/manifest";
import { parsePlan } from "./parse-plan.js";
import { planTraffic } from "./plan-traffic.js";
import { isSamePlan, planKey } from "./plan-types.js";
import type { CapacityReport, DemandReport, PlanInput, PlanObject } from "./plan-types.js";

/** The lease whose holder is the planner. */
export interface PlannerLease {
    isHeld(): boolean;
    /** Increases whenever the holder changes. */
    epoch(): number;
}

/** Current manifest, reports and dead regions, from which a plan is computed. */
export interface PlannerObservation {
    accepted: AcceptedManifest;
    demands: readonly DemandReport[];
    capacities: readonly CapacityReport[];
    deadRegions: ReadonlySet<string>;
}

export interface PlannerOptions {
    store: ObjectStore;
    lease: PlannerLease;
    clock: Clock;
    logger: Logger;
    /** Returns undefined while the entry has no manifest. */
    observe(): PlannerObservation | undefined;
    /** Called with each plan that this planner has stored. */
    onPlan?(plan: PlanObject): void;
    /** Called with the complete input of each plan that this planner has stored, and with the plan. */
    onPlanInput?(input: PlanInput, plan: PlanObject): void;
    /**
     * Milliseconds between steps.
     * @default 1000
     */
    intervalMs?: number;
}

export interface Planner {
    /** Runs until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
    /** The plan that this planner last read or stored. */
    currentPlan(): PlanObject | undefined;
}

interface StoredPlan {
    version: number;
    /** Undefined if there is no object or if it is not a valid plan. */
    plan: PlanObject | undefined;
    /** Clock time at which this entry read or stored the plan, in milliseconds. */
    receivedAt: number;
}

export function createPlanner(options: PlannerOptions): Planner {
    const { store, lease, clock, logger } = options;
    const intervalMs = options.intervalMs ?? 1000;
    let stored: StoredPlan | undefined;

    const readPlan = async (): Promise<StoredPlan> => {
        const object = await store.get(planKey);
        const plan = object && parsePlan(object.value);
        if (object && !plan) {
            logger.error("plan-invalid", { version: object.version });
        }
        return { version: object?.version ?? 0, plan, receivedAt: clock.now() };
    };

    /** Writes a plan. Returns whether it took effect. */
    const writePlan = async (plan: PlanObject, expectedVersion: number): Promise<boolean> => {
        try {
            const version = await store.put(planKey, plan, expectedVersion);
            stored = { version, plan, receivedAt: clock.now() };
            return true;
        } catch (err) {
            if (err instanceof StoreOutcomeUnknownError) {
                // Only the holder of an epoch writes plans of that epoch, so epoch and step identify the write.
                stored = undefined;
                stored = await readPlan();
                return stored.plan?.epoch === plan.epoch && stored.plan.step === plan.step;
            }
            if (err instanceof StoreConflictError) {
                stored = undefined;
                logger.warn("plan-conflict", { epoch: plan.epoch, step: plan.step });
                return false;
            }
            throw err;
        }
    };

    const runStep = async (): Promise<void> => {
        const epoch = lease.epoch();
        const observation = options.observe();
        if (!observation) {
            return;
        }
        stored ??= await readPlan();
        const { plan: previous, version, receivedAt: knownAt } = stored;
        if (previous && previous.epoch > epoch) {
            // Another entry has taken over the lease, and this one has not noticed yet.
            stored = undefined;
            return;
        }
        const { accepted, demands, capacities, deadRegions } = observation;
        const input: PlanInput = {
            manifest: accepted.manifest,
            demands,
            capacities,
            deadRegions,
            previous,
            wallTime: clock.wallTime(),
            secondsSincePrevious: (clock.now() - knownAt) / 1000,
        };
        const { routes } = planTraffic(input);
        const plan = { epoch, step: (previous?.step ?? 0) + 1, generation: accepted.generation, routes };
        // A new holder always writes once, so that a late write of a paused previous holder fails with a conflict.
        const isUnchanged =
            previous?.epoch === epoch &&
            previous.generation === plan.generation &&
            isSamePlan(previous, plan);
        if (isUnchanged || !lease.isHeld() || lease.epoch() !== epoch) {
            return;
        }
        if (await writePlan(plan, version)) {
            options.onPlanInput?.(input, plan);
            options.onPlan?.(plan);
        }
    };

    return {
        run: async signal => {
            while (!signal.aborted) {
                if (lease.isHeld()) {
                    try {
                        await runStep();
                    } catch (err) {
                        logger.warn("plan-failed", { error: getErrorMessage(err) });
                    }
                } else {
                    stored = undefined;
                }
                await clock.sleep(intervalMs, signal);
            }
        },
        currentPlan: () => stored?.plan,
    };
}
